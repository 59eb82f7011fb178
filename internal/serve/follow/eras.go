package follow

import (
	"encoding/json"

	"github.com/vanillagate/vanillagate/internal/serve/revision"
)

// On the wire, revisions are versions, as processes of earlier releases send and expect them, and each message has the
// eras of its revisions in fields of their own. Without such a field a revision is in era 0, before all eras that a
// store has told of.

// requestEras has the eras of an updatesRequest.
type requestEras struct {
	TargetsEra     uint64 `json:"targets_era,omitempty"`
	EvacuationsEra uint64 `json:"evacuations_era,omitempty"`
}

type plainUpdatesRequest updatesRequest

type wireUpdatesRequest struct {
	plainUpdatesRequest
	requestEras
}

// MarshalJSON implements json.Marshaler. The revisions of the list are in one era.
func (r updatesRequest) MarshalJSON() ([]byte, error) {
	return json.Marshal(wireUpdatesRequest{plainUpdatesRequest(r), requestEras{
		TargetsEra: r.NewestKnown.Era(), EvacuationsEra: r.EvacuationsRevision.Era(),
	}})
}

// UnmarshalJSON implements json.Unmarshaler.
func (r *updatesRequest) UnmarshalJSON(data []byte) error {
	var w wireUpdatesRequest
	if err := json.Unmarshal(data, &w); err != nil {
		return err
	}
	*r = updatesRequest(w.plainUpdatesRequest)
	setEra(w.TargetsEra, &r.NewestKnown, &r.SyncedTo)
	setEra(w.EvacuationsEra, &r.EvacuationsRevision)
	return nil
}

// updatesEras has the eras of an updates message.
type updatesEras struct {
	PlanEra              uint64 `json:"plan_era,omitempty"`
	EvacuationsEra       uint64 `json:"evacuations_era,omitempty"`
	EvacuationsChangeEra uint64 `json:"evacuated_era,omitempty"`
	TargetsEra           uint64 `json:"targets_era,omitempty"`
}

type plainUpdates updates

type wireUpdates struct {
	plainUpdates
	updatesEras
}

// MarshalJSON implements json.Marshaler. The revisions of the list are in one era.
func (u updates) MarshalJSON() ([]byte, error) {
	return json.Marshal(wireUpdates{plainUpdates(u), updatesEras{
		PlanEra: u.PlanUpTo.Era(), EvacuationsEra: u.EvacuationsUpTo.Era(),
		EvacuationsChangeEra: u.EvacuationsRevision.Era(), TargetsEra: u.TargetsUpTo.Era(),
	}})
}

// UnmarshalJSON implements json.Unmarshaler. The entries get their eras from unpack.
func (u *updates) UnmarshalJSON(data []byte) error {
	var w wireUpdates
	if err := json.Unmarshal(data, &w); err != nil {
		return err
	}
	*u = updates(w.plainUpdates)
	setEra(w.PlanEra, &u.PlanUpTo)
	setEra(w.EvacuationsEra, &u.EvacuationsUpTo)
	setEra(w.EvacuationsChangeEra, &u.EvacuationsRevision)
	setEra(w.TargetsEra, &u.TargetsUpTo, &u.Revision)
	return nil
}

// setEntryEras sets the eras of the entries and orders in the message.
func (u *updates) setEntryEras() {
	for i := range u.Changes {
		setEra(u.TargetsUpTo.Era(), &u.Changes[i].Revision)
	}
	for i := range u.Evacuations {
		setEra(u.EvacuationsRevision.Era(), &u.Evacuations[i].Revision)
	}
}

type plainPartResponse partResponse

type wirePartResponse struct {
	plainPartResponse
	Era uint64 `json:"era,omitempty"`
}

// MarshalJSON implements json.Marshaler.
func (p partResponse) MarshalJSON() ([]byte, error) {
	return json.Marshal(wirePartResponse{plainPartResponse(p), p.AsOf.Era()})
}

// UnmarshalJSON implements json.Unmarshaler.
func (p *partResponse) UnmarshalJSON(data []byte) error {
	var w wirePartResponse
	if err := json.Unmarshal(data, &w); err != nil {
		return err
	}
	*p = partResponse(w.plainPartResponse)
	setEra(w.Era, &p.AsOf)
	return nil
}

func setEra(era uint64, revisions ...*revision.Revision) {
	for _, r := range revisions {
		*r = r.InEra(era)
	}
}

// knownEra returns the latest era of the store that this process has heard of.
func (f *Follower) knownEra() uint64 {
	era := f.table.SyncedRevision().Era()
	for _, d := range []*feed{f.operatorFeed, f.targetFeed} {
		era = max(era, d.revision.Load().Era(), d.lostUpTo.Load().Era())
	}
	return era
}

// fromEarlierEra reports whether a peer has not heard that the store has come back from a copy, or is of an earlier
// release, which doesn't tell. What it knows of the list and the orders, and that the store answers it, doesn't count.
func (f *Follower) fromEarlierEra(u updates) bool {
	return min(u.TargetsUpTo.Era(), u.EvacuationsUpTo.Era()) < f.knownEra()
}
