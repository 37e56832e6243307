package server

import (
	"sync"
	"sync/atomic"

	"github.com/uber-go/tally/v4"
)

const (
	// maxSeries bounds the counters of one name, and so their memory. What is
	// beyond is counted together.
	maxSeries = 4000
	restTag   = "rest"
)

// series are the tags of a counter. rest drops the tag that tables may make
// many values of.
type series[T any] interface {
	comparable
	tags() map[string]string
	rest() T
}

// counters are the counters of one name by their tags.
type counters[T series[T]] struct {
	scope tally.Scope
	name  string

	mu    sync.Mutex
	known map[T]*counted
}

// counted is a counter that can be read, too.
type counted struct {
	counter tally.Counter
	total   atomic.Int64
}

// Inc counts.
func (cou *counted) Inc(num int64) {
	cou.counter.Inc(num)
	cou.total.Add(num)
}

// totals returns what was counted since the start.
func (cou *counters[T]) totals() map[T]int64 {
	cou.mu.Lock()
	defer cou.mu.Unlock()
	out := make(map[T]int64, len(cou.known))
	for ser, one := range cou.known {
		out[ser] = one.total.Load()
	}
	return out
}

func (cou *counters[T]) get(ser T) *counted {
	cou.mu.Lock()
	defer cou.mu.Unlock()
	if one, ok := cou.known[ser]; ok {
		return one
	}
	if len(cou.known) >= maxSeries {
		ser = ser.rest()
		if one, ok := cou.known[ser]; ok {
			return one
		}
	}
	if cou.known == nil {
		cou.known = map[T]*counted{}
	}
	one := &counted{counter: cou.scope.Tagged(ser.tags()).Counter(cou.name)}
	cou.known[ser] = one
	return one
}
