package config

import (
	"encoding/json"
	"fmt"
)

// State is the configuration at one revision. It is never modified after it was
// built: Apply returns a new State, so readers need no lock.
type State struct {
	Revision  Revision            `json:"revision"`
	Contracts map[string]Contract `json:"contracts"`
	Pools     map[string]Pool     `json:"pools"`
	Pipelines map[string]Pipeline `json:"pipelines"`
	Services  map[string]Service  `json:"services"`
	Stops     map[string]Stop     `json:"stops"`
	// LastChanges holds the last change of each item by ItemKey, including
	// deletions, so that a writer that lost a race can be told who made which
	// change.
	LastChanges map[string]LastChange `json:"last"`
}

// LastChange describes the last change of an item.
type LastChange struct {
	Revision Revision `json:"revision"`
	ChangeID string   `json:"change_id"`
	By       string   `json:"by"`
	Deleted  bool     `json:"deleted,omitempty"`
}

// ItemKey returns the key of an item, unique across all kinds.
func ItemKey(kind Kind, name string) string { return string(kind) + "/" + name }

// NewState returns the state before any change.
func NewState() *State {
	return &State{
		Contracts:   map[string]Contract{},
		Pools:       map[string]Pool{},
		Pipelines:   map[string]Pipeline{},
		Services:    map[string]Service{},
		Stops:       map[string]Stop{},
		LastChanges: map[string]LastChange{},
	}
}

// Apply returns the state after the changes, which must follow this state's
// revision without a gap. Changes at or below its revision are skipped: an old
// change that arrives late must not restore old content.
func (s *State) Apply(changes ...Change) (*State, error) {
	next := s.clone()
	for _, c := range changes {
		if c.Revision <= next.Revision {
			continue
		}
		if c.Revision != next.Revision+1 {
			return nil, fmt.Errorf("config: change %d does not follow revision %d", c.Revision, next.Revision)
		}
		if err := next.applyChange(c); err != nil {
			return nil, err
		}
	}
	return next, nil
}

func (s *State) applyChange(c Change) error {
	var err error
	switch c.Kind {
	case KindContract:
		err = replaceOrDelete(s.Contracts, c)
	case KindPool:
		err = replaceOrDelete(s.Pools, c)
	case KindPipeline:
		err = replaceOrDelete(s.Pipelines, c)
	case KindService:
		err = replaceOrDelete(s.Services, c)
	case KindStop:
		err = replaceOrDelete(s.Stops, c)
	default:
		err = fmt.Errorf("config: change %d has unknown kind %q", c.Revision, c.Kind)
	}
	if err != nil {
		return err
	}
	s.Revision = c.Revision
	s.LastChanges[ItemKey(c.Kind, c.Name)] = LastChange{Revision: c.Revision, ChangeID: c.ID, By: c.By, Deleted: c.Deleted}
	return nil
}

func replaceOrDelete[T any](items map[string]T, c Change) error {
	if c.Deleted {
		delete(items, c.Name)
		return nil
	}
	var item T
	if err := json.Unmarshal(c.Body, &item); err != nil {
		return fmt.Errorf("config: decode body of change %d: %w", c.Revision, err)
	}
	items[c.Name] = item
	return nil
}

func (s *State) clone() *State {
	return &State{
		Revision:    s.Revision,
		Contracts:   copyMap(s.Contracts),
		Pools:       copyMap(s.Pools),
		Pipelines:   copyMap(s.Pipelines),
		Services:    copyMap(s.Services),
		Stops:       copyMap(s.Stops),
		LastChanges: copyMap(s.LastChanges),
	}
}

func copyMap[V any](from map[string]V) map[string]V {
	to := make(map[string]V, len(from)+1)
	for k, v := range from {
		to[k] = v
	}
	return to
}
