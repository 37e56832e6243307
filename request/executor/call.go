package executor

import (
	"context"
	"errors"
	"net/http"
	"time"

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
	// maxClaimBudget bounds the claim; a claim gets at most half of the time.
	maxClaimBudget = 5 * time.Second
	claimShare     = 2
	// maxOutcomeBytes bounds the recorded body of an answer.
	maxOutcomeBytes = 4 << 10
)

// call is the running state of one call of a plain service.
type call struct {
	request
	service invoker.ServiceCall
}

// Call passes a call on to a plain service.
func (exe *Executor) Call(ctx context.Context, wri http.ResponseWriter, htr *http.Request, mat *matcher.Matcher) {
	req, err := exe.begin(wri, mat, htr.Header)
	if err == nil {
		err = exe.route(&req, mat, matcher.Query{Kind: parser.PoolService, Team: req.team.Name, Path: htr.URL.Path}, htr.Header)
	}
	if err != nil {
		responder.WriteProblem(wri, unclaimed(problemOf(err), htr.Header))
		return
	}
	bod, err := receiver.ReadBody(htr.Body, exe.MaxBodyBytes)
	if err != nil {
		responder.WriteProblem(wri, unclaimed(problemOf(err), htr.Header))
		return
	}
	ctx, cancel := context.WithDeadline(ctx, req.deadline)
	defer cancel()
	cal := &call{request: req, service: invoker.ServiceCall{
		Method: htr.Method, Path: htr.URL.RequestURI(), Header: forwarded(htr.Header), Body: bod,
		Key: htr.Header.Get(receiver.KeyHeader), Once: !req.route.Repeatable,
	}}
	done, ref := exe.admit(ctx, cal.placement(), cal.team, cal.pool)
	if ref != nil {
		responder.WriteProblem(wri, unclaimed(refusal(*ref), htr.Header))
		return
	}
	if req.route.Repeatable {
		defer done()
		exe.repeatable(ctx, cal)
		return
	}
	exe.once(ctx, cal, htr.Header.Get(receiver.KeyTimeHeader), done)
}

// unclaimed is a refusal before the claim of a call was looked at. An earlier
// call may have used a key that the caller supplied, and may have run.
func unclaimed(pro responder.Problem, hea http.Header) responder.Problem {
	if hea.Get(receiver.KeyHeader) != "" {
		pro.Ran = invoker.Unknown
	}
	return pro
}

// forwarded copies the headers that belong to the call itself.
func forwarded(hea http.Header) http.Header {
	out := http.Header{}
	for _, nam := range []string{"Content-Type", "Accept", "Accept-Language"} {
		if val := hea.Values(nam); len(val) > 0 {
			out[nam] = val
		}
	}
	return out
}

func (cal *call) placement() placer.Request {
	return placer.Request{ID: cal.id, Team: cal.team.Name, Pool: cal.pool.Name, Priority: cal.route.Priority, Deadline: cal.deadline}
}

// send dispatches a call to the endpoint of a lease.
func (exe *Executor) send(ctx context.Context, cal *call, lea Lease) (claimer.Event, error) {
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
	var ine *invoker.Error
	if errors.As(err, &ine) {
		fai.Ran = ine.Ran
	}
	return fai, err
}

func (cal *call) write(rep invoker.ServiceReply) {
	hea := cal.writer.Header()
	hea.Set("Content-Type", rep.Header.Get("Content-Type"))
	hea.Set(responder.RunHeader, string(invoker.Ran))
	cal.writer.WriteHeader(rep.Status)
	_, _ = cal.writer.Write(rep.Body)
}

// replay answers with a recorded outcome. A body too large to record is told
// apart from an empty one.
func (cal *call) replay(out *messenger.Outcome) {
	cal.writer.Header().Set("Hemlockpin-Replayed", "true")
	if out.GetTruncated() {
		cal.fail(claimer.Fail{Status: http.StatusConflict, Code: "outcome_not_kept", Message: "the call ran; its answer was not kept", Ran: invoker.Ran})
		return
	}
	cal.write(invoker.ServiceReply{Status: int(out.GetStatus()), Header: http.Header{"Content-Type": {out.GetContentType()}}, Body: out.GetBody()})
}

func (cal *call) fail(fai claimer.Fail) {
	responder.WriteProblem(cal.writer, responder.Problem{Status: fai.Status, Code: fai.Code, Message: fai.Message, Ran: fai.Ran, RetryAfter: fai.RetryAfter})
}
