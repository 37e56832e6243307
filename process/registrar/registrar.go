// Package registrar holds a host's records of the endpoints in the platform's store,
// whether they come from the store or from peers.
//
// Records are merged by the revision that the store gave them, the store's era first, so
// the order in which updates arrive from the store and from peers makes no difference.
package registrar

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// reregisterGrace is the time after an outage of the store, or after its return from an older
	// copy, within which an endpoint whose entry has lapsed may register again, and the operator
	// may write evacuations again. The platform's contract gives about 2 s.
	reregisterGrace = 2 * time.Second
	// outageAge is the time without a confirmation, by the store or through peers,
	// after which the store counts as down. It is below the 3.6 s after which the entries
	// of endpoints that cannot reach the store lapse. If the store refuses only this host,
	// or this host's watches stall, peers still confirm the records, and the store does not
	// count as down.
	outageAge = 3300 * time.Millisecond
	// massRemovalGrace delays the removal of many entries at once, since such a removal
	// is likely due to an outage that this host has not detected. The age of the records and
	// the delay together are at most leaveShare of the time within which a leaving endpoint
	// must get no more requests.
	massRemovalGrace   = 1200 * time.Millisecond
	leaveShare         = 0.8
	defaultLeaveWithin = 2 * time.Second
	// massRemovalShare and massRemovalCount define a mass removal: it concerns at least
	// this share and at least this number of a service's endpoints.
	massRemovalShare = 0.34
	massRemovalCount = 3
	// tombstoneLifetime is how long the record of a removed entry is kept, so that an
	// older record of a peer does not restore the entry.
	tombstoneLifetime = 10 * time.Minute
	// copyGrace is the time after the store's return from an older copy for which the copy's
	// entry of a process is not believed over what this host knew later of the process: until
	// then the process has written its entry again, or the entry has lapsed.
	copyGrace = 4 * time.Second
	// maxColdTime bounds how long an entry makes an endpoint cold.
	maxColdTime = 10 * time.Minute
)

// Endpoint is the record of one entry of the store. It is an immutable value.
type Endpoint struct {
	ID         string
	Service    string
	Address    string
	DataCenter string
	// Leaving endpoints take no new requests.
	Leaving bool
	// SaysLeaving reports that the endpoint's answers say that it leaves, whatever its entry
	// says. LeavingStart is the start time of the process that said so; zero if unknown.
	SaysLeaving  bool
	LeavingStart time.Time
	// Gone reports that the store no longer holds a usable entry.
	Gone bool
	// Revision is the store's revision of the entry's last change.
	Revision Revision
	// Started is the start time that the process reports; zero if unknown.
	Started time.Time
	// Slots is the number of requests that the endpoint handles at once.
	Slots int
	// ColdFor is how much longer the endpoint was cold when it wrote the entry.
	ColdFor time.Duration
}

// newer reports whether end supersedes old.
func (end Endpoint) newer(old Endpoint) bool {
	if order := end.Revision.Compare(old.Revision); order != 0 {
		return order > 0
	}
	if end.Gone != old.Gone {
		return end.Gone
	}
	return end.SaysLeaving && !old.SaysLeaving
}

// record is an endpoint with the time from which its removal takes effect.
type record struct {
	Endpoint
	unusableFrom time.Time
	// heldUntil is the time until which the endpoint gets no new calls, since its entry may be an
	// older one than that of the earlier era by which it got none.
	heldUntil time.Time
	// coldUntil is the time until which the endpoint may be cold.
	coldUntil time.Time
}

// Registry holds the records of one host. Its zero value is ready to use.
type Registry struct {
	// LeaveWithin is the time within which an endpoint that leaves has to get no new calls; 0
	// for the default of 2 s.
	LeaveWithin time.Duration
	// Evacuates says that the operator may evacuate data centres. The records are complete only
	// with the evacuations then.
	Evacuates bool

	mu       sync.Mutex
	records  map[string]*record
	revision Revision
	complete bool
	// confirmed is the last time at which the store held no later revision than revision.
	// outageEnd is the time of the first confirmation after the last outage.
	confirmed   time.Time
	outageEnd   time.Time
	evacuations evacuationRecords
	// era is the latest era of the store of which this host has learned, and eraSince when it has.
	era      uint64
	eraSince time.Time
	// change is the last change of the era in which the records are complete.
	change *EraChange
}

// Revision returns the store's revision up to which the records are known, and
// whether this host has ever received the complete records, with the evacuations.
func (reg *Registry) Revision() (revision Revision, complete bool) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	return reg.revision, reg.complete && (reg.evacuations.known || !reg.Evacuates)
}

// HasEndpoints reports whether this host has ever received the complete records of endpoints.
func (reg *Registry) HasEndpoints() bool {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	return reg.complete
}

// Confirm records that, at the time at, the store held no later revision than revision. It
// has no effect if this host knows a later revision.
func (reg *Registry) Confirm(revision Revision, at time.Time) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	if reg.revision.After(revision) || !at.After(reg.confirmed) {
		return
	}
	if !reg.confirmed.IsZero() && at.Sub(reg.confirmed) > outageAge {
		reg.outageEnd = at
	}
	reg.confirmed = at
}

// Confirmed returns the last time at which the store held no later revision than this
// host's, as far as this host knows directly or through peers.
func (reg *Registry) Confirmed() time.Time {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	return reg.confirmed
}

// Merge merges records and returns those that were new. revision is the store's revision
// up to which this host's records are complete afterwards; zero if ends may lack records that
// changed after the known revision, as they do if that is of another era.
func (reg *Registry) Merge(ends []Endpoint, revision Revision, now time.Time) []Endpoint {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	if revision.Era != reg.revision.Era {
		revision = Revision{}
	}
	return reg.merge(ends, revision, now)
}

// MergeComplete merges all records of the store at a revision and returns those that were
// new. Known records that are missing from ends and are not later than revision become
// Gone.
func (reg *Registry) MergeComplete(ends []Endpoint, revision Revision, now time.Time) []Endpoint {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	seen := make(map[string]bool, len(ends))
	for _, end := range ends {
		seen[end.ID] = true
	}
	all := slices.Clone(ends)
	for id, rec := range reg.records {
		if !seen[id] && !rec.Gone && rec.Revision.Era == revision.Era && !rec.Revision.After(revision) {
			end := rec.Endpoint
			end.Gone = true
			all = append(all, end)
		}
	}
	updates := reg.merge(all, revision, now)
	reg.complete = true
	return updates
}

func (reg *Registry) merge(ends []Endpoint, revision Revision, now time.Time) []Endpoint {
	if reg.records == nil {
		reg.records = map[string]*record{}
	}
	reg.learnEra(revision.Era, now)
	if revision.Era > reg.revision.Era {
		ends = reg.enterEra(ends, revision)
	}
	var updates, changed []Endpoint
	for _, end := range ends {
		if end.Revision.Era < reg.revision.Era {
			// All that the store still holds of it is in the records of the later era.
			continue
		}
		reg.learnEra(end.Revision.Era, now)
		old := reg.records[end.ID]
		if old != nil && !end.newer(old.Endpoint) {
			continue
		}
		updates = append(updates, end)
		if old == nil || !end.renews(old.Endpoint) {
			changed = append(changed, end)
		}
	}
	unusableFrom := reg.removalTime(updates, now)
	for _, end := range updates {
		reg.mergeRecord(end, unusableFrom, now)
	}
	reg.revision = reg.revision.Latest(revision)
	if len(updates) > 0 {
		reg.dropTombstones(now)
	}
	return changed
}

// mergeRecord merges one record, whose endpoint is unusable from a time if it is removed.
func (reg *Registry) mergeRecord(end Endpoint, unusableFrom, now time.Time) {
	old := reg.records[end.ID]
	if old != nil && !end.newer(old.Endpoint) {
		// A newer record of the same endpoint came before it.
		return
	}
	rec := &record{Endpoint: end, coldUntil: now.Add(min(end.ColdFor, maxColdTime))}
	if end.Gone {
		rec.unusableFrom = unusableFrom
		if old == nil {
			// This host never used the endpoint, so the removal does not point to an outage
			// that this host has not detected.
			rec.unusableFrom = now
		}
		// The record of an unreadable entry holds only the ID and the revision.
		if old != nil && end.Service == "" {
			rec.Endpoint = old.Endpoint
			rec.Gone = true
			rec.Revision = end.Revision
		}
	}
	if old != nil && old.Revision.Era < end.Revision.Era {
		reg.crossEra(rec, old, now)
	}
	if old != nil && rec.Started.IsZero() {
		// An entry without a start does not show that another process has begun.
		rec.Started = old.Started
	}
	if old != nil && old.SaysLeaving && !rec.Started.After(old.LeavingStart) {
		// Only the endpoint's answers tell; only a later process revokes it.
		rec.SaysLeaving, rec.LeavingStart = true, old.LeavingStart
	}
	reg.records[end.ID] = rec
}

// removalTime returns the time from which removals received now take effect.
func (reg *Registry) removalTime(updates []Endpoint, now time.Time) time.Time {
	switch {
	case now.Sub(reg.confirmed) > outageAge:
		return now.Add(reregisterGrace)
	case now.Sub(reg.outageEnd) < reregisterGrace:
		return reg.outageEnd.Add(reregisterGrace)
	}
	present := map[string]int{}
	lost := map[string]int{}
	for _, end := range updates {
		if old := reg.records[end.ID]; end.Gone && old != nil && !old.Gone && !old.Leaving && !old.SaysLeaving {
			lost[old.Service]++
		}
	}
	for _, rec := range reg.records {
		if !rec.Gone {
			present[rec.Service]++
		}
	}
	for service, count := range lost {
		if count >= massRemovalCount && float64(count) >= massRemovalShare*float64(present[service]) {
			return reg.withinLeaveLimit(now.Add(massRemovalGrace), now)
		}
	}
	return now
}

// withinLeaveLimit returns at, or an earlier time if the entries may have been removed soon after
// the records were last confirmed, and at would be too late then.
func (reg *Registry) withinLeaveLimit(at, now time.Time) time.Time {
	latest := reg.confirmed.Add(time.Duration(leaveShare * float64(cmp.Or(reg.LeaveWithin, defaultLeaveWithin))))
	if at.Before(latest) {
		return at
	}
	if now.After(latest) {
		return now
	}
	return latest
}

func (reg *Registry) dropTombstones(now time.Time) {
	for id, rec := range reg.records {
		if rec.Gone && now.Sub(rec.unusableFrom) > tombstoneLifetime {
			delete(reg.records, id)
		}
	}
}

// usable reports whether an endpoint may get new requests.
func (reg *Registry) usable(rec *record, now time.Time) bool {
	return !reg.evacuated(rec.DataCenter, now) && rec.takesCalls(now)
}

// takesCalls reports whether the endpoint itself takes new requests.
func (rec *record) takesCalls(now time.Time) bool {
	return !rec.Leaving && !rec.SaysLeaving && !now.Before(rec.heldUntil) && rec.Address != "" && (!rec.Gone || now.Before(rec.unusableFrom))
}

// Usable returns the endpoints of a service that may get new requests, ordered by ID.
func (reg *Registry) Usable(service string, now time.Time) []Endpoint {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	var out []Endpoint
	for _, rec := range reg.records {
		if rec.Service == service && reg.usable(rec, now) {
			out = append(out, rec.Endpoint)
		}
	}
	slices.SortFunc(out, func(a, b Endpoint) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// Cold reports whether an endpoint may be cold: its entry says so, or the evacuation of its data
// centre has been lifted within coldStart.
func (reg *Registry) Cold(id string, coldStart time.Duration, now time.Time) bool {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	rec := reg.records[id]
	return rec != nil && (now.Before(rec.coldUntil) || now.Sub(reg.evacuations.liftedAt[rec.DataCenter]) < coldStart)
}

// MarkLeaving records that the answers of an endpoint's process say that it leaves. It
// returns the record if that is new.
func (reg *Registry) MarkLeaving(end Endpoint) []Endpoint {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	rec := reg.records[end.ID]
	if rec == nil || rec.SaysLeaving || !end.Started.IsZero() && rec.Started.After(end.Started) {
		return nil
	}
	rec.SaysLeaving, rec.LeavingStart = true, end.Started
	if end.Started.IsZero() {
		rec.LeavingStart = rec.Started
	}
	return []Endpoint{rec.Endpoint}
}

// KnownUnusable reports whether an endpoint is known and may get no new requests.
func (reg *Registry) KnownUnusable(id string, now time.Time) bool {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	rec := reg.records[id]
	return rec != nil && !reg.usable(rec, now)
}

// Find returns the endpoint with an ID if it may get new requests.
func (reg *Registry) Find(id string, now time.Time) (Endpoint, bool) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	rec := reg.records[id]
	if rec == nil || !reg.usable(rec, now) {
		return Endpoint{}, false
	}
	return rec.Endpoint, true
}

// RecordsAfter returns the records with a later revision than revision, all records of
// removed entries and of endpoints that say that they leave, and the revision up to which a peer is complete after it has merged
// them. It returns no records and the zero revision if this host's records are not complete.
func (reg *Registry) RecordsAfter(revision Revision) ([]Endpoint, Revision) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	if !reg.complete {
		return nil, Revision{}
	}
	var out []Endpoint
	for _, rec := range reg.records {
		if rec.Revision.After(revision) || rec.Gone || rec.SaysLeaving {
			out = append(out, rec.Endpoint)
		}
	}
	return out, reg.revision
}

// MergeFromPeer merges the records that a peer's RecordsAfter returned for this host's
// revision, and returns those that were new. Unlike Merge it marks this host's records as
// complete, unless revision is zero.
func (reg *Registry) MergeFromPeer(ends []Endpoint, revision Revision, now time.Time) []Endpoint {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	updates := reg.merge(ends, revision, now)
	reg.complete = reg.complete || !revision.IsZero()
	return updates
}
