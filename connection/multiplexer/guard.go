package multiplexer

import (
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
)

// monitor sends heartbeats on a session while calls are in progress, and closes the
// session when a heartbeat is not answered. A session without calls causes no work
// until it has been idle for idleTimeout.
type monitor struct {
	link link
	// retireIdle takes the idle session out of use and returns true, unless a call
	// has started. It is nil on the accepting side, where the peer closes the session.
	retireIdle func() bool

	mu    sync.Mutex
	calls int
	// scheduled reports whether the timer of the next heartbeat runs; lastUsed is
	// the time at which the last call ended.
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

// heartbeat sends a heartbeat if calls are in progress, and schedules the next one
// while they are.
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

// watchIdle closes the session once it has been idle for idleTimeout.
func (mon *monitor) watchIdle() {
	mon.mu.Lock()
	mon.lastUsed = time.Now()
	mon.mu.Unlock()
	time.AfterFunc(idleTimeout, mon.checkIdle)
}

func (mon *monitor) checkIdle() {
	mon.mu.Lock()
	left := idleTimeout - time.Since(mon.lastUsed)
	if mon.calls > 0 {
		left = idleTimeout
	}
	mon.mu.Unlock()
	switch {
	case mon.link.IsClosed():
	case left <= 0 && mon.retireIdle():
		mon.link.Close()
	default:
		time.AfterFunc(max(left, heartbeatInterval), mon.checkIdle)
	}
}

// handler wraps a handler so that the monitor counts its calls.
func (mon *monitor) handler(han Handler) Handler {
	return func(ctx context.Context, env *messenger.Envelope) *messenger.Envelope {
		mon.beginCall()
		defer mon.endCall()
		return han(ctx, env)
	}
}
