package drainer

import (
	"time"

	"github.com/rotisserie/eris"
)

const lookInterval = 20 * time.Millisecond

// ErrCut means that a host ended with work in progress.
var ErrCut = eris.New("drainer: work in progress was cut")

// Host is what a drain acts on.
type Host struct {
	// Announce ends readiness and tells peers; it must not block for long.
	Announce func()
	// Close takes no more connections; it must not block.
	Close func()
	// Requests and Writes count the work in progress.
	Requests func() int
	Writes   func() int
}

// Run drains a host. Each value of again is a further signal.
func Run[T any](hos Host, set Settings, again <-chan T) error {
	sta, act := State{Settings: set}.Next(Signal{}, time.Now())
	tic := time.NewTicker(lookInterval)
	defer tic.Stop()
	for {
		switch act := act.(type) {
		case Announce:
			hos.Announce()
		case Close:
			hos.Close()
		case End:
			return nil
		case Cut:
			return eris.Wrapf(ErrCut, "drainer.Run: %s with %d requests and %d writes", act.Reason, hos.Requests(), hos.Writes())
		}
		select {
		case <-tic.C:
			sta, act = sta.Next(Progress{Requests: hos.Requests(), Writes: hos.Writes()}, time.Now())
		case <-again:
			sta, act = sta.Next(Signal{}, time.Now())
		}
	}
}
