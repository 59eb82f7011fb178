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

// maxFileBytes bounds a file of items.
const maxFileBytes = 16 << 20

// item is one item as the configuration holds it.
type item struct {
	Kind config.Kind       `json:"kind"`
	Name string            `json:"name"`
	Body json.RawMessage   `json:"body"`
	Last config.LastChange `json:"last"`
}

// itemsOf lists the items of a kind by name.
func itemsOf(state *config.State, kind config.Kind) []item {
	var all []item
	switch kind {
	case config.KindContract:
		all = collect(state.Contracts)
	case config.KindPool:
		all = collect(state.Pools)
	case config.KindPipeline:
		all = collect(state.Pipelines)
	case config.KindService:
		all = collect(state.Services)
	case config.KindStop:
		all = collect(state.Stops)
	}
	for i := range all {
		all[i].Kind = kind
		all[i].Last = state.LastChanges[config.ItemKey(kind, all[i].Name)]
	}
	slices.SortFunc(all, func(a, b item) int { return bytes.Compare([]byte(a.Name), []byte(b.Name)) })
	return all
}

func collect[T any](items map[string]T) []item {
	all := []item{}
	for name, body := range items {
		all = append(all, item{Name: name, Body: encode(body)})
	}
	return all
}

func encode(body any) []byte {
	raw, err := json.Marshal(body)
	if err != nil {
		panic(fmt.Sprintf("ctl: encode %T: %v", body, err))
	}
	return raw
}

func find(state *config.State, kind config.Kind, name string) (item, bool) {
	all := itemsOf(state, kind)
	at := slices.IndexFunc(all, func(i item) bool { return i.Name == name })
	if at < 0 {
		return item{}, false
	}
	return all[at], true
}

// expectOf is the revision that a change of an item is conditioned on: the one
// the operator names, or that of the item as it is in force.
func expectOf(cmd *cli.Command, state *config.State, kind config.Kind, name string) config.Revision {
	if cmd.IsSet(flagIf) {
		return config.Revision(cmd.Uint64(flagIf))
	}
	return state.LastChanges[config.ItemKey(kind, name)].Revision
}

func (d *desk) getItem(kind config.Kind) action {
	return func(ctx context.Context, cmd *cli.Command, c *client) error {
		state, err := c.state(ctx)
		if err != nil {
			return err
		}
		found, ok := find(state, kind, cmd.Args().First())
		if !ok {
			return eris.Errorf("there is no %s %q at revision %d", kind, cmd.Args().First(), state.Revision)
		}
		return d.print(cmd, found, func(w io.Writer) { writeItem(w, found) })
	}
}

func writeItem(w io.Writer, i item) {
	var body bytes.Buffer
	if err := json.Indent(&body, i.Body, "", "  "); err != nil {
		body.Write(i.Body)
	}
	fmt.Fprintf(w, "%s\nrevision %d by %s\n", body.Bytes(), i.Last.Revision, i.Last.By)
}

func (d *desk) listItems(kind config.Kind) action {
	return func(ctx context.Context, cmd *cli.Command, c *client) error {
		state, err := c.state(ctx)
		if err != nil {
			return err
		}
		all := itemsOf(state, kind)
		return d.print(cmd, all, func(w io.Writer) {
			fmt.Fprintln(w, "NAME\tREVISION\tBY\tITEM")
			for _, i := range all {
				fmt.Fprintf(w, "%s\t%d\t%s\t%s\n", i.Name, i.Last.Revision, i.Last.By, i.Body)
			}
		})
	}
}

func (d *desk) deleteItem(kind config.Kind) action {
	return func(ctx context.Context, cmd *cli.Command, c *client) error {
		state, err := c.state(ctx)
		if err != nil {
			return err
		}
		name := cmd.Args().First()
		done, err := c.submit(ctx, change{kind: kind, name: name, expect: expectOf(cmd, state, kind, name), id: changeID(cmd)})
		if err != nil {
			return err
		}
		return d.printDone(cmd, []doneChange{{Kind: kind, Name: name, Action: actionDeleted, accepted: done}})
	}
}

func (d *desk) applyOne(kind config.Kind) action {
	return func(ctx context.Context, cmd *cli.Command, c *client) error {
		raw, err := d.readFile(cmd)
		if err != nil {
			return err
		}
		wanted, err := parseItem(kind, raw)
		if err != nil {
			return err
		}
		return d.apply(ctx, cmd, c, []item{wanted})
	}
}

// deployment is a file of many items.
type deployment struct {
	Pools     []json.RawMessage `json:"pools,omitempty"`
	Pipelines []json.RawMessage `json:"pipelines,omitempty"`
	Services  []json.RawMessage `json:"services,omitempty"`
	Contracts []json.RawMessage `json:"contracts,omitempty"`
}

func (d *desk) applyAll(ctx context.Context, cmd *cli.Command, c *client) error {
	raw, err := d.readFile(cmd)
	if err != nil {
		return err
	}
	wanted, err := parseDeployment(raw)
	if err != nil {
		return err
	}
	return d.apply(ctx, cmd, c, wanted)
}

// parseDeployment lists the items so that what others refer to comes first.
func parseDeployment(raw []byte) ([]item, error) {
	var file deployment
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&file); err != nil {
		return nil, usagef("file: %v", err)
	}
	var wanted []item
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
			wanted = append(wanted, parsed)
		}
	}
	return wanted, nil
}

// parseItem finds an item's name. Whether the item is valid the entry process
// says, which knows what it refers to.
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
		return item{}, usagef("file: %s without a name", kind)
	}
	return item{Kind: kind, Name: name, Body: raw}, nil
}

// apply changes the items that differ, one after the other. It stops at the
// first that is refused, after telling what was done.
func (d *desk) apply(ctx context.Context, cmd *cli.Command, c *client, wanted []item) error {
	state, err := c.state(ctx)
	if err != nil {
		return err
	}
	done := []doneChange{}
	for _, w := range wanted {
		result, err := applyItem(ctx, cmd, c, state, w)
		if err != nil {
			return joinPrint(eris.Wrapf(err, "%s %s", w.Kind, w.Name), d.printDone(cmd, done))
		}
		done = append(done, result)
	}
	return d.printDone(cmd, done)
}

func joinPrint(err, printErr error) error {
	if printErr != nil {
		return eris.Wrap(err, printErr.Error())
	}
	return err
}

func applyItem(ctx context.Context, cmd *cli.Command, c *client, state *config.State, wanted item) (doneChange, error) {
	done := doneChange{Kind: wanted.Kind, Name: wanted.Name, Action: actionApplied}
	standing, found := find(state, wanted.Kind, wanted.Name)
	if found && sameItem(wanted.Kind, standing.Body, wanted.Body) {
		done.Action = actionUnchanged
		done.Revision = standing.Last.Revision
		return done, nil
	}
	result, err := c.submit(ctx, change{
		kind: wanted.Kind, name: wanted.Name, body: wanted.Body,
		expect: expectOf(cmd, state, wanted.Kind, wanted.Name), id: changeID(cmd),
	})
	done.accepted = result
	return done, err
}

// sameItem compares items whatever their spaces, the order of their fields and
// the fields left out. A file with a field that the type does not have is never
// the same: the entry process has to refuse it.
func sameItem(kind config.Kind, a, b []byte) bool {
	switch kind {
	case config.KindContract:
		return sameAs[config.Contract](a, b)
	case config.KindPool:
		return sameAs[config.Pool](a, b)
	case config.KindPipeline:
		return sameAs[config.Pipeline](a, b)
	case config.KindService:
		return sameAs[config.Service](a, b)
	default:
		return false
	}
}

func sameAs[T any](a, b []byte) bool {
	var left, right T
	strict := json.NewDecoder(bytes.NewReader(b))
	strict.DisallowUnknownFields()
	if json.Unmarshal(a, &left) != nil || strict.Decode(&right) != nil {
		return false
	}
	return bytes.Equal(encode(left), encode(right))
}

func (d *desk) readFile(cmd *cli.Command) ([]byte, error) {
	in := d.in
	name := cmd.String(flagFile)
	if name == "" {
		return nil, usagef("name a file with --file, - for standard input")
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
		return nil, usagef("file: more than %d bytes", maxFileBytes)
	}
	return raw, nil
}
