package relayer

import (
	"context"
	"io"
	"slices"
	"sync"
	"time"
)

const (
	// lossGrace is the time without progress after which an answer counts as lost whose endpoint does
	// not run the call any more. What the endpoint has sent may still be on its way.
	lossGrace = 200 * time.Millisecond
	// transitGrace takes its place once a part of the answer has arrived: the path works, and what
	// a lossy link holds back comes sooner than another run.
	transitGrace = time.Second
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
	events int
	// progress counts what was received and forwarded of the answer; forwarding says that an
	// event is being forwarded.
	progress   int
	forwarding bool
	stopped    bool
}

// watchStall starts to watch a send. cancel cancels ctx, the context of the send.
func (fwd *forwarding) watchStall(ctx context.Context, lea Lease, cancel context.CancelCauseFunc) *stallWatch {
	watch := &stallWatch{fwd: fwd, lease: lea, cancel: cancel}
	watch.mu.Lock()
	defer watch.mu.Unlock()
	watch.timer = time.AfterFunc(fwd.stallLimit(lea, fwd.Clock()), func() { watch.findReplacement(ctx) })
	if lea.Lost != nil {
		go watch.awaitLoss(ctx)
	}
	return watch
}

// eventReceived restarts the timer after an event of a stream.
func (watch *stallWatch) eventReceived() {
	watch.mu.Lock()
	defer watch.mu.Unlock()
	watch.events++
	watch.progress++
	watch.forwarding = true
	watch.timer.Reset(watch.fwd.pauseLimit())
}

// eventForwarded records that the caller has taken the event that was received last.
func (watch *stallWatch) eventForwarded() {
	watch.mu.Lock()
	defer watch.mu.Unlock()
	watch.progress++
	watch.forwarding = false
}

// bytesReceived records that a part of an answer was received.
func (watch *stallWatch) bytesReceived() {
	watch.mu.Lock()
	defer watch.mu.Unlock()
	watch.progress++
}

// watchedReader reads an answer that isn't a stream.
type watchedReader struct {
	io.Reader
	watch *stallWatch
}

// Read reads a part of the answer.
func (rea watchedReader) Read(buf []byte) (int, error) {
	n, err := rea.Reader.Read(buf)
	if n > 0 {
		rea.watch.bytesReceived()
	}
	return n, err
}

// awaitLoss cancels the send once the endpoint is known not to run the call any more and nothing
// of its answer is on the way. A call that may still wait at the endpoint is only cancelled if
// another endpoint may run it.
func (watch *stallWatch) awaitLoss(ctx context.Context) {
	var los Loss
	select {
	case los = <-watch.lease.Lost:
	case <-ctx.Done():
		return
	}
	fwd := watch.fwd
	if !los.Ran && !fwd.allowsResend() {
		fwd.log.Info().Str("Endpoint", watch.lease.Endpoint.ID).Msg("endpoint has not begun the call; waiting for its refusal, since no other endpoint may run the call")
		return
	}
	for !watch.cancelIfIdle(ctx) {
	}
}

// cancelIfIdle waits for lossGrace or transitGrace. It cancels the send if there was no progress meanwhile, and
// returns true if the send has ended.
func (watch *stallWatch) cancelIfIdle(ctx context.Context) bool {
	watch.mu.Lock()
	before := watch.progress
	watch.mu.Unlock()
	grace := lossGrace
	if before > 0 {
		grace = transitGrace
	}
	select {
	case <-time.After(grace):
	case <-ctx.Done():
		return true
	}
	watch.mu.Lock()
	defer watch.mu.Unlock()
	if watch.stopped {
		return true
	}
	if watch.forwarding || watch.progress != before {
		return false
	}
	watch.fwd.Scope.Counter("answers_lost").Inc(1)
	watch.fwd.log.Warn().Str("Endpoint", watch.lease.Endpoint.ID).Int("Events", watch.events).Msg("answer of the endpoint is lost; ending the send")
	watch.stopped = true
	watch.timer.Stop()
	watch.cancel(errLost)
	return true
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

// allowsResend reports whether another endpoint may run the call now.
func (fwd *forwarding) allowsResend() bool {
	fwd.mu.Lock()
	defer fwd.mu.Unlock()
	return fwd.state.allowsResend(fwd.route)
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
