// Package ejector excludes failing endpoints from placement for a while. After this
// period an endpoint gets single trial requests until one of them succeeds.
//
// Each host ejects endpoints by its own requests alone. This only makes placement
// faster: if more than half of a pool's endpoints are ejected, none of them is excluded,
// unless requests can be served without these endpoints.
package ejector

import (
	"sync"
	"time"
)

const (
	// BasePeriod is how long an endpoint is ejected after its first failure in a row.
	BasePeriod = 500 * time.Millisecond
	// MaxPeriod bounds the period, which doubles with each failure in a row.
	MaxPeriod = 8 * time.Second
	// TrialInterval is the least time between two trial requests to an endpoint.
	TrialInterval = 250 * time.Millisecond

	// maxEjectedShare is the largest share of a pool's endpoints that may be ejected at
	// a time. If more fail, the fault is more likely on this host's side, and no
	// endpoint of the pool is ejected.
	maxEjectedShare = 0.5
	// maxDoublings bounds the shift of BasePeriod, so that the period does not overflow
	// before it is reduced to MaxPeriod.
	maxDoublings = 8
)

// Health is the record of one endpoint's failures. It is an immutable value; the zero
// value is a healthy endpoint.
type Health struct {
	// Failures is the number of failures in a row.
	Failures int
	// EjectedUntil is the end of the period in which the endpoint gets no requests.
	EjectedUntil time.Time
	// LastTrial is the time of the last trial request.
	LastTrial time.Time
}

// WithFailure returns the health after a failure. Failures while the endpoint is ejected,
// of requests that were sent before, are not counted.
func (hea Health) WithFailure(now time.Time) Health {
	if now.Before(hea.EjectedUntil) {
		return hea
	}
	period := min(MaxPeriod, BasePeriod<<min(hea.Failures, maxDoublings))
	hea.Failures++
	hea.EjectedUntil = now.Add(period)
	return hea
}

// TryRequest reports whether the endpoint may get a request now. If the request would be
// a trial, the health returned records the trial as used.
func (hea Health) TryRequest(now time.Time) (Health, bool) {
	switch {
	case hea.Failures == 0:
		return hea, true
	case now.Before(hea.EjectedUntil), now.Sub(hea.LastTrial) < TrialInterval:
		return hea, false
	}
	hea.LastTrial = now
	return hea, true
}

// Ejector holds the health of the endpoints that have failed. Its zero value is ready to
// use.
type Ejector struct {
	mu     sync.Mutex
	failed map[string]Health
}

// RecordFailure records a failure of an endpoint.
func (eje *Ejector) RecordFailure(id string, now time.Time) {
	eje.mu.Lock()
	defer eje.mu.Unlock()
	if eje.failed == nil {
		eje.failed = map[string]Health{}
	}
	eje.failed[id] = eje.failed[id].WithFailure(now)
}

// RecordSuccess records that an endpoint served a request, which ends its ejection.
func (eje *Ejector) RecordSuccess(id string) {
	eje.mu.Lock()
	defer eje.mu.Unlock()
	delete(eje.failed, id)
}

// Excluded returns the endpoints of a pool that get no requests now. poolSize is the
// number of the pool's endpoints, and inPool reports whether an endpoint belongs to the
// pool. An endpoint whose trial is due is left out of the result of one call, which uses
// up the trial; the next trial is due after TrialInterval. servableElsewhere reports that
// requests can be served without these endpoints, so that all of them may be excluded.
func (eje *Ejector) Excluded(poolSize int, servableElsewhere bool, inPool func(id string) bool, now time.Time) []string {
	eje.mu.Lock()
	defer eje.mu.Unlock()
	var out []string
	for id, hea := range eje.failed {
		if !inPool(id) {
			continue
		}
		next, ok := hea.TryRequest(now)
		eje.failed[id] = next
		if !ok {
			out = append(out, id)
		}
	}
	if !servableElsewhere && float64(len(out)) > maxEjectedShare*float64(poolSize) {
		return nil
	}
	return out
}

// EjectedCount returns the number of endpoints that have failed and have served no
// request since: they are ejected or get trial requests.
func (eje *Ejector) EjectedCount() int {
	eje.mu.Lock()
	defer eje.mu.Unlock()
	return len(eje.failed)
}
