package throttler

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

const (
	// recordLifetime is the time without a change or an answer after which a limit is
	// forgotten.
	recordLifetime = 5 * time.Minute
	// maxRecords bounds the limits that a host keeps.
	maxRecords = 16384
)

// Throttler holds the limits that a host knows, and permits calls to the endpoints of which
// it is in charge. Its zero value is ready to use.
type Throttler struct {
	// OnChange receives the limits that this host has observed itself; nil for none.
	OnChange func(lims []Limit)
	Log      zerolog.Logger

	mu      sync.Mutex
	records map[string]record
	buckets map[string]Bucket
}

// record is a limit with the time at which it was last changed or observed.
type record struct {
	Limit
	at time.Time
}

// Limit returns the limit of an endpoint.
func (thr *Throttler) Limit(endpoint string) Limit {
	thr.mu.Lock()
	defer thr.mu.Unlock()
	return thr.limit(endpoint)
}

func (thr *Throttler) limit(endpoint string) Limit {
	lim := thr.records[endpoint].Limit
	lim.Endpoint = endpoint
	return lim
}

// Observe records what the answer of an endpoint says of its limit. sent is the sequence of
// the endpoint's limit when the call was sent.
func (thr *Throttler) Observe(endpoint string, sent uint64, rate float64, named bool, now time.Time) {
	thr.mu.Lock()
	old := thr.limit(endpoint)
	lim := old.WithObserved(rate, named, sent)
	changed := lim.newer(old)
	if changed || named {
		thr.put(lim, now)
	}
	thr.mu.Unlock()
	if !changed {
		return
	}
	thr.Log.Info().Str("Endpoint", endpoint).Float64("Rate", lim.Rate).Bool("Lifted", lim.Lifted).Uint64("Sequence", lim.Sequence).Float64("RateBefore", old.Rate).
		Msg("limit of an endpoint changed")
	if thr.OnChange != nil {
		thr.OnChange([]Limit{lim})
	}
}

// Merge merges limits that another host knows, and returns those that were new.
func (thr *Throttler) Merge(lims []Limit, now time.Time) []Limit {
	thr.mu.Lock()
	defer thr.mu.Unlock()
	var updates []Limit
	for _, lim := range lims {
		if lim.newer(thr.limit(lim.Endpoint)) && thr.put(lim, now) {
			updates = append(updates, lim)
		}
	}
	return updates
}

// put stores a limit. It returns false if there is no room for another one.
func (thr *Throttler) put(lim Limit, now time.Time) bool {
	if thr.records == nil {
		thr.records = map[string]record{}
	}
	if _, known := thr.records[lim.Endpoint]; !known {
		thr.expire(now)
		if len(thr.records) >= maxRecords {
			return false
		}
	}
	thr.records[lim.Endpoint] = record{lim, now}
	if !lim.InForce() {
		delete(thr.buckets, lim.Endpoint)
	}
	return true
}

func (thr *Throttler) expire(now time.Time) {
	for endpoint, rec := range thr.records {
		if now.Sub(rec.at) > recordLifetime {
			delete(thr.records, endpoint)
			delete(thr.buckets, endpoint)
		}
	}
}

// Permit takes one call to an endpoint, for calls that may use a share of its limit. coldRate is
// the rate of an endpoint that is cold, in calls per second; 0 if it is not. If Permit does not
// permit the call, it returns the time until the next one.
func (thr *Throttler) Permit(endpoint string, share, coldRate float64, now time.Time) (permitted bool, wait time.Duration) {
	thr.mu.Lock()
	defer thr.mu.Unlock()
	limited, rate := thr.limit(endpoint).WithCold(coldRate)
	if !limited {
		delete(thr.buckets, endpoint)
		return true, 0
	}
	if thr.buckets == nil {
		thr.buckets = map[string]Bucket{}
	}
	rate *= share
	buc := thr.buckets[endpoint].WithFill(rate, now)
	if permitted = buc.Allows(); permitted {
		buc = buc.WithCall()
	} else {
		wait = buc.Wait(rate)
	}
	thr.buckets[endpoint] = buc
	return permitted, wait
}

// Newest returns the limits that were changed or observed last, at most n.
func (thr *Throttler) Newest(n int) []Limit {
	thr.mu.Lock()
	defer thr.mu.Unlock()
	if len(thr.records) == 0 {
		return nil
	}
	recs := make([]record, 0, len(thr.records))
	for _, rec := range thr.records {
		recs = append(recs, rec)
	}
	slices.SortFunc(recs, func(a, b record) int { return cmp.Or(b.at.Compare(a.at), cmp.Compare(a.Endpoint, b.Endpoint)) })
	out := make([]Limit, 0, min(n, len(recs)))
	for _, rec := range recs[:min(n, len(recs))] {
		out = append(out, rec.Limit)
	}
	return out
}
