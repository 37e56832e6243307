package executor

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"hemlockpin/connection/acceptor"
	"hemlockpin/connection/invoker"
	"hemlockpin/connection/messenger"
	"hemlockpin/request/claimer"
	"hemlockpin/request/placer"
	"hemlockpin/request/receiver"
	"hemlockpin/request/responder"
	"hemlockpin/version/matcher"
	"hemlockpin/version/parser"
)

const (
	// maxClaimTimeout bounds the time for the claim, as does the time left divided by
	// claimDivisor.
	maxClaimTimeout = 5 * time.Second
	claimDivisor    = 2
	// maxOutcomeBytes bounds the body that is recorded with an outcome.
	maxOutcomeBytes = 4 << 10
	// maxStatus is the highest status of HTTP.
	maxStatus = 599
)

// call is the state of one call to a plain service.
type call struct {
	request
	service invoker.ServiceCall
}

// Call forwards a call to a plain service.
func (exe *Executor) Call(ctx context.Context, wri http.ResponseWriter, htr *http.Request, mat *matcher.Matcher) {
	req, err := exe.authenticate(wri, mat, htr.Header)
	if err == nil {
		err = exe.resolveCallRoute(&req, mat, htr)
	}
	if err != nil {
		responder.WriteProblem(wri, unclaimedRefusal(problemOf(err), htr.Header))
		return
	}
	var body []byte
	err = exe.readWhole(wri, func() (err error) {
		body, err = receiver.ReadBody(htr.Body, exe.MaxBodyBytes)
		return err
	})
	if err != nil {
		responder.WriteProblem(wri, unclaimedRefusal(problemOf(err), htr.Header))
		return
	}
	ctx, stop := exe.Drain.UntilAnswering(ctx)
	defer stop()
	ctx, cancel := context.WithDeadline(ctx, req.deadline)
	defer cancel()
	cal := &call{request: req, service: invoker.ServiceCall{
		Method: htr.Method, Path: htr.URL.RequestURI(), Header: forwardedHeaders(htr.Header), Body: body,
		Key: htr.Header.Get(receiver.KeyHeader), AtMostOnce: !req.route.Repeatable,
	}}
	release, ref := exe.admit(ctx, cal.placement(), cal.team, cal.pool)
	if ref != nil {
		responder.WriteProblem(wri, unclaimedRefusal(refusal(*ref), htr.Header))
		return
	}
	if req.route.Repeatable {
		defer release()
		exe.runRepeatable(ctx, cal)
		return
	}
	exe.runOnce(ctx, cal, htr.Header.Get(receiver.KeyTimeHeader), release)
}

// resolveCallRoute finds the route of a call by the target that the service gets.
func (exe *Executor) resolveCallRoute(req *request, mat *matcher.Matcher, htr *http.Request) error {
	target := htr.URL.RequestURI()
	que := matcher.Query{Kind: parser.PoolService, Team: req.team.Name}
	if _, _, _, err := mat.RouteTarget(que, target); err != nil {
		return &receiver.RefusalError{Status: http.StatusBadRequest, Code: "ambiguous_path", Message: err.Error()}
	}
	que.Path, _, _ = strings.Cut(target, "?")
	return exe.resolveRoute(req, mat, que, htr.Header)
}

// unclaimedRefusal adjusts a refusal of a call that was not claimed. If the caller
// supplied the key, an earlier call with that key may have run.
func unclaimedRefusal(pro responder.Problem, hea http.Header) responder.Problem {
	if hea.Get(receiver.KeyHeader) != "" {
		pro.Execution = invoker.Unknown
	}
	return pro
}

// forwardedHeaders returns the headers that are passed on to the service.
func forwardedHeaders(hea http.Header) http.Header {
	out := http.Header{}
	for _, name := range []string{"Content-Type", "Accept", "Accept-Language"} {
		if values := hea.Values(name); len(values) > 0 {
			out[name] = values
		}
	}
	return out
}

func (cal *call) placement() placer.Request {
	return placer.Request{ID: cal.id, Team: cal.team.Name, Pool: cal.pool.Name, Priority: cal.route.Priority, Deadline: cal.deadline}
}

// dispatchCall sends a call to the endpoint of a lease.
func (exe *Executor) dispatchCall(ctx context.Context, cal *call, lea Lease) (claimer.Event, error) {
	ctx, spa := exe.Tracer.Start(ctx, "service")
	defer spa.End()
	rep, err := exe.Invoker.Call(ctx, lea.Address, cal.service)
	if ctx.Err() == nil {
		lea.report(err == nil, exe.Clock())
	}
	if err == nil {
		return claimer.Replied{Reply: rep}, nil
	}
	fai := claimer.Failed{Endpoint: lea.Endpoint, Ran: invoker.Unknown, Message: err.Error()}
	var invokeErr *invoker.Error
	if errors.As(err, &invokeErr) {
		fai.Ran = invokeErr.Execution
	}
	return fai, err
}

// write answers with a reply. One that nothing marks the end of is sent without a frame, so
// that its end looks no surer than it is; until all is sent, the connection is reset if it
// closes.
func (cal *call) write(ctx context.Context, rep invoker.ServiceReply) {
	hea := cal.writer.Header()
	hea.Set("Content-Type", rep.Header.Get("Content-Type"))
	hea.Set(responder.RunHeader, string(invoker.Ran))
	if rep.Unframed {
		hea.Set("Transfer-Encoding", "identity")
		acceptor.SetReset(ctx, true)
	}
	cal.writer.WriteHeader(rep.Status)
	_, _ = cal.writer.Write(rep.Body)
	if rep.Unframed && http.NewResponseController(cal.writer).Flush() == nil {
		acceptor.SetReset(ctx, false)
	}
}

// replay answers with a recorded outcome. An answer whose body was too large or too uncertain
// to record is reported as an error, since an empty body would be wrong. So is one whose status,
// recorded by an earlier version or another host, no final answer can have.
func (exe *Executor) replay(ctx context.Context, cal *call, out *messenger.Outcome) {
	cal.writer.Header().Set("Hemlockpin-Replayed", "true")
	if status := out.GetStatus(); out.GetTruncated() || status < http.StatusOK || status > maxStatus {
		exe.fail(cal, claimer.Fail{Status: http.StatusConflict, Code: "outcome_not_kept", Message: "the call ran; its answer was not kept", Ran: invoker.Ran})
		return
	}
	cal.write(ctx, invoker.ServiceReply{Status: int(out.GetStatus()), Header: http.Header{"Content-Type": {out.GetContentType()}}, Body: out.GetBody()})
}

func (exe *Executor) fail(cal *call, fai claimer.Fail) {
	pro := responder.Problem{Status: fai.Status, Code: fai.Code, Message: fai.Message, Execution: fai.Ran, RetryAfter: fai.RetryAfter}
	responder.WriteProblem(cal.writer, exe.withStop(pro, cal.deadline))
}
