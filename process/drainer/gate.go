package drainer

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// ErrStopping is the cause with which the drain ends the contexts of requests.
var ErrStopping = eris.New("the host stops")

// Gate tells the requests of a host what its drain permits. The zero value and a nil Gate
// belong to a host that never drains; Run moves the Gate of its Host through the phases of
// the drain.
type Gate struct {
	mu    sync.Mutex
	state State
	// closing ends when the phase Closing begins, answering with the phase Answering.
	closing, answering phaseContext
}

// phaseContext is a context that ends when a phase begins.
type phaseContext struct {
	ctx context.Context //nolint:containedctx // It ends with a phase of the host, not with a request.
	end context.CancelFunc
}

func (pha *phaseContext) get() context.Context {
	if pha.ctx == nil {
		pha.ctx, pha.end = context.WithCancel(context.Background())
	}
	return pha.ctx
}

func (pha *phaseContext) finish() {
	pha.get()
	pha.end()
}

// Set records the state of the drain, and ends the contexts that the state does not permit.
func (gat *Gate) Set(sta State) {
	if gat == nil {
		return
	}
	gat.mu.Lock()
	defer gat.mu.Unlock()
	gat.state = sta
	switch sta.Phase {
	case Closing:
		gat.closing.finish()
	case Answering, Ended:
		gat.closing.finish()
		gat.answering.finish()
	}
}

func (gat *Gate) current() State {
	if gat == nil {
		return State{}
	}
	gat.mu.Lock()
	defer gat.mu.Unlock()
	return gat.state
}

// Draining reports whether the host drains or has drained.
func (gat *Gate) Draining() bool { return gat.current().Phase != Serving }

// Permits reports whether a request with this deadline may be sent to an endpoint.
func (gat *Gate) Permits(deadline, now time.Time) bool { return gat.current().Permits(deadline, now) }

// UntilAnswering returns a copy of ctx that ends with the cause ErrStopping when the host
// answers the requests that are still in progress. stop releases it.
func (gat *Gate) UntilAnswering(ctx context.Context) (_ context.Context, stop func()) {
	if gat == nil {
		return ctx, func() {}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	gat.mu.Lock()
	phase := gat.answering.get()
	gat.mu.Unlock()
	unregister := context.AfterFunc(phase, func() { cancel(ErrStopping) })
	return ctx, func() {
		unregister()
		cancel(nil)
	}
}

// OnRefusal calls refuse, at most once, when a request with this deadline may no longer be
// sent to an endpoint. stop ends this; it does not wait for a call of refuse that has begun.
func (gat *Gate) OnRefusal(deadline time.Time, refuse func()) (stop func()) {
	if gat == nil {
		return func() {}
	}
	gat.mu.Lock()
	phases := []context.Context{gat.closing.get(), gat.answering.get()}
	gat.mu.Unlock()
	var once sync.Once
	var stops []func() bool
	for _, phase := range phases {
		stops = append(stops, context.AfterFunc(phase, func() {
			if !gat.Permits(deadline, time.Now()) {
				once.Do(refuse)
			}
		}))
	}
	return func() {
		for _, unregister := range stops {
			unregister()
		}
	}
}
