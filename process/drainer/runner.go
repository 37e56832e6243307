package drainer

import (
	"time"

	"github.com/rotisserie/eris"
)

// checkInterval is the interval at which a drain checks the work in progress and its time
// limits.
const checkInterval = 20 * time.Millisecond

// ErrAborted means that a second signal or the time limit ended a drain early; work may
// have been in progress.
var ErrAborted = eris.New("drainer: work in progress aborted")

// Host holds the operations of a host that a drain uses.
type Host struct {
	// Announce makes the readiness check fail and notifies peers that the host is
	// leaving. It must not block for long.
	Announce func()
	// Close stops accepting connections. It must not block.
	Close func()
	// Answer is called when the requests that are still in progress are answered. It must
	// not block.
	Answer func()
	// Gate tells the requests in progress what the drain permits; nil for none.
	Gate *Gate
	// Requests and Writes return the number of requests and of background writes in
	// progress.
	Requests func() int
	Writes   func() int
}

// Run drains a host and returns when the drain has ended. Each value received from
// signals is a further signal. It returns ErrAborted if the drain was ended early.
func Run[T any](hos Host, set Settings, signals <-chan T) error {
	sta, act := State{Settings: set}.Next(Signal{}, time.Now())
	tic := time.NewTicker(checkInterval)
	defer tic.Stop()
	for {
		hos.Gate.Set(sta)
		switch act := act.(type) {
		case Announce:
			hos.Announce()
		case Close:
			hos.Close()
		case Answer:
			hos.Answer()
		case End:
			return nil
		case Abort:
			return eris.Wrapf(ErrAborted, "drainer.Run: %s with %d requests and %d writes", act.Reason, hos.Requests(), hos.Writes())
		}
		select {
		case <-tic.C:
			sta, act = sta.Next(Work{Requests: hos.Requests(), Writes: hos.Writes()}, time.Now())
		case <-signals:
			sta, act = sta.Next(Signal{}, time.Now())
		}
	}
}
