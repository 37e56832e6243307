package registrar

import (
	"time"

	"hemlockpin/connection/messenger"
)

// Message converts records to the message that peers exchange.
func Message(ends []Endpoint, revision Revision) *messenger.EndpointsPush {
	pus := &messenger.EndpointsPush{Revision: revision.Number, Era: revision.Era}
	for _, end := range ends {
		rec := &messenger.EndpointRecord{
			Id: end.ID, Service: end.Service, Address: end.Address, DataCenter: end.DataCenter,
			Leaving: end.Leaving, SaysLeaving: end.SaysLeaving, Gone: end.Gone, Revision: end.Revision.Number, Era: end.Revision.Era, Slots: uint32(max(0, end.Slots)), ColdMs: end.ColdFor.Milliseconds(),
		}
		rec.StartedMs, rec.LeavingStartMs = unixMilli(end.Started), unixMilli(end.LeavingStart)
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
			Leaving: rec.GetLeaving(), SaysLeaving: rec.GetSaysLeaving(), Gone: rec.GetGone(), Revision: Revision{Era: rec.GetEra(), Number: rec.GetRevision()}, Slots: int(rec.GetSlots()), ColdFor: messenger.Millis(rec.GetColdMs()),
		}
		end.Started, end.LeavingStart = fromUnixMilli(rec.GetStartedMs()), fromUnixMilli(rec.GetLeavingStartMs())
		if end.SaysLeaving && end.LeavingStart.IsZero() {
			// The peer is of an earlier build.
			end.LeavingStart = end.Started
		}
		out = append(out, end)
	}
	return out
}

// unixMilli and fromUnixMilli convert a time to and from milliseconds, of which 0 stands for an
// unknown time.
func unixMilli(at time.Time) int64 {
	if at.IsZero() {
		return 0
	}
	return at.UnixMilli()
}

func fromUnixMilli(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms)
}
