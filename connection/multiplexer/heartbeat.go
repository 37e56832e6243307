package multiplexer

import "time"

const (
	heartbeatInterval = 500 * time.Millisecond
	// heartbeatTimeout bounds the reply of a heartbeat; a session that misses
	// one is closed.
	heartbeatTimeout = time.Second
	// idleTimeout is how long a session is kept without calls.
	idleTimeout = 15 * time.Second
)

// guard sends heartbeats on a session as long as it is busy with calls, and
// closes it when one is not answered. A session without calls costs nothing;
// idle, if not nil, reports whether it may be closed after idleTimeout.
func guard(lin link, busy, idle func() bool) {
	tic := time.NewTicker(heartbeatInterval)
	defer tic.Stop()
	var quiet time.Duration
	for {
		select {
		case <-tic.C:
		case <-lin.CloseChan():
			return
		}
		if busy() {
			quiet = 0
			if _, err := lin.Ping(); err != nil {
				lin.Close()
				return
			}
			continue
		}
		quiet += heartbeatInterval
		if idle != nil && quiet >= idleTimeout && idle() {
			lin.Close()
			return
		}
	}
}
