// Package status builds the status of the whole system for operators. One entry
// process collects the reports of all entry processes and merges them.
package status

import (
	"time"

	"github.com/vanillagate/vanillagate/internal/config"
	"github.com/vanillagate/vanillagate/internal/peer"
	"github.com/vanillagate/vanillagate/internal/query/leases"
)

// Report is the system as seen by one entry process. Each process sends its report
// to the one that the operator asked.
type Report struct {
	Incarnation   peer.Incarnation `json:"incarnation"`
	CallerAddress string           `json:"caller_address"`
	Zone          string           `json:"zone"`
	// Revision is the configuration revision in force there.
	Revision config.Revision `json:"revision"`
	// Leaving means that the process is shutting down gracefully.
	Leaving bool `json:"leaving,omitempty"`
	// InFlight is the number of requests that the process is serving.
	InFlight int            `json:"in_flight"`
	Targets  []TargetReport `json:"targets"`
	// AtLimit names the customers that had requests refused by their limits within
	// the last seconds.
	AtLimit  []string  `json:"at_limit,omitempty"`
	Stores   []Store   `json:"stores"`
	Suspects []Suspect `json:"suspects,omitempty"`
}

// TargetReport is one target as seen by one entry process.
type TargetReport struct {
	Address  string `json:"address"`
	Pool     string `json:"pool"`
	Zone     string `json:"zone"`
	InFlight int    `json:"in_flight"`
	// Leaving means that the target is draining: the process sends it no new calls.
	Leaving bool `json:"leaving,omitempty"`
	// OutOfUse is the reason why the process does not use the target although it is
	// not draining; empty while in use.
	OutOfUse string `json:"out_of_use,omitempty"`
}

// StoreName names a service of the platform.
type StoreName string

// The services of the platform.
const (
	StoreTable   StoreName = "table"
	StoreObjects StoreName = "objects"
	StoreVMList  StoreName = "vm_list"
)

// Store is the health of one service of the platform as seen by one process.
type Store struct {
	Name StoreName `json:"name"`
	Up   bool      `json:"up"`
	// LastError and Since describe the outage; empty while up.
	LastError string    `json:"last_error,omitempty"`
	Since     time.Time `json:"since,omitzero"`
}

// Suspect is a request that is suspected of crashing targets.
type Suspect struct {
	Fingerprint string `json:"fingerprint"`
	Verdict     string `json:"verdict"`
	Crashes     int    `json:"crashes"`
}

// Status is the status of the whole system.
type Status struct {
	// Revision is the highest revision in force at any process.
	Revision  config.Revision `json:"revision"`
	VMs       []VM            `json:"vms"`
	Stops     []Stop          `json:"stops"`
	OutOfUse  []Target        `json:"targets_out_of_use"`
	AtLimit   []AtLimit       `json:"customers_at_limit"`
	Leases    []leases.Holder `json:"leases"`
	Stores    []StoreHealth   `json:"stores"`
	Suspects  []Suspect       `json:"suspects"`
	LeasesErr string          `json:"leases_error,omitempty"`
}

// VM is an entry VM. Its Incarnation is empty if it is in the VM list but sent no
// report.
type VM struct {
	Incarnation   peer.Incarnation `json:"incarnation"`
	CallerAddress string           `json:"caller_address"`
	Zone          string           `json:"zone"`
	Revision      config.Revision  `json:"revision"`
	Leaving       bool             `json:"leaving,omitempty"`
	InFlight      int              `json:"in_flight"`
}

// Silent reports whether the VM sent no report.
func (v VM) Silent() bool { return v.Incarnation == "" }

// Stop is a planned stop and its progress.
type Stop struct {
	config.Stop
	// Applied counts the entry VMs that send the target no new calls, Reports
	// those that sent a report. For the stop of an entry VM, Reports is 1 if that VM
	// sent a report, and Applied is 1 if it is shutting down.
	Applied int `json:"heeded"`
	Reports int `json:"reports"`
	// InFlight is the number of requests still running there.
	InFlight int `json:"in_flight"`
}

// SafeToStop reports whether the VM may be switched off: according to the reports,
// nothing is running there and nothing more will be sent.
func (s Stop) SafeToStop() bool { return s.InFlight == 0 && s.Applied == s.Reports && s.Reports > 0 }

// Target is a target that some entry VMs do not use.
type Target struct {
	Address string `json:"address"`
	Pool    string `json:"pool"`
	Zone    string `json:"zone"`
	Reason  string `json:"reason"`
	// VMs counts the entry VMs that do not use it for this reason.
	VMs int `json:"vms"`
}

// AtLimit is a customer at a limit of its contract. VMs counts the entry VMs that
// refused requests of it.
type AtLimit struct {
	Customer string `json:"customer"`
	VMs      int    `json:"vms"`
}

// StoreHealth is the health of one service of the platform as seen by all entry
// VMs.
type StoreHealth struct {
	Name StoreName `json:"name"`
	// Up and Down count the entry VMs that see the service up or down.
	Up   int `json:"up"`
	Down int `json:"down"`
	// Since is the earliest start of the outage that any VM saw, LastError the error
	// that this VM saw.
	LastError string    `json:"last_error,omitempty"`
	Since     time.Time `json:"since,omitzero"`
}
