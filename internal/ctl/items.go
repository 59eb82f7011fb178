package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/vanillagate/vanillagate/internal/config"
)

// maxFileBytes is the maximum size of a file of items.
const maxFileBytes = 16 << 20

// item is an item of the configuration: a contract, pool, pipeline, service or
// planned stop.
type item struct {
	Kind config.Kind       `json:"kind"`
	Name string            `json:"name"`
	Body json.RawMessage   `json:"body"`
	Last config.LastChange `json:"last"`
}

// itemsOf returns the items of a kind, sorted by name.
func itemsOf(state *config.State, kind config.Kind) []item {
	var all []item
	switch kind {
	case config.KindContract:
		all = toItems(state.Contracts)
	case config.KindPool:
		all = toItems(state.Pools)
	case config.KindPipeline:
		all = toItems(state.Pipelines)
	case config.KindService:
		all = toItems(state.Services)
	case config.KindStop:
		all = toItems(state.Stops)
	}
	for i := range all {
		all[i].Kind = kind
		all[i].Last = state.LastChanges[config.ItemKey(kind, all[i].Name)]
	}
	slices.SortFunc(all, func(a, b item) int { return bytes.Compare([]byte(a.Name), []byte(b.Name)) })
	return all
}

func toItems[T any](items map[string]T) []item {
	all := []item{}
	for name, body := range items {
		all = append(all, item{Name: name, Body: mustEncode(body)})
	}
	return all
}

func mustEncode(body any) []byte {
	raw, err := json.Marshal(body)
	if err != nil {
		panic(fmt.Sprintf("ctl: encode %T: %v", body, err))
	}
	return raw
}

func findItem(state *config.State, kind config.Kind, name string) (item, bool) {
	all := itemsOf(state, kind)
	index := slices.IndexFunc(all, func(i item) bool { return i.Name == name })
	if index < 0 {
		return item{}, false
	}
	return all[index], true
}

// expectedRevision returns the revision at which an item must have been changed
// last for a change to be made: that of --if-revision, or else that of the item
// in state.
func expectedRevision(cmd *cli.Command, state *config.State, kind config.Kind, name string) config.Revision {
	if cmd.IsSet(flagIfRevision) {
		return config.Revision(cmd.Uint64(flagIfRevision))
	}
	return state.LastChanges[config.ItemKey(kind, name)].Revision
}

func (a *app) getItem(kind config.Kind) clientAction {
	return func(ctx context.Context, cmd *cli.Command, c *client) error {
		state, err := c.latestState(ctx)
		if err != nil {
			return err
		}
		found, ok := findItem(state, kind, cmd.Args().First())
		if !ok {
			return eris.Errorf("there is no %s %q at revision %d", kind, cmd.Args().First(), state.Revision)
		}
		return a.print(cmd, found, func(w io.Writer) { writeItem(w, found) })
	}
}

func writeItem(w io.Writer, i item) {
	var body bytes.Buffer
	if err := json.Indent(&body, i.Body, "", "  "); err != nil {
		body.Write(i.Body)
	}
	fmt.Fprintf(w, "%s\nrevision %d by %s\n", body.Bytes(), i.Last.Revision, i.Last.By)
}

func (a *app) listItems(kind config.Kind) clientAction {
	return func(ctx context.Context, cmd *cli.Command, c *client) error {
		state, err := c.latestState(ctx)
		if err != nil {
			return err
		}
		all := itemsOf(state, kind)
		return a.print(cmd, all, func(w io.Writer) {
			fmt.Fprintln(w, "NAME\tREVISION\tBY\tITEM")
			for _, i := range all {
				fmt.Fprintf(w, "%s\t%d\t%s\t%s\n", i.Name, i.Last.Revision, i.Last.By, i.Body)
			}
		})
	}
}

func (a *app) deleteItem(kind config.Kind) clientAction {
	return func(ctx context.Context, cmd *cli.Command, c *client) error {
		state, err := c.latestState(ctx)
		if err != nil {
			return err
		}
		name := cmd.Args().First()
		answer, err := c.submit(ctx, change{kind: kind, name: name, expectedRevision: expectedRevision(cmd, state, kind, name), id: changeID(cmd)})
		if err != nil {
			return err
		}
		return a.printChanges(cmd, []appliedChange{{Kind: kind, Name: name, Action: actionDeleted, changeAnswer: answer}})
	}
}

func (a *app) applyOne(kind config.Kind) clientAction {
	return func(ctx context.Context, cmd *cli.Command, c *client) error {
		raw, err := a.readFile(cmd)
		if err != nil {
			return err
		}
		parsed, err := parseItem(kind, raw)
		if err != nil {
			return err
		}
		return a.apply(ctx, cmd, c, []item{parsed})
	}
}

// deployment is the format of the file of "vgctl apply".
type deployment struct {
	Pools     []json.RawMessage `json:"pools,omitempty"`
	Pipelines []json.RawMessage `json:"pipelines,omitempty"`
	Services  []json.RawMessage `json:"services,omitempty"`
	Contracts []json.RawMessage `json:"contracts,omitempty"`
}

func (a *app) applyAll(ctx context.Context, cmd *cli.Command, c *client) error {
	raw, err := a.readFile(cmd)
	if err != nil {
		return err
	}
	items, err := parseDeployment(raw)
	if err != nil {
		return err
	}
	return a.apply(ctx, cmd, c, items)
}

// parseDeployment returns the items of a file. Pools come before the pipelines and
// services that refer to them, and contracts come last.
func parseDeployment(raw []byte) ([]item, error) {
	var file deployment
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&file); err != nil {
		return nil, usagef("file: %v", err)
	}
	var items []item
	for _, group := range []struct {
		kind   config.Kind
		bodies []json.RawMessage
	}{
		{config.KindPool, file.Pools},
		{config.KindPipeline, file.Pipelines},
		{config.KindService, file.Services},
		{config.KindContract, file.Contracts},
	} {
		for _, body := range group.bodies {
			parsed, err := parseItem(group.kind, body)
			if err != nil {
				return nil, err
			}
			items = append(items, parsed)
		}
	}
	return items, nil
}

// parseItem reads an item's name. It doesn't validate the item: the entry process
// does, because it knows the other items to which this one refers.
func parseItem(kind config.Kind, raw []byte) (item, error) {
	var named struct {
		Name     string `json:"name"`
		Customer string `json:"customer"`
	}
	if err := json.Unmarshal(raw, &named); err != nil {
		return item{}, usagef("file: %s: %v", kind, err)
	}
	name := named.Name
	if kind == config.KindContract {
		name = named.Customer
	}
	if name == "" {
		return item{}, usagef("file: a %s has no name", kind)
	}
	return item{Kind: kind, Name: name, Body: raw}, nil
}

// apply creates the items that don't exist and updates those that differ, one
// after the other. It stops at the first error. It always prints the changes made.
func (a *app) apply(ctx context.Context, cmd *cli.Command, c *client, items []item) error {
	state, err := c.latestState(ctx)
	if err != nil {
		return err
	}
	done := []appliedChange{}
	for _, desired := range items {
		result, err := applyItem(ctx, cmd, c, state, desired)
		if err != nil {
			return withPrintError(eris.Wrapf(err, "%s %s", desired.Kind, desired.Name), a.printChanges(cmd, done))
		}
		done = append(done, result)
	}
	return a.printChanges(cmd, done)
}

// withPrintError returns err, wrapped in the error of printing the changes if there
// is one.
func withPrintError(err, printErr error) error {
	if printErr != nil {
		return eris.Wrap(err, printErr.Error())
	}
	return err
}

func applyItem(ctx context.Context, cmd *cli.Command, c *client, state *config.State, desired item) (appliedChange, error) {
	done := appliedChange{Kind: desired.Kind, Name: desired.Name, Action: actionApplied}
	current, found := findItem(state, desired.Kind, desired.Name)
	if found && equalItems(desired.Kind, current.Body, desired.Body) {
		done.Action = actionUnchanged
		done.Revision = current.Last.Revision
		return done, nil
	}
	result, err := c.submit(ctx, change{
		kind: desired.Kind, name: desired.Name, body: desired.Body,
		expectedRevision: expectedRevision(cmd, state, desired.Kind, desired.Name), id: changeID(cmd),
	})
	done.changeAnswer = result
	return done, err
}

// equalItems says whether two encoded items are equal. White space, the order of
// fields and omitted fields with zero values don't matter. If b, the item of the
// file, has an unknown field, the result is false, so that the item is sent and
// the entry process refuses it.
func equalItems(kind config.Kind, a, b []byte) bool {
	switch kind {
	case config.KindContract:
		return equalAs[config.Contract](a, b)
	case config.KindPool:
		return equalAs[config.Pool](a, b)
	case config.KindPipeline:
		return equalAs[config.Pipeline](a, b)
	case config.KindService:
		return equalAs[config.Service](a, b)
	default:
		return false
	}
}

func equalAs[T any](a, b []byte) bool {
	var left, right T
	strict := json.NewDecoder(bytes.NewReader(b))
	strict.DisallowUnknownFields()
	if json.Unmarshal(a, &left) != nil || strict.Decode(&right) != nil {
		return false
	}
	return bytes.Equal(mustEncode(left), mustEncode(right))
}

func (a *app) readFile(cmd *cli.Command) ([]byte, error) {
	in := a.in
	name := cmd.String(flagFile)
	if name == "" {
		return nil, usagef("--file is missing; - means standard input")
	}
	if name != "-" {
		file, err := os.Open(name)
		if err != nil {
			return nil, usageError{err.Error()}
		}
		defer func() { _ = file.Close() }()
		in = file
	}
	raw, err := io.ReadAll(io.LimitReader(in, maxFileBytes+1))
	if err != nil {
		return nil, usageError{err.Error()}
	}
	if len(raw) > maxFileBytes {
		return nil, usagef("file: larger than %d bytes", maxFileBytes)
	}
	return raw, nil
}
