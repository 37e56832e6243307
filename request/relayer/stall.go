package relayer

import (
	"context"
	"slices"
	"sync"
	"time"
)

// stallWatch detects an endpoint that sends nothing for too long. Such an endpoint may
// have failed or may be busy with other requests, so the send is cancelled only once
// another endpoint is available for the call.
type stallWatch struct {
	fwd    *forwarding
	lease  Lease
	cancel context.CancelCauseFunc

	mu    sync.Mutex
	timer *time.Timer
	// events counts the events received, so that an event that arrives during the
	// search for a replacement is noticed.
	events  int
	stopped bool
}

// watchStall starts to watch a send. cancel cancels ctx, the context of the send.
func (fwd *forwarding) watchStall(ctx context.Context, lea Lease, cancel context.CancelCauseFunc) *stallWatch {
	watch := &stallWatch{fwd: fwd, lease: lea, cancel: cancel}
	watch.mu.Lock()
	defer watch.mu.Unlock()
	watch.timer = time.AfterFunc(fwd.stallLimit(lea, fwd.Clock()), func() { watch.findReplacement(ctx) })
	return watch
}

// eventReceived restarts the timer after an event of a stream.
func (watch *stallWatch) eventReceived() {
	watch.mu.Lock()
	defer watch.mu.Unlock()
	watch.events++
	watch.timer.Reset(watch.fwd.pauseLimit())
}

func (watch *stallWatch) stop() {
	watch.mu.Lock()
	defer watch.mu.Unlock()
	watch.stopped = true
	watch.timer.Stop()
}

// findReplacement requests another endpoint and cancels the send if it gets one.
func (watch *stallWatch) findReplacement(ctx context.Context) {
	fwd, id, now := watch.fwd, watch.lease.Endpoint.ID, watch.fwd.Clock()
	events, stopped := watch.snapshot()
	if stopped {
		return
	}
	if !fwd.takeRetry(now) {
		watch.retryLater(events)
		return
	}
	fwd.mu.Lock()
	excluded := append(slices.Clone(fwd.excluded), id)
	fwd.mu.Unlock()
	lea, err := fwd.place(ctx, excluded)
	if err != nil {
		fwd.log.Info().Str("Endpoint", id).Err(err).Dur("LookMs", fwd.Clock().Sub(now)).Msg("endpoint stalled and no other endpoint is available; waiting for it and searching again later")
		watch.retryLater(events)
		return
	}
	watch.mu.Lock()
	defer watch.mu.Unlock()
	if watch.stopped || watch.events != events {
		lea.Release()
		return
	}
	fwd.log.Info().Str("Endpoint", id).Str("Next", lea.Endpoint.ID).Dur("LookMs", fwd.Clock().Sub(now)).Msg("endpoint stalled; resending the call to another endpoint")
	fwd.replacement = &lea
	watch.stopped = true
	watch.cancel(errStalled)
}

func (watch *stallWatch) snapshot() (events int, stopped bool) {
	watch.mu.Lock()
	defer watch.mu.Unlock()
	return watch.events, watch.stopped
}

// retryLater schedules the next search for a replacement, unless an event has arrived.
func (watch *stallWatch) retryLater(events int) {
	watch.mu.Lock()
	defer watch.mu.Unlock()
	if !watch.stopped && watch.events == events {
		watch.timer.Reset(replacementInterval)
	}
}

// takeRetry takes a retry from the budget if the call may be sent to another endpoint.
// It returns false if the call may not, or if no retry is left.
func (fwd *forwarding) takeRetry(now time.Time) bool {
	fwd.mu.Lock()
	sta := fwd.state
	fwd.mu.Unlock()
	return sta.allowsResend(fwd.route) && sta.mayResend(SendLimits{
		Route: fwd.route, Left: fwd.deadline.Sub(now), TakeRetry: func() bool { return fwd.takeFromBudget(now) },
	})
}
