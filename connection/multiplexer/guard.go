package multiplexer

import (
	"context"
	"sync"
	"time"

	"hemlockpin/connection/messenger"
)

const (
	heartbeatInterval = 500 * time.Millisecond
	// heartbeatTimeout bounds the reply of a heartbeat; a session that misses
	// one is closed.
	heartbeatTimeout = time.Second
	// idleTimeout is how long a session is kept without calls. Probes of random
	// peers open sessions that are not used again for minutes.
	idleTimeout = 5 * time.Second
)

// guard sends heartbeats on a session as long as it is busy with calls, and closes
// it when one is not answered. A session without calls wakes nobody until it has been
// idle for idleTimeout.
type guard struct {
	link link
	// idle reports whether the session may be closed after idleTimeout, and then takes
	// it out of use; nil if the peer closes it.
	idle func() bool

	mu    sync.Mutex
	calls int
	// beating says that a heartbeat is due, and used when the last call ended.
	beating bool
	used    time.Time
}

// begin counts a call; end takes it back.
func (gua *guard) begin() {
	gua.mu.Lock()
	defer gua.mu.Unlock()
	gua.calls++
	if !gua.beating {
		gua.beating = true
		time.AfterFunc(heartbeatInterval, gua.beat)
	}
}

func (gua *guard) end() {
	gua.mu.Lock()
	defer gua.mu.Unlock()
	gua.calls--
	gua.used = time.Now()
}

func (gua *guard) busy() bool {
	gua.mu.Lock()
	defer gua.mu.Unlock()
	return gua.calls > 0
}

// beat sends a heartbeat if calls are in progress, and goes on while they are.
func (gua *guard) beat() {
	if gua.link.IsClosed() {
		return
	}
	if gua.busy() {
		if _, err := gua.link.Ping(); err != nil {
			gua.link.Close()
			return
		}
	}
	gua.mu.Lock()
	defer gua.mu.Unlock()
	if gua.beating = gua.calls > 0; gua.beating {
		time.AfterFunc(heartbeatInterval, gua.beat)
	}
}

// watchIdle closes the session once it has been idle for idleTimeout.
func (gua *guard) watchIdle() {
	gua.mu.Lock()
	gua.used = time.Now()
	gua.mu.Unlock()
	time.AfterFunc(idleTimeout, gua.checkIdle)
}

func (gua *guard) checkIdle() {
	gua.mu.Lock()
	lef := idleTimeout - time.Since(gua.used)
	if gua.calls > 0 {
		lef = idleTimeout
	}
	gua.mu.Unlock()
	switch {
	case gua.link.IsClosed():
	case lef <= 0 && gua.idle():
		gua.link.Close()
	default:
		time.AfterFunc(max(lef, heartbeatInterval), gua.checkIdle)
	}
}

// handler wraps a handler so that its calls are counted.
func (gua *guard) handler(han Handler) Handler {
	return func(ctx context.Context, env *messenger.Envelope) *messenger.Envelope {
		gua.begin()
		defer gua.end()
		return han(ctx, env)
	}
}
