package server

import (
	"sync"
	"sync/atomic"

	"github.com/uber-go/tally/v4"
)

const (
	// maxSeries bounds the counters of one name, and so their memory. Further series
	// share a counter with the tag overflowTag.
	maxSeries   = 4000
	overflowTag = "rest"
)

// series is the set of tags of one counter. overflow replaces the tag with an unbounded
// number of values, such as the name of a route or team, by overflowTag.
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
func (cou *seriesCounters[T]) totals() map[T]int64 {
	cou.mu.Lock()
	defer cou.mu.Unlock()
	out := make(map[T]int64, len(cou.bySeries))
	for ser, entry := range cou.bySeries {
		out[ser] = entry.total.Load()
	}
	return out
}

func (cou *seriesCounters[T]) get(ser T) *seriesCounter {
	cou.mu.Lock()
	defer cou.mu.Unlock()
	if entry, ok := cou.bySeries[ser]; ok {
		return entry
	}
	if len(cou.bySeries) >= maxSeries {
		ser = ser.overflow()
		if entry, ok := cou.bySeries[ser]; ok {
			return entry
		}
	}
	if cou.bySeries == nil {
		cou.bySeries = map[T]*seriesCounter{}
	}
	entry := &seriesCounter{counter: cou.scope.Tagged(ser.tags()).Counter(cou.name)}
	cou.bySeries[ser] = entry
	return entry
}
