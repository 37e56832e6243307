package throttler

import (
	"math"

	"hemlockpin/connection/messenger"
)

// maxSequence bounds the sequences of peers' records, since later limits need greater ones.
const maxSequence = 1 << 62

// Message converts a limit to the record for a peer.
func Message(lim Limit) *messenger.LimitRecord {
	return &messenger.LimitRecord{Endpoint: lim.Endpoint, Sequence: lim.Sequence, Rate: lim.Rate, Lifted: lim.Lifted}
}

// Messages converts limits to the records for a peer.
func Messages(lims []Limit) []*messenger.LimitRecord {
	var out []*messenger.LimitRecord
	for _, lim := range lims {
		out = append(out, Message(lim))
	}
	return out
}

// FromMessages converts the records of a peer, without those that are no limits.
func FromMessages(recs []*messenger.LimitRecord) []Limit {
	var out []Limit
	for _, rec := range recs {
		rate := rec.GetRate()
		if rec.GetEndpoint() == "" || math.IsNaN(rate) || math.IsInf(rate, 0) || rate < 0 || rec.GetSequence() > maxSequence {
			continue
		}
		out = append(out, Limit{Endpoint: rec.GetEndpoint(), Sequence: rec.GetSequence(), Rate: rate, Lifted: rec.GetLifted()})
	}
	return out
}
