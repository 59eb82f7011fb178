package serve

import (
	"context"

	"github.com/vanillagate/vanillagate/internal/peer"
	"github.com/vanillagate/vanillagate/internal/serve/reach"
	"github.com/vanillagate/vanillagate/internal/serve/run"
)

// forwarding chooses the peers to which a process that is cut off from a service passes requests on.
// It implements run.Reach.
type forwarding struct {
	*reach.Tracker
	network peer.Network
}

var _ run.Reach = forwarding{}

// PeerAddresses lists the callers' addresses of the peers in the region of this process that aren't cut
// off from a service, those of its zone first.
func (f forwarding) PeerAddresses(service string) []string {
	view := f.network.View()
	var near, far []string
	for _, m := range view.Members {
		if m.State != peer.Alive || m.CallerAddress == "" || m.Region != view.Self.Region || f.PeerCutOff(m.Incarnation, service) {
			continue
		}
		if m.Zone == view.Self.Zone {
			near = append(near, m.CallerAddress)
			continue
		}
		far = append(far, m.CallerAddress)
	}
	shuffle(near)
	shuffle(far)
	return append(near, far...)
}

// connect opens and closes a connection to a target.
func (s *Server) connect(ctx context.Context, address string) error {
	conn, err := s.client.Connect(ctx, address)
	if err != nil {
		return err
	}
	_ = conn.Close() // nothing was sent
	return nil
}

// services lists the services in the configuration in force.
func (s *Server) services() []string {
	p := s.plans.Current()
	if p == nil {
		return nil
	}
	list := make([]string, 0, len(p.Services))
	for _, service := range p.Services {
		list = append(list, service.Name)
	}
	return list
}
