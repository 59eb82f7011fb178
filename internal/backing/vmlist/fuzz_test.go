package vmlist

import (
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/backing"
)

// Parse accepts a list as a whole or rejects it: if invalid rows were dropped,
// their VMs would seem to have been removed.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`[{"targets":["127.0.0.1:7100"],"labels":{"role":"target","pool":"llm","zone":"a","region":"r1","state":"live"}}]`))
	f.Add([]byte(`[{"targets":["127.0.0.1:7100","[::1]:2"],"labels":{"role":"entry","state":"leaving","peer_address":"x"}}]`))
	f.Add([]byte(`[{"targets":["nowhere"],"labels":{"role":"entry","state":"live"}}]`))
	f.Add([]byte(`[{"targets":["127.0.0.1:1"],"labels":{"role":"king","state":"live"}}]`))
	f.Add([]byte(`{}`))
	f.Add([]byte(`[null]`))
	f.Fuzz(func(t *testing.T, body []byte) {
		vms, err := Parse(body)
		if err != nil {
			assert.Equal(t, len(vms), 0)
			return
		}
		for _, vm := range vms {
			_, err := netip.ParseAddrPort(vm.Address)
			assert.NilError(t, err)
			assert.Assert(t, vm.Role == backing.RoleEntry || vm.Role == backing.RoleTarget)
			assert.Assert(t, vm.State == backing.VMLive || vm.State == backing.VMLeaving)
		}
	})
}
