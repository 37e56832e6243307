// Package localizer tells what it costs to serve a request outside the data centre of the host that
// has it: the delay of the link between the data centres, and the price of the bytes that cross it.
//
// The plan of a pool adds these costs to the loss that it expects of each choice, so that a request
// leaves its data centre exactly if waiting, lateness or pauses at home would cost its caller, and
// others, more. One plan decides for all data centres, with the requests that it has granted and
// those that wait, so that two data centres don't send each other their load.
package localizer

import (
	"math"
	"time"
)

const (
	bytesPerMB = 1 << 20
	// MaxDelay bounds the delay of a link.
	MaxDelay = 10 * time.Second
	// maxPrice bounds the price of a megabyte.
	maxPrice = 1e6
)

// Crossing is what it costs to serve a request in another data centre. The zero value is that of
// one that stays.
type Crossing struct {
	// Delay is the time that the request and its first event spend on the link, there and back.
	Delay time.Duration
	// Loss is the price of its bytes, in the worth of a usual request.
	Loss float64
	// Leaves reports whether the request leaves its data centre.
	Leaves bool
}

// Link is the link between two data centres, in either direction.
type Link struct{ From, To string }

// Localizer knows the links and the price. It is an immutable value; the zero value takes all data
// centres for one.
type Localizer struct {
	price  float64
	delays map[Link]time.Duration
}

// WithPrice returns a localizer with the price of a megabyte between data centres, in the worth of
// a usual request; 0 if leaving costs nothing, and then nothing is taken for leaving.
func (loc Localizer) WithPrice(price float64) Localizer {
	if loc.price = 0; price > 0 && !math.IsInf(price, 1) {
		loc.price = min(price, maxPrice)
	}
	return loc
}

// WithDelay returns a localizer with the delay of a link one way.
func (loc Localizer) WithDelay(lin Link, delay time.Duration) Localizer {
	delays := make(map[Link]time.Duration, len(loc.delays)+1)
	for known, old := range loc.delays {
		delays[known] = old
	}
	delays[lin] = min(MaxDelay, max(0, delay))
	loc.delays = delays
	return loc
}

// Crossing returns the cost of serving a request of a number of bytes, with its answer, that a host
// in one data centre has, at an endpoint in another. An empty name is that of an unknown one, from
// and to which nothing is taken for leaving.
func (loc Localizer) Crossing(from, to string, bytes int64) Crossing {
	if loc.price <= 0 || from == "" || to == "" || from == to {
		return Crossing{}
	}
	delay, known := loc.delays[Link{from, to}]
	if !known {
		delay = loc.delays[Link{to, from}]
	}
	return Crossing{Delay: 2 * delay, Loss: loc.price * float64(max(0, bytes)) / bytesPerMB, Leaves: true}
}
