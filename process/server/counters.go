package server

import (
	"sync"
	"sync/atomic"

	"github.com/uber-go/tally/v4"
)

const (
	// maxSeries bounds the counters of one name, and so their memory. Further series
	// share the counters whose unbounded tag has the value overflowValue; there is one of
	// these for each combination of the other tags.
	maxSeries     = 4000
	overflowValue = "rest"
)

// series is the set of tags of one counter. overflow returns the series with
// overflowValue as the value of the one tag whose values are unbounded, the name of a
// route or team.
type series[T any] interface {
	comparable
	tags() map[string]string
	overflow() T
}

// seriesCounters holds the counters of one name by their tags.
type seriesCounters[T series[T]] struct {
	scope tally.Scope
	name  string

	mu       sync.Mutex
	bySeries map[T]*seriesCounter
}

// seriesCounter is a metrics counter whose total can be read.
type seriesCounter struct {
	counter tally.Counter
	total   atomic.Int64
}

// Inc adds n to the counter.
func (cou *seriesCounter) Inc(n int64) {
	cou.counter.Inc(n)
	cou.total.Add(n)
}

// totals returns the total of each series since the start.
func (cous *seriesCounters[T]) totals() map[T]int64 {
	cous.mu.Lock()
	defer cous.mu.Unlock()
	out := make(map[T]int64, len(cous.bySeries))
	for key, entry := range cous.bySeries {
		out[key] = entry.total.Load()
	}
	return out
}

// counter returns the counter of a series, which it creates if needed. Beyond maxSeries,
// it returns the counter of the series' overflow.
func (cous *seriesCounters[T]) counter(key T) *seriesCounter {
	cous.mu.Lock()
	defer cous.mu.Unlock()
	if entry, ok := cous.bySeries[key]; ok {
		return entry
	}
	if len(cous.bySeries) >= maxSeries {
		key = key.overflow()
		if entry, ok := cous.bySeries[key]; ok {
			return entry
		}
	}
	if cous.bySeries == nil {
		cous.bySeries = map[T]*seriesCounter{}
	}
	entry := &seriesCounter{counter: cous.scope.Tagged(key.tags()).Counter(cous.name)}
	cous.bySeries[key] = entry
	return entry
}
