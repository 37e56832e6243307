package server

import (
	"sync"

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
	known map[T]tally.Counter
}

func (cou *counters[T]) get(ser T) tally.Counter {
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
		cou.known = map[T]tally.Counter{}
	}
	one := cou.scope.Tagged(ser.tags()).Counter(cou.name)
	cou.known[ser] = one
	return one
}
