// Package registrar holds what a host knows of the endpoints that the platform's
// store lists, whoever told it.
//
// Records are merged by the revision that the store gave them, so the order in
// which the store and peers tell of them makes no difference.
package registrar

import (
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// returnGrace is how long an endpoint whose entry lapsed while the store was
	// away may take to register again. The platform's contract says about 2 s.
	returnGrace = 2 * time.Second
	// outageAge is the time without a confirmation, by the store or through peers,
	// that counts as an outage. The entries of endpoints that can't reach the store
	// lapse after 3.6 s. A store that turns away this host alone is no outage, nor are
	// watches that have gone silent.
	outageAge = 3300 * time.Millisecond
	// massGrace delays the removal of many entries at once, which rather shows an
	// outage that this host has not noticed. It is under the 2 s within which a
	// leaving endpoint must be left.
	massGrace = 1200 * time.Millisecond
	// massShare is the share of a service's endpoints from which a removal counts
	// as one of many.
	massShare = 0.34
	// massCount is the least number of removals that count as many.
	massCount = 3
	// tombstoneLife is how long a removed entry is remembered, so that a peer's
	// older record does not bring it back.
	tombstoneLife = 10 * time.Minute
)

// Endpoint is one entry of the store. It is an immutable value.
type Endpoint struct {
	ID         string
	Service    string
	Address    string
	DataCenter string
	// Leaving endpoints take no new requests.
	Leaving bool
	// Gone says that the store no longer holds a usable entry.
	Gone bool
	// Revision is that of the entry's last change in the store.
	Revision uint64
	// Started is when the process began, as it says itself; zero if unknown.
	Started time.Time
	// Slots is the number of requests that it works on at once.
	Slots int
}

// newer reports whether end supersedes old.
func (end Endpoint) newer(old Endpoint) bool {
	if end.Revision != old.Revision {
		return end.Revision > old.Revision
	}
	return end.Gone && !old.Gone
}

// record is an endpoint with the time from which its removal counts.
type record struct {
	Endpoint
	removed time.Time
}

// Registry holds the records of one host. Its zero value is ready.
type Registry struct {
	mu       sync.Mutex
	recs     map[string]*record
	revision uint64
	known    bool
	// confirmed is when the store last held nothing newer, back when it was
	// confirmed again after an outage.
	confirmed time.Time
	back      time.Time
}

// Revision returns the store's revision up to which all records are known, and
// whether the records were ever known as a whole.
func (reg *Registry) Revision() (revision uint64, known bool) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	return reg.revision, reg.known
}

// Confirm notes that the store held nothing newer than a revision at a time.
func (reg *Registry) Confirm(revision uint64, at time.Time) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	if revision < reg.revision || !at.After(reg.confirmed) {
		return
	}
	if !reg.confirmed.IsZero() && at.Sub(reg.confirmed) > outageAge {
		reg.back = at
	}
	reg.confirmed = at
}

// Confirmed returns the last time at which the store held nothing newer, as far as this
// host knows directly or through peers.
func (reg *Registry) Confirmed() time.Time {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	return reg.confirmed
}

// Merge takes some records and returns those that were news. revision is that up
// to which they are complete; 0 where they don't follow on what is known.
func (reg *Registry) Merge(ends []Endpoint, revision uint64, now time.Time) []Endpoint {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	return reg.merge(ends, revision, now)
}

// Replace takes all records that the store held at a revision. What is known
// beyond them, and is not newer, has gone.
func (reg *Registry) Replace(ends []Endpoint, revision uint64, now time.Time) []Endpoint {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	see := make(map[string]bool, len(ends))
	for _, end := range ends {
		see[end.ID] = true
	}
	all := slices.Clone(ends)
	for id, rec := range reg.recs {
		if !see[id] && !rec.Gone && rec.Revision <= revision {
			end := rec.Endpoint
			end.Gone = true
			all = append(all, end)
		}
	}
	news := reg.merge(all, revision, now)
	reg.known = true
	return news
}

func (reg *Registry) merge(ends []Endpoint, revision uint64, now time.Time) []Endpoint {
	if reg.recs == nil {
		reg.recs = map[string]*record{}
	}
	var news []Endpoint
	for _, end := range ends {
		if old := reg.recs[end.ID]; old == nil || end.newer(old.Endpoint) {
			news = append(news, end)
		}
	}
	gra := reg.grace(news, now)
	for _, end := range news {
		rec := &record{Endpoint: end}
		if end.Gone {
			rec.removed = gra
			if reg.recs[end.ID] == nil {
				// This host never used the endpoint, so the removal can't be the mark of an
				// outage that it has not noticed.
				rec.removed = now
			}
			if old := reg.recs[end.ID]; old != nil && end.Service == "" {
				rec.Endpoint = old.Endpoint
				rec.Gone = true
				rec.Revision = end.Revision
			}
		}
		reg.recs[end.ID] = rec
	}
	reg.revision = max(reg.revision, revision)
	if len(news) > 0 {
		reg.forget(now)
	}
	return news
}

// grace returns the time from which removals that are learned now count.
func (reg *Registry) grace(news []Endpoint, now time.Time) time.Time {
	switch {
	case now.Sub(reg.confirmed) > outageAge:
		return now.Add(returnGrace)
	case now.Sub(reg.back) < returnGrace:
		return reg.back.Add(returnGrace)
	}
	left := map[string]int{}
	lost := map[string]int{}
	for _, end := range news {
		if old := reg.recs[end.ID]; end.Gone && old != nil && !old.Gone && !old.Leaving {
			lost[old.Service]++
		}
	}
	for _, rec := range reg.recs {
		if !rec.Gone {
			left[rec.Service]++
		}
	}
	for ser, num := range lost {
		if num >= massCount && float64(num) >= massShare*float64(left[ser]) {
			return now.Add(massGrace)
		}
	}
	return now
}

func (reg *Registry) forget(now time.Time) {
	for id, rec := range reg.recs {
		if rec.Gone && now.Sub(rec.removed) > tombstoneLife {
			delete(reg.recs, id)
		}
	}
}

// usable reports whether the endpoint may get new requests.
func (rec *record) usable(now time.Time) bool {
	return !rec.Leaving && rec.Address != "" && (!rec.Gone || now.Before(rec.removed))
}

// Usable returns the endpoints of a service that may get new requests, by ID.
func (reg *Registry) Usable(service string, now time.Time) []Endpoint {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	var out []Endpoint
	for _, rec := range reg.recs {
		if rec.Service == service && rec.usable(now) {
			out = append(out, rec.Endpoint)
		}
	}
	slices.SortFunc(out, func(one, two Endpoint) int { return strings.Compare(one.ID, two.ID) })
	return out
}

// Unusable reports whether an endpoint is known to be leaving or gone.
func (reg *Registry) Unusable(id string, now time.Time) bool {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	rec := reg.recs[id]
	return rec != nil && !rec.usable(now)
}

// Find returns an endpoint that may get new requests.
func (reg *Registry) Find(id string, now time.Time) (Endpoint, bool) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	rec := reg.recs[id]
	if rec == nil || !rec.usable(now) {
		return Endpoint{}, false
	}
	return rec.Endpoint, true
}

// After returns what a peer lacks that knows all records up to a revision, and
// the revision up to which it then does; 0 if this host does not know them.
func (reg *Registry) After(revision uint64) ([]Endpoint, uint64) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	if !reg.known {
		return nil, 0
	}
	var out []Endpoint
	for _, rec := range reg.recs {
		if rec.Revision > revision || rec.Gone {
			out = append(out, rec.Endpoint)
		}
	}
	return out, reg.revision
}

// MergeFromPeer takes all that a peer knows after the revision of this host's records.
func (reg *Registry) MergeFromPeer(ends []Endpoint, revision uint64, now time.Time) []Endpoint {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	news := reg.merge(ends, revision, now)
	reg.known = reg.known || revision > 0
	return news
}
