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
	until map[holdKey]time.Time
}

// holdKey identifies a process of an endpoint.
type holdKey struct {
	endpoint string
	started  int64
}

func holdKeyOf(end registrar.Endpoint) holdKey {
	if end.Started.IsZero() {
		return holdKey{endpoint: end.ID}
	}
	return holdKey{end.ID, end.Started.UnixMilli()}
}

// add records that an endpoint wants no calls for a time.
func (hol *Holds) add(end registrar.Endpoint, wait time.Duration, now time.Time) {
	hol.mu.Lock()
	defer hol.mu.Unlock()
	if hol.until == nil {
		hol.until = map[holdKey]time.Time{}
	}
	for key, until := range hol.until {
		if !now.Before(until) {
			delete(hol.until, key)
		}
	}
	key := holdKeyOf(end)
	if until := now.Add(wait); until.After(hol.until[key]) {
		hol.until[key] = until
	}
}

// Left returns for how long an endpoint still wants no calls; 0 if it takes them.
func (hol *Holds) Left(end registrar.Endpoint, now time.Time) time.Duration {
	hol.mu.Lock()
	defer hol.mu.Unlock()
	return max(0, hol.until[holdKeyOf(end)].Sub(now))
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
	return len(hol.until) == 0
}
