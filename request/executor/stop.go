package executor

import (
	"context"
	"net/http"
	"time"

	"hemlockpin/process/drainer"
	"hemlockpin/request/placer"
	"hemlockpin/request/receiver"
	"hemlockpin/request/responder"
	"hemlockpin/version/parser"
)

const (
	// codeStopping is the code of requests that the host refuses or ends because it stops.
	codeStopping = "host_stopping"
	stopMessage  = "the host stops before the request would end"
	// stopRetryAfter is the Retry-After of these requests. Another host takes them at once.
	stopRetryAfter = 100 * time.Millisecond
)

// mayDispatch reports whether the host's drain permits a dispatch of a request.
func (exe *Executor) mayDispatch(deadline time.Time) bool {
	return exe.Drain.Permits(deadline, exe.Clock())
}

// readWhole reads a request's body by read. The host stops to read when it answers the
// requests that are left at the end of its drain.
func (exe *Executor) readWhole(wri http.ResponseWriter, read func() error) error {
	now := exe.Clock()
	ctl := http.NewResponseController(wri)
	stop := exe.Drain.OnRefusal(now, func() { _ = ctl.SetReadDeadline(now) })
	defer stop()
	err := read()
	if err != nil && !exe.mayDispatch(now) {
		return stopRefusal()
	}
	return err
}

func stopRefusal() error {
	return &receiver.RefusalError{Status: http.StatusServiceUnavailable, Code: codeStopping, Message: stopMessage, RetryAfter: stopRetryAfter}
}

// acquire requests an endpoint. It ends once the request may no longer be dispatched.
func (exe *Executor) acquire(ctx context.Context, req placer.Request, poo parser.Pool) (Lease, error) {
	refused := &RefusedError{Refuse: placer.Refuse{Code: codeStopping, Message: stopMessage, RetryAfter: stopRetryAfter}}
	if !exe.mayDispatch(req.Deadline) {
		return Lease{}, refused
	}
	waitCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer exe.Drain.OnRefusal(req.Deadline, func() { cancel(drainer.ErrStopping) })()
	lea, err := exe.Allocator.Acquire(waitCtx, req, poo)
	switch {
	case exe.mayDispatch(req.Deadline) || err != nil && ctx.Err() != nil:
		return lea, err
	case err == nil:
		lea.Release()
	}
	return Lease{}, refused
}

// withStop returns the problem of a request, with the host's stop as the reason if the
// request ended before its time limit because the host stops.
func (exe *Executor) withStop(pro responder.Problem, deadline time.Time) responder.Problem {
	now := exe.Clock()
	if pro.Code == codeTimeLimit && !exe.mayDispatch(now) && now.Before(deadline.Add(-maxAnswerMargin)) {
		pro.Code, pro.Message = codeStopping, stopMessage
	}
	return pro
}
