package relayer

import (
	"context"
	"slices"
	"sync"
	"time"
)

// silence watches for how long the endpoint of a call sends nothing. An endpoint that is
// silent may be dead, or busy with other requests: so it is given up only once another
// one is found at which the call can go on.
type silence struct {
	run    *run
	lease  Lease
	cancel context.CancelCauseFunc

	mu    sync.Mutex
	timer *time.Timer
	// events counts those that were heard, so that one that comes during the look for
	// another endpoint is noticed.
	events int
	over   bool
}

// watchSilence begins to watch. ctx is that of the send, which cancel ends.
func (run *run) watchSilence(ctx context.Context, lea Lease, cancel context.CancelCauseFunc) *silence {
	sil := &silence{run: run, lease: lea, cancel: cancel}
	sil.mu.Lock()
	defer sil.mu.Unlock()
	sil.timer = time.AfterFunc(run.firstLimit(lea, run.Clock()), func() { sil.moveOn(ctx) })
	return sil
}

// heard notes an event of a stream.
func (sil *silence) heard() {
	sil.mu.Lock()
	defer sil.mu.Unlock()
	sil.events++
	sil.timer.Reset(sil.run.pauseLimit())
}

// stop ends the watch.
func (sil *silence) stop() {
	sil.mu.Lock()
	defer sil.mu.Unlock()
	sil.over = true
	sil.timer.Stop()
}

// moveOn looks for another endpoint, and ends the send if there is one.
func (sil *silence) moveOn(ctx context.Context) {
	run, id, now := sil.run, sil.lease.Endpoint.ID, sil.run.Clock()
	bef, over := sil.state()
	if over {
		return
	}
	if !run.mayMove(now) {
		sil.again(bef)
		return
	}
	lea, err := run.place(ctx, append(slices.Clone(run.excluded), id))
	if err != nil {
		run.log.Info().Str("Endpoint", id).Err(err).Dur("LookMs", run.Clock().Sub(now)).Msg("endpoint is silent, and no other one can be had; the call stays")
		sil.again(bef)
		return
	}
	sil.mu.Lock()
	defer sil.mu.Unlock()
	if sil.over || sil.events != bef {
		lea.End()
		return
	}
	run.log.Info().Str("Endpoint", id).Str("Next", lea.Endpoint.ID).Dur("LookMs", run.Clock().Sub(now)).Msg("endpoint is silent; the call goes on elsewhere")
	run.next = &lea
	sil.over = true
	sil.cancel(errSilent)
}

func (sil *silence) state() (events int, over bool) {
	sil.mu.Lock()
	defer sil.mu.Unlock()
	return sil.events, sil.over
}

// again looks once more after a while, unless an event has come.
func (sil *silence) again(events int) {
	sil.mu.Lock()
	defer sil.mu.Unlock()
	if !sil.over && sil.events == events {
		sil.timer.Reset(silenceRetry)
	}
}

// mayMove reports whether the call may be sent once more, and counts that.
func (run *run) mayMove(now time.Time) bool {
	run.mu.Lock()
	sta := run.state
	run.mu.Unlock()
	return run.route.Reruns() && sta.resends(SendLimits{
		Route: run.route, Left: run.end.Sub(now), TakeRetry: func() bool { return run.RetryBudget.Take(run.pool.Name, now) },
	})
}
