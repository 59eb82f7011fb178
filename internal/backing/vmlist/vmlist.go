// Package vmlist is a client for the platform's VM list, which is served in the
// Prometheus HTTP service discovery format.
package vmlist

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/vanillagate/vanillagate/internal/backing"
)

// MaxBytes bounds the size of the list. It is about twice the size of a list of
// 12,640 VMs of about 250 bytes each.
const MaxBytes = 8 << 20

const (
	callTimeout = 2 * time.Second
	connections = 2
)

// List is a backing.VMList.
type List struct {
	url    string
	client *backing.HTTPClient

	mu     sync.Mutex // guards cached; no other lock is taken under it
	cached taggedList
}

// taggedList is the list as last read, with its ETag for conditional requests.
type taggedList struct {
	tag string
	vms []backing.VM
}

var _ backing.VMList = (*List)(nil)

// New returns a List that reads from the URL.
func New(url string) *List {
	limits := backing.HTTPConfig{Connections: connections, DialTimeout: callTimeout, CallTimeout: callTimeout}
	return &List{url: url, client: backing.NewHTTPClient(limits, MaxBytes)}
}

// Group is one element of the served JSON array.
type Group struct {
	Targets []string `json:"targets"`
	Labels  Labels   `json:"labels"`
}

// Labels describe the targets of a Group.
type Labels struct {
	Role        string `json:"role"`
	Pool        string `json:"pool,omitempty"`
	Zone        string `json:"zone"`
	Region      string `json:"region"`
	State       string `json:"state"`
	PeerAddress string `json:"peer_address,omitempty"`
}

// List implements backing.VMList. It uses conditional requests, so that an
// unchanged list is not sent again: at the target size the list has 12,640 rows of
// about 140 bytes, and reading them all each second would cost 300 times a node's
// budget for control traffic. The returned slice must not be modified.
func (l *List) List(ctx context.Context) ([]backing.VM, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, l.url, nil)
	if err != nil {
		return nil, fmt.Errorf("vmlist: %w: %w", backing.ErrUnknown, err)
	}
	last := l.loadCached()
	if last.tag != "" {
		req.Header.Set("If-None-Match", last.tag)
	}
	resp, err := l.client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("vmlist: %w: %w", backing.ErrUnknown, err)
	}
	defer func() { _ = resp.Body.Close() }() // what matters of it has been read
	if resp.StatusCode == http.StatusNotModified && last.tag != "" {
		return last.vms, nil
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("vmlist: status %d: %w", resp.StatusCode, backing.ErrNotRun)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, fmt.Errorf("vmlist: %w: %w", backing.ErrUnknown, err)
	}
	vms, err := Parse(body)
	if err != nil {
		return nil, err
	}
	l.storeCached(taggedList{tag: resp.Header.Get("ETag"), vms: vms})
	return vms, nil
}

func (l *List) loadCached() taggedList {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cached
}

func (l *List) storeCached(t taggedList) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cached = t
}

// Parse parses the served JSON. One invalid row invalidates the whole list: if rows
// were dropped silently, their VMs would seem to have been removed.
func Parse(body []byte) ([]backing.VM, error) {
	var groups []Group
	if err := json.Unmarshal(body, &groups); err != nil {
		return nil, fmt.Errorf("vmlist: %w: %w", backing.ErrUnknown, err)
	}
	var vms []backing.VM
	for _, g := range groups {
		for _, address := range g.Targets {
			vm, err := newVM(address, g.Labels)
			if err != nil {
				return nil, err
			}
			vms = append(vms, vm)
		}
	}
	return vms, nil
}

func newVM(address string, labels Labels) (backing.VM, error) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return backing.VM{}, fmt.Errorf("vmlist: invalid address %q: %w", address, backing.ErrUnknown)
	}
	vm := backing.VM{
		Address:     address,
		PeerAddress: labels.PeerAddress,
		Role:        backing.VMRole(labels.Role),
		Pool:        labels.Pool,
		Zone:        labels.Zone,
		Region:      labels.Region,
		State:       backing.VMState(labels.State),
	}
	if vm.Role != backing.RoleEntry && vm.Role != backing.RoleTarget {
		return backing.VM{}, fmt.Errorf("vmlist: %s has unknown role %q: %w", address, labels.Role, backing.ErrUnknown)
	}
	if vm.State != backing.VMLive && vm.State != backing.VMLeaving {
		return backing.VM{}, fmt.Errorf("vmlist: %s has unknown state %q: %w", address, labels.State, backing.ErrUnknown)
	}
	return vm, nil
}
