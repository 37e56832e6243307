package assigner

import (
	"slices"
	"sync"
	"time"

	"hemlockpin/process/registrar"
)

// Holds are the endpoints that want no calls of this host for a time. The zero value is
// ready to use.
type Holds struct {
	mu    sync.Mutex
	holds map[string]hold
}

// hold is the time until which a process of an endpoint wants no calls. started is the start of
// the process; zero if unknown.
type hold struct {
	until   time.Time
	started time.Time
}

// covers reports whether the hold is that of the process of an endpoint. A record without a
// start, or with an earlier one, may be that of another writer.
func (hol hold) covers(end registrar.Endpoint) bool {
	return hol.started.IsZero() || !end.Started.After(hol.started)
}

// add records that an endpoint wants no calls for a time.
func (hol *Holds) add(end registrar.Endpoint, wait time.Duration, now time.Time) {
	hol.mu.Lock()
	defer hol.mu.Unlock()
	if hol.holds == nil {
		hol.holds = map[string]hold{}
	}
	for id, old := range hol.holds {
		if !now.Before(old.until) {
			delete(hol.holds, id)
		}
	}
	old, until := hol.holds[end.ID], now.Add(wait)
	if !old.covers(end) || until.After(old.until) {
		hol.holds[end.ID] = hold{until, end.Started}
	}
}

// Left returns for how long an endpoint still wants no calls; 0 if it takes them.
func (hol *Holds) Left(end registrar.Endpoint, now time.Time) time.Duration {
	hol.mu.Lock()
	defer hol.mu.Unlock()
	held := hol.holds[end.ID]
	if !held.covers(end) {
		return 0
	}
	return max(0, held.until.Sub(now))
}

// among returns the IDs of the endpoints that want no calls, and the shortest time until one
// of them takes calls again.
func (hol *Holds) among(ends []registrar.Endpoint, now time.Time) (ids []string, shortest time.Duration) {
	for _, end := range ends {
		left := hol.Left(end, now)
		if left <= 0 {
			continue
		}
		if len(ids) == 0 || left < shortest {
			shortest = left
		}
		ids = append(ids, end.ID)
	}
	slices.Sort(ids)
	return ids, shortest
}

// empty reports whether no endpoint is held.
func (hol *Holds) empty() bool {
	hol.mu.Lock()
	defer hol.mu.Unlock()
	return len(hol.holds) == 0
}
