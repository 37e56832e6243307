package registrar

import (
	"time"

	"hemlockpin/connection/messenger"
)

// Message converts records to the message that peers exchange.
func Message(ends []Endpoint, revision uint64) *messenger.EndpointsPush {
	pus := &messenger.EndpointsPush{Revision: revision}
	for _, end := range ends {
		rec := &messenger.EndpointRecord{
			Id: end.ID, Service: end.Service, Address: end.Address, DataCenter: end.DataCenter,
			Leaving: end.Leaving, SaysLeaving: end.SaysLeaving, Gone: end.Gone, Revision: end.Revision, Slots: uint32(max(0, end.Slots)),
		}
		if !end.Started.IsZero() {
			rec.StartedMs = end.Started.UnixMilli()
		}
		pus.Records = append(pus.Records, rec)
	}
	return pus
}

// FromMessage converts a peer's message to records. Records without an ID are omitted.
func FromMessage(pus *messenger.EndpointsPush) []Endpoint {
	out := make([]Endpoint, 0, len(pus.GetRecords()))
	for _, rec := range pus.GetRecords() {
		if rec.GetId() == "" {
			continue
		}
		end := Endpoint{
			ID: rec.GetId(), Service: rec.GetService(), Address: rec.GetAddress(), DataCenter: rec.GetDataCenter(),
			Leaving: rec.GetLeaving(), SaysLeaving: rec.GetSaysLeaving(), Gone: rec.GetGone(), Revision: rec.GetRevision(), Slots: int(rec.GetSlots()),
		}
		if ms := rec.GetStartedMs(); ms != 0 {
			end.Started = time.UnixMilli(ms)
		}
		out = append(out, end)
	}
	return out
}
