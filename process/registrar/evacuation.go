package registrar

import (
	"cmp"
	"slices"
	"time"

	"hemlockpin/connection/messenger"
)

// maxEvacuations bounds the records of evacuations, which each probe carries.
const maxEvacuations = 256

// Evacuation is the record of a data centre whose endpoints get no new calls until the operator
// lifts it. It is an immutable value.
type Evacuation struct {
	DataCenter string
	// Revision is the store's revision of the last change.
	Revision Revision
	Lifted   bool
}

// newer reports whether eva supersedes old.
func (eva Evacuation) newer(old Evacuation) bool {
	if order := eva.Revision.Compare(old.Revision); order != 0 {
		return order > 0
	}
	return eva.Lifted && !old.Lifted
}

// Problem returns why a record can't be used, or an empty string if it can.
func (eva Evacuation) Problem() string {
	switch {
	case eva.DataCenter == "" || !isShortText(eva.DataCenter):
		return "the data centre is missing, too long or no text"
	case eva.Revision.Number == 0, !eva.Revision.InRange():
		return "the revision is out of range"
	default:
		return ""
	}
}

// evacuationRecord is an evacuation with the time until which it is in force after it was lifted.
type evacuationRecord struct {
	Evacuation
	inForceUntil time.Time
}

// evacuationRecords are the evacuations that a host knows. The zero value holds none.
type evacuationRecords struct {
	byDataCenter map[string]evacuationRecord
	// known reports whether this host has ever received all, and revision is the one at which they
	// were last read as a whole, by this host or by the one from which it has them.
	known    bool
	revision Revision
	// liftedAt are the times at which evacuations that this host knew were lifted.
	liftedAt map[string]time.Time
}

// MergeEvacuations merges records and returns those that were new.
func (reg *Registry) MergeEvacuations(evas []Evacuation, now time.Time) []Evacuation {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	return reg.mergeEvacuations(evas, now)
}

// MergeCompleteEvacuations merges all evacuations in the store at a revision and returns the
// records that were new. Known evacuations that are missing from evas and are not later than
// revision are lifted.
func (reg *Registry) MergeCompleteEvacuations(evas []Evacuation, revision Revision, now time.Time) []Evacuation {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	all := slices.Clone(evas)
	for dataCenter, old := range reg.evacuations.byDataCenter {
		if !old.Lifted && !old.Revision.After(revision) && !names(evas, dataCenter) {
			all = append(all, Evacuation{DataCenter: dataCenter, Revision: revision, Lifted: true})
		}
	}
	reg.evacuations.known = true
	return reg.mergeAllEvacuations(all, revision, now)
}

// MergePeerEvacuations merges the records of a peer that knows all evacuations, which were last
// read as a whole at a revision, and returns those that were new.
func (reg *Registry) MergePeerEvacuations(evas []Evacuation, revision Revision, now time.Time) []Evacuation {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	reg.evacuations.known = true
	return reg.mergeAllEvacuations(evas, revision, now)
}

// mergeAllEvacuations merges all records at a revision. If that is of a later era than the records
// were read in so far, those of earlier eras that are missing are lifted, also the lifted ones, so
// that they supersede what other hosts know from before.
func (reg *Registry) mergeAllEvacuations(evas []Evacuation, revision Revision, now time.Time) []Evacuation {
	all := slices.Clone(evas)
	if revision.Era > reg.evacuations.revision.Era {
		later := slices.DeleteFunc(slices.Clone(evas), func(eva Evacuation) bool { return eva.Revision.Era < revision.Era })
		for dataCenter, old := range reg.evacuations.byDataCenter {
			if old.Revision.Era < revision.Era && !names(later, dataCenter) {
				all = append(all, Evacuation{DataCenter: dataCenter, Revision: revision, Lifted: true})
			}
		}
	}
	reg.evacuations.revision = reg.evacuations.revision.Latest(revision)
	return reg.mergeEvacuations(all, now)
}

func names(evas []Evacuation, dataCenter string) bool {
	return slices.ContainsFunc(evas, func(eva Evacuation) bool { return eva.DataCenter == dataCenter })
}

func (reg *Registry) mergeEvacuations(evas []Evacuation, now time.Time) []Evacuation {
	if reg.evacuations.byDataCenter == nil {
		reg.evacuations.byDataCenter, reg.evacuations.liftedAt = map[string]evacuationRecord{}, map[string]time.Time{}
	}
	var updates []Evacuation
	for _, eva := range evas {
		reg.learnEra(eva.Revision.Era, now)
		if upd, ok := reg.mergeEvacuation(eva, now); ok {
			updates = append(updates, upd)
		}
	}
	return updates
}

// mergeEvacuation merges a record. It returns the record that peers have to get, if there is one.
func (reg *Registry) mergeEvacuation(eva Evacuation, now time.Time) (Evacuation, bool) {
	evs := &reg.evacuations
	old, known := evs.byDataCenter[eva.DataCenter]
	if !known && len(evs.byDataCenter) >= maxEvacuations {
		return eva, false
	}
	if !known && eva.Revision.Era < evs.revision.Era {
		// The store did not have it any more when it was read in a later era, which the peer has
		// to learn.
		eva.Revision, eva.Lifted = evs.revision, true
	}
	if known && !eva.newer(old.Evacuation) {
		return eva, false
	}
	rec := evacuationRecord{Evacuation: eva}
	wasInForce := known && !old.Lifted
	if eva.Lifted && wasInForce {
		rec.inForceUntil = now
		if old.Revision.Era < eva.Revision.Era {
			// The copy from which the store came back may lack it, and the operator may not have
			// written it again yet.
			rec.inForceUntil = reg.rewriteEnd(now)
		}
		evs.liftedAt[eva.DataCenter] = rec.inForceUntil
	}
	if eva.Lifted && known && old.Lifted {
		rec.inForceUntil = old.inForceUntil
	}
	evs.byDataCenter[eva.DataCenter] = rec
	// All records are renewed when the store is read in a later era; peers do that themselves.
	renewed := known && eva.Lifted == old.Lifted && eva.Revision.Era > old.Revision.Era
	return eva, !renewed
}

// evacuated reports whether the endpoints of a data centre get no new calls.
func (reg *Registry) evacuated(dataCenter string, now time.Time) bool {
	rec, known := reg.evacuations.byDataCenter[dataCenter]
	return known && (!rec.Lifted || now.Before(rec.inForceUntil))
}

// CountIn returns the number of endpoints of a data centre that would get calls without an
// evacuation.
func (reg *Registry) CountIn(dataCenter string, now time.Time) int {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	n := 0
	for _, rec := range reg.records {
		if rec.DataCenter == dataCenter && rec.takesCalls(now) {
			n++
		}
	}
	return n
}

// Evacuations returns the records of evacuations, also of those that are lifted, whether this host
// has ever received all, and the revision at which they were last read as a whole.
func (reg *Registry) Evacuations() (evas []Evacuation, revision Revision, known bool) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	for _, rec := range reg.evacuations.byDataCenter {
		evas = append(evas, rec.Evacuation)
	}
	slices.SortFunc(evas, func(a, b Evacuation) int { return cmp.Compare(a.DataCenter, b.DataCenter) })
	return evas, reg.evacuations.revision, reg.evacuations.known
}

// EvacuationMessages converts records to those for a peer.
func EvacuationMessages(evas []Evacuation) []*messenger.EvacuationRecord {
	var out []*messenger.EvacuationRecord
	for _, eva := range evas {
		out = append(out, &messenger.EvacuationRecord{DataCenter: eva.DataCenter, Revision: eva.Revision.Number, Era: eva.Revision.Era, Lifted: eva.Lifted})
	}
	return out
}

// EvacuationsOf converts the records of a peer, without those that can't be used.
func EvacuationsOf(recs []*messenger.EvacuationRecord) []Evacuation {
	var out []Evacuation
	for _, rec := range recs {
		eva := Evacuation{DataCenter: rec.GetDataCenter(), Revision: Revision{Era: rec.GetEra(), Number: rec.GetRevision()}, Lifted: rec.GetLifted()}
		if eva.Problem() == "" {
			out = append(out, eva)
		}
	}
	return out
}
