package multiplexer

import (
	"cmp"
	"context"
	"sync"
	"time"

	"hemlockpin/connection/messenger"
)

const (
	heartbeatInterval = 500 * time.Millisecond
	// heartbeatTimeout bounds the wait for the reply to a heartbeat; a session
	// whose heartbeat gets no reply is closed.
	heartbeatTimeout = time.Second
	// idleTimeout is how long a session is kept without calls. Membership probes
	// of random peers open sessions that are not used again for minutes.
	idleTimeout = 5 * time.Second
	// acceptedIdleTimeout is how long a session that a peer has opened is kept without calls.
	// Peers close theirs earlier.
	acceptedIdleTimeout = 3 * idleTimeout
)

// monitor sends heartbeats on a session while calls are in progress, and closes the
// session when a heartbeat is not answered. Nothing is sent on a session without
// calls; the host that dialed it closes it after idleTimeout.
type monitor struct {
	link link
	// maxIdle is how long the session is kept without calls; 0 stands for idleTimeout.
	// retireIfIdle removes the idle session and returns true; it returns false if a
	// call is in progress.
	maxIdle      time.Duration
	retireIfIdle func() bool

	mu    sync.Mutex
	calls int
	// scheduled reports whether the timer of the next heartbeat runs; lastUsed is
	// the time at which the last call ended, or at which the session was opened if
	// there was none.
	scheduled bool
	lastUsed  time.Time
}

// beginCall records that a call has started and starts the heartbeats if none are
// scheduled.
func (mon *monitor) beginCall() {
	mon.mu.Lock()
	defer mon.mu.Unlock()
	mon.calls++
	if !mon.scheduled {
		mon.scheduled = true
		time.AfterFunc(heartbeatInterval, mon.heartbeat)
	}
}

func (mon *monitor) endCall() {
	mon.mu.Lock()
	defer mon.mu.Unlock()
	mon.calls--
	mon.lastUsed = time.Now()
}

func (mon *monitor) busy() bool {
	mon.mu.Lock()
	defer mon.mu.Unlock()
	return mon.calls > 0
}

// heartbeat sends a heartbeat and schedules the next heartbeat if calls are in
// progress.
func (mon *monitor) heartbeat() {
	if mon.link.IsClosed() {
		return
	}
	if mon.busy() {
		if _, err := mon.link.Ping(); err != nil {
			mon.link.Close()
			return
		}
	}
	mon.mu.Lock()
	defer mon.mu.Unlock()
	if mon.scheduled = mon.calls > 0; mon.scheduled {
		time.AfterFunc(heartbeatInterval, mon.heartbeat)
	}
}

// watchIdle starts the timer that closes the session once it has been idle for maxIdle.
func (mon *monitor) watchIdle() {
	mon.mu.Lock()
	mon.lastUsed = time.Now()
	mon.mu.Unlock()
	time.AfterFunc(cmp.Or(mon.maxIdle, idleTimeout), mon.checkIdle)
}

// checkIdle closes the session if it has been idle for maxIdle, and otherwise
// schedules the next check.
func (mon *monitor) checkIdle() {
	mon.mu.Lock()
	limit := cmp.Or(mon.maxIdle, idleTimeout)
	left := limit - time.Since(mon.lastUsed)
	if mon.calls > 0 {
		left = limit
	}
	mon.mu.Unlock()
	switch {
	case mon.link.IsClosed():
	case left <= 0 && mon.retireIfIdle():
		mon.link.Close()
	default:
		time.AfterFunc(max(left, heartbeatInterval), mon.checkIdle)
	}
}

// countCalls returns a handler that calls han and reports its calls to the monitor.
func (mon *monitor) countCalls(han Handler) Handler {
	return func(ctx context.Context, env *messenger.Envelope) *messenger.Envelope {
		mon.beginCall()
		defer mon.endCall()
		return han(ctx, env)
	}
}
