package relayer

import (
	"context"
	"net/http"
	"time"

	"hemlockpin/process/drainer"
	"hemlockpin/version/parser"
)

// maySend reports whether the host's drain permits that the call is sent to an endpoint.
func (fwd *forwarding) maySend(now time.Time) bool { return fwd.Drain.Permits(fwd.deadline, now) }

// takeFromBudget takes a resend from the budget, unless the host stops before the resend
// would end.
func (fwd *forwarding) takeFromBudget(now time.Time) bool {
	return fwd.maySend(now) && fwd.RetryBudget.Take(fwd.pool.Name, now)
}

// untilRefusal returns a copy of ctx that ends once the call may no longer be sent to an
// endpoint.
func (fwd *forwarding) untilRefusal(ctx context.Context) (_ context.Context, stop func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	unregister := fwd.Drain.OnRefusal(fwd.deadline, func() { cancel(drainer.ErrStopping) })
	return ctx, func() {
		unregister()
		cancel(nil)
	}
}

// closeIfDraining asks the caller to close its connection if the host drains.
func (fwd *forwarding) closeIfDraining() {
	if fwd.Drain.Draining() {
		fwd.wri.Header().Set("Connection", "close")
	}
}

// readBodyUnlessStopping reads the body. It ends once the call may no longer be sent to an
// endpoint, also if the caller has not sent the whole body.
func (fwd *forwarding) readBodyUnlessStopping(lim parser.Limits) *errorAnswer {
	ctl := http.NewResponseController(fwd.wri)
	stop := fwd.Drain.OnRefusal(fwd.deadline, func() {
		// The answer says why the call ends, whether or not the read could be interrupted.
		_ = ctl.SetReadDeadline(fwd.arrived)
	})
	defer stop()
	ans := fwd.readBody(lim)
	if fwd.maySend(fwd.Clock()) {
		return ans
	}
	return &errorAnswer{status: http.StatusServiceUnavailable, code: codeStopping, message: "the host stops; the call has not run and will not", retryAfter: minRetryAfter}
}

// finishStopping ends a call that the host no longer sends because it stops. The failure
// with which an endpoint has answered an earlier send is passed on.
func (fwd *forwarding) finishStopping() {
	fwd.log.Info().Int("Sends", fwd.state.Sends).Dur("LeftMs", fwd.deadline.Sub(fwd.Clock())).Dur("AfterMs", fwd.Clock().Sub(fwd.arrived)).
		Msg("call might outlast the host, which stops; not sending it")
	if fwd.answer.status != 0 && fwd.state.Events == 0 {
		fwd.finish(Deliver{}, 0)
		return
	}
	fwd.finish(fwd.state.endIncomplete(http.StatusGatewayTimeout, codeStopping), 0)
}
