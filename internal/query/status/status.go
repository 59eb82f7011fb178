// Package status is what an operator who takes over a shift wants to see: one
// answer of one entry process for the whole system.
package status

import (
	"time"

	"github.com/vanillagate/vanillagate/internal/config"
	"github.com/vanillagate/vanillagate/internal/peer"
	"github.com/vanillagate/vanillagate/internal/query/leases"
)

// Report is what one entry process sees. Each process gives its own to the one
// that the operator asked.
type Report struct {
	Incarnation   peer.Incarnation `json:"incarnation"`
	CallerAddress string           `json:"caller_address"`
	Zone          string           `json:"zone"`
	// Revision is what is in force there.
	Revision config.Revision `json:"revision"`
	// Leaving says that the process is shutting down gracefully.
	Leaving bool `json:"leaving,omitempty"`
	// InFlight counts the requests that it is serving.
	InFlight int            `json:"in_flight"`
	Targets  []TargetReport `json:"targets"`
	// AtLimit names the customers refused by their limits within the last
	// seconds.
	AtLimit  []string  `json:"at_limit,omitempty"`
	Stores   []Store   `json:"stores"`
	Suspects []Suspect `json:"suspects,omitempty"`
}

// TargetReport is what one entry process sees of one target.
type TargetReport struct {
	Address  string `json:"address"`
	Pool     string `json:"pool"`
	Zone     string `json:"zone"`
	InFlight int    `json:"in_flight"`
	// Leaving says that the process sends it no new work.
	Leaving bool `json:"leaving,omitempty"`
	// OutOfUse says why the process sends it nothing though it is not leaving;
	// empty while in use.
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

// Store is how a service of the platform does.
type Store struct {
	Name StoreName `json:"name"`
	Up   bool      `json:"up"`
	// LastError and Since describe the outage; empty while up.
	LastError string    `json:"last_error,omitempty"`
	Since     time.Time `json:"since,omitzero"`
}

// Suspect is a request that is suspected of crashing the targets that run it.
type Suspect struct {
	Fingerprint string `json:"fingerprint"`
	Verdict     string `json:"verdict"`
	Crashes     int    `json:"crashes"`
}

// Status is the whole system on one screen.
type Status struct {
	// Revision is the highest that is in force anywhere.
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

// VM is an entry VM. One that is listed and gave no report has an empty
// Incarnation.
type VM struct {
	Incarnation   peer.Incarnation `json:"incarnation"`
	CallerAddress string           `json:"caller_address"`
	Zone          string           `json:"zone"`
	Revision      config.Revision  `json:"revision"`
	Leaving       bool             `json:"leaving,omitempty"`
	InFlight      int              `json:"in_flight"`
}

// Silent says that the VM gave no report.
func (v VM) Silent() bool { return v.Incarnation == "" }

// Stop is a planned stop and how far it is.
type Stop struct {
	config.Stop
	// Applied counts the entry VMs that send the target no new work, Reports
	// those that gave a report. For the stop of an entry VM they say whether it
	// is leaving: 1 of 1.
	Applied int `json:"heeded"`
	Reports int `json:"reports"`
	// InFlight counts the requests that are still running there.
	InFlight int `json:"in_flight"`
}

// SafeToStop says that nothing more runs there and nothing will be sent, as far as
// the reports tell: the VM may be switched off.
func (s Stop) SafeToStop() bool { return s.InFlight == 0 && s.Applied == s.Reports && s.Reports > 0 }

// Target is a target out of use.
type Target struct {
	Address string `json:"address"`
	Pool    string `json:"pool"`
	Zone    string `json:"zone"`
	Reason  string `json:"reason"`
	// VMs counts the entry VMs that see it so.
	VMs int `json:"vms"`
}

// AtLimit is a customer at a limit of its contract.
type AtLimit struct {
	Customer string `json:"customer"`
	VMs      int    `json:"vms"`
}

// StoreHealth is how a service of the platform does as seen by all.
type StoreHealth struct {
	Name StoreName `json:"name"`
	// Up and Down count the entry VMs that see it so.
	Up   int `json:"up"`
	Down int `json:"down"`
	// LastError is one of those seen, Since the earliest.
	LastError string    `json:"last_error,omitempty"`
	Since     time.Time `json:"since,omitzero"`
}
