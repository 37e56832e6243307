package registrar

import "time"

// EraChange is a change of the store's era at a host that had complete records before.
type EraChange struct {
	// Old and New are the revisions up to which the records were complete, and are now.
	Old, New Revision
	// Removed is the number of endpoints that the store no longer holds.
	Removed int
}

// TakeEraChange returns the last change of the era, once.
func (reg *Registry) TakeEraChange() (cha EraChange, ok bool) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	if reg.change == nil {
		return cha, false
	}
	cha, reg.change = *reg.change, nil
	return cha, true
}

// learnEra records that the store is in an era.
func (reg *Registry) learnEra(era uint64, now time.Time) {
	if era > reg.era {
		reg.era, reg.eraSince = era, now
	}
}

// Era returns the latest era of the store of which this host has learned.
func (reg *Registry) Era() uint64 {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	return reg.era
}

// rewriteEnd returns the time until which the store may still lack, or hold in an older version,
// what its writers wrote in an earlier era. It is not before now.
func (reg *Registry) rewriteEnd(now time.Time) time.Time {
	if end := reg.eraSince.Add(reregisterGrace); end.After(now) {
		return end
	}
	return now
}

// enterEra returns the records of a complete revision of a later era with those that it lacks, as
// removed: this host's records of earlier eras.
func (reg *Registry) enterEra(ends []Endpoint, revision Revision) []Endpoint {
	seen := make(map[string]bool, len(ends))
	all := make([]Endpoint, 0, len(ends))
	for _, end := range ends {
		if end.Revision.Era >= revision.Era {
			seen[end.ID] = true
			all = append(all, end)
		}
	}
	cha := EraChange{Old: reg.revision, New: revision}
	for id, rec := range reg.records {
		if !seen[id] && !rec.Gone && rec.Revision.Era < revision.Era {
			end := rec.Endpoint
			end.Gone, end.Revision = true, revision
			all = append(all, end)
			cha.Removed++
		}
	}
	if reg.complete {
		reg.change = &cha
	}
	return all
}

// renews reports whether end is the record old in a later era.
func (end Endpoint) renews(old Endpoint) bool {
	if end.Revision.Era == old.Revision.Era {
		return false
	}
	end.Revision = old.Revision
	return end == old
}

// crossEra carries over what this host knew of an endpoint in an earlier era and the store may have
// lost.
func (reg *Registry) crossEra(rec, old *record, now time.Time) {
	switch {
	case rec.Gone && old.Gone:
		rec.unusableFrom = old.unusableFrom
	case rec.Gone:
		if end := reg.rewriteEnd(now); end.After(rec.unusableFrom) {
			rec.unusableFrom = end
		}
	case rec.Started.IsZero() || !rec.Started.Equal(old.Started):
	default:
		if rec.ColdFor == old.ColdFor {
			rec.coldUntil = old.coldUntil
		}
		if !old.takesCalls(now) {
			rec.heldUntil = reg.eraSince.Add(copyGrace)
		}
	}
}
