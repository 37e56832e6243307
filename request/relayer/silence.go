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
	run    *run
	lease  Lease
	cancel context.CancelCauseFunc

	mu    sync.Mutex
	timer *time.Timer
	// events counts the events received, so that an event that arrives during the
	// search for a replacement is noticed.
	events  int
	stopped bool
}

// watchStall starts a watch on a send with the context ctx, which cancel ends.
func (run *run) watchStall(ctx context.Context, lea Lease, cancel context.CancelCauseFunc) *stallWatch {
	watch := &stallWatch{run: run, lease: lea, cancel: cancel}
	watch.mu.Lock()
	defer watch.mu.Unlock()
	watch.timer = time.AfterFunc(run.firstEventLimit(lea, run.Clock()), func() { watch.findReplacement(ctx) })
	return watch
}

// eventReceived restarts the timer after an event of a stream.
func (watch *stallWatch) eventReceived() {
	watch.mu.Lock()
	defer watch.mu.Unlock()
	watch.events++
	watch.timer.Reset(watch.run.pauseLimit())
}

func (watch *stallWatch) stop() {
	watch.mu.Lock()
	defer watch.mu.Unlock()
	watch.stopped = true
	watch.timer.Stop()
}

// findReplacement requests another endpoint and cancels the send if it gets one.
func (watch *stallWatch) findReplacement(ctx context.Context) {
	run, id, now := watch.run, watch.lease.Endpoint.ID, watch.run.Clock()
	before, over := watch.state()
	if over {
		return
	}
	if !run.takeResend(now) {
		watch.retryLater(before)
		return
	}
	lea, err := run.place(ctx, append(slices.Clone(run.excluded), id))
	if err != nil {
		run.log.Info().Str("Endpoint", id).Err(err).Dur("LookMs", run.Clock().Sub(now)).Msg("endpoint stalled and no other endpoint is available; still waiting")
		watch.retryLater(before)
		return
	}
	watch.mu.Lock()
	defer watch.mu.Unlock()
	if watch.stopped || watch.events != before {
		lea.Release()
		return
	}
	run.log.Info().Str("Endpoint", id).Str("Next", lea.Endpoint.ID).Dur("LookMs", run.Clock().Sub(now)).Msg("endpoint stalled; resending the call to another endpoint")
	run.replacement = &lea
	watch.stopped = true
	watch.cancel(errStalled)
}

func (watch *stallWatch) state() (events int, over bool) {
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

// takeResend reports whether the call may be sent once more, and counts the resend.
func (run *run) takeResend(now time.Time) bool {
	run.mu.Lock()
	sta := run.state
	run.mu.Unlock()
	return run.route.Reruns() && sta.mayResend(SendLimits{
		Route: run.route, Left: run.deadline.Sub(now), TakeRetry: func() bool { return run.RetryBudget.Take(run.pool.Name, now) },
	})
}
