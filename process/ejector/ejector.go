// Package ejector keeps endpoints that fail out of placement for a while. An
// ejected endpoint gets single trial requests until one succeeds.
//
// The knowledge is that of one host alone: it only makes placement faster, and
// an endpoint is used all the same where nothing else is left.
package ejector

import (
	"sync"
	"time"
)

const (
	// BasePeriod is how long an endpoint is out after its first failure in a row.
	BasePeriod = 500 * time.Millisecond
	// MaxPeriod bounds the period, which doubles with each failure in a row.
	MaxPeriod = 8 * time.Second
	// TrialInterval is the least time between two trial requests.
	TrialInterval = 250 * time.Millisecond

	// maxShare is the share of a pool's endpoints that may be out at a time.
	// Beyond it the failure is more likely on this host's side, and nothing is
	// ejected.
	maxShare = 0.5
	maxShift = 8
)

// Health is what is known of one endpoint. It is an immutable value; the zero
// value is healthy.
type Health struct {
	// Failures counts failures in a row.
	Failures int
	// EjectedUntil is the end of the period without requests.
	EjectedUntil time.Time
	// LastTrial is the time of the last trial request.
	LastTrial time.Time
}

// WithFailure returns the health after a failure. Failures of requests that
// were sent before the endpoint was ejected count once.
func (hea Health) WithFailure(now time.Time) Health {
	if now.Before(hea.EjectedUntil) {
		return hea
	}
	per := min(MaxPeriod, BasePeriod<<min(hea.Failures, maxShift))
	hea.Failures++
	hea.EjectedUntil = now.Add(per)
	return hea
}

// Accepts reports whether the endpoint takes a request now, and the health after
// it was placed there.
func (hea Health) Accepts(now time.Time) (Health, bool) {
	switch {
	case hea.Failures == 0:
		return hea, true
	case now.Before(hea.EjectedUntil), now.Sub(hea.LastTrial) < TrialInterval:
		return hea, false
	}
	hea.LastTrial = now
	return hea, true
}

// Ejector keeps the health of the endpoints that failed. Its zero value is
// ready.
type Ejector struct {
	mu   sync.Mutex
	ends map[string]Health
}

// RecordFailure notes a failure of an endpoint.
func (eje *Ejector) RecordFailure(id string, now time.Time) {
	eje.mu.Lock()
	defer eje.mu.Unlock()
	if eje.ends == nil {
		eje.ends = map[string]Health{}
	}
	eje.ends[id] = eje.ends[id].WithFailure(now)
}

// RecordSuccess notes that an endpoint served a request.
func (eje *Ejector) RecordSuccess(id string) {
	eje.mu.Lock()
	defer eje.mu.Unlock()
	delete(eje.ends, id)
}

// Excluded returns the endpoints of a pool that take no request now. One whose
// trial is due is left in, once. elsewhere says that requests can be served
// without the pool's endpoints, so that all of them may be out.
func (eje *Ejector) Excluded(size int, elsewhere bool, has func(id string) bool, now time.Time) []string {
	eje.mu.Lock()
	defer eje.mu.Unlock()
	var out []string
	for id, hea := range eje.ends {
		if !has(id) {
			continue
		}
		nex, ok := hea.Accepts(now)
		eje.ends[id] = nex
		if !ok {
			out = append(out, id)
		}
	}
	if !elsewhere && float64(len(out)) > maxShare*float64(size) {
		return nil
	}
	return out
}

// Ejected returns the number of endpoints that are out or on trial.
func (eje *Ejector) Ejected() int {
	eje.mu.Lock()
	defer eje.mu.Unlock()
	return len(eje.ends)
}
