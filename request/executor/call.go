package executor

import (
	"context"
	"crypto/sha256"
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

	"github.com/google/uuid"
)

const (
	claimBudget  = 3 * time.Second
	recordBudget = 5 * time.Second
	// maxOutcomeBytes bounds the recorded body of an answer.
	maxOutcomeBytes = 4 << 10
)

// call is the running state of one call of a plain service.
type call struct {
	request
	service invoker.ServiceCall
	state   claimer.State
	commit  *messenger.ClaimCommit
}

// Call passes a call on to a plain service.
func (exe *Executor) Call(ctx context.Context, wri http.ResponseWriter, htr *http.Request, mat *matcher.Matcher) {
	req, err := exe.begin(wri, mat, htr.Header)
	if err == nil {
		err = exe.route(&req, mat, matcher.Query{Kind: parser.PoolService, Team: req.team.Name, Path: htr.URL.Path}, htr.Header)
	}
	if err != nil {
		responder.WriteProblem(wri, problemOf(err))
		return
	}
	bod, err := receiver.ReadBody(htr.Body, exe.MaxBodyBytes)
	if err != nil {
		responder.WriteProblem(wri, problemOf(err))
		return
	}
	ctx, cancel := context.WithDeadline(ctx, req.deadline)
	defer cancel()
	cal := &call{request: req, service: invoker.ServiceCall{
		Method: htr.Method, Path: htr.URL.RequestURI(), Header: forwarded(htr.Header), Body: bod,
		Key: htr.Header.Get(receiver.KeyHeader), Once: !req.route.Repeatable,
	}}
	done, ref := exe.Admitter.Admit(cal.placement(), cal.team, cal.pool, exe.Clock())
	if ref != nil {
		responder.WriteProblem(wri, refusal(*ref))
		return
	}
	defer done()
	if req.route.Repeatable {
		exe.repeatable(ctx, cal)
		return
	}
	// A claimed call goes on when its caller leaves, so that its outcome is recorded.
	ctx, cancel = context.WithDeadline(context.WithoutCancel(ctx), req.deadline)
	defer cancel()
	exe.once(ctx, cal)
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
	return placer.Request{ID: cal.id, Team: cal.team.Name, Pool: cal.pool.Name, Priority: cal.route.Priority, Deadline: cal.deadline, Excluded: cal.state.Excluded}
}

func (exe *Executor) dispatchCall(ctx context.Context, cal *call) (claimer.Event, error) {
	lea, err := exe.Allocator.Acquire(ctx, cal.placement(), cal.pool)
	if err != nil {
		return claimer.NoEndpoint{Message: err.Error()}, err
	}
	defer lea.Release()
	ctx, spa := exe.Tracer.Start(ctx, "service")
	defer spa.End()
	rep, err := exe.Invoker.Call(ctx, lea.Address, cal.service)
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

// repeatable runs a call that may run more than once.
func (exe *Executor) repeatable(ctx context.Context, cal *call) {
	ran := invoker.NotRun
	for range claimer.MaxDispatches {
		eve, err := exe.dispatchCall(ctx, cal)
		switch eve := eve.(type) {
		case claimer.Replied:
			cal.write(eve.Reply)
			return
		case claimer.Failed:
			cal.state.Excluded = append(cal.state.Excluded, eve.Endpoint)
			if eve.Ran != invoker.NotRun {
				ran = invoker.Unknown
			}
		}
		if ctx.Err() != nil {
			responder.WriteProblem(cal.writer, responder.Problem{Status: http.StatusGatewayTimeout, Code: "time_limit", Message: "the time limit has passed", Ran: ran})
			return
		}
		if _, ok := eve.(claimer.NoEndpoint); ok {
			pro := problemOf(err)
			pro.Ran = ran
			responder.WriteProblem(cal.writer, pro)
			return
		}
	}
	responder.WriteProblem(cal.writer, responder.Problem{Status: http.StatusBadGateway, Code: "endpoint_failed", Message: "the endpoints that were tried failed", Ran: ran})
}

// once runs a call under a claim.
func (exe *Executor) once(ctx context.Context, cal *call) {
	cal.state.OwnKey = cal.service.Key != ""
	if !cal.state.OwnKey {
		cal.service.Key = uuid.Must(uuid.NewV7()).String()
	}
	cal.writer.Header().Set(receiver.KeyHeader, cal.service.Key)
	cal.commit = exe.claimOf(cal)
	res := exe.Claims.Commit(ctx, cal.commit, exe.Clock())
	var eve claimer.Event = claimer.Claimed{State: res.GetState(), Outcome: res.GetOutcome(), Message: res.GetMessage()}
	for {
		sta, act := cal.state.Next(eve)
		cal.state = sta
		switch act := act.(type) {
		case claimer.Dispatch:
			eve, _ = exe.dispatchCall(ctx, cal)
		case claimer.Record:
			exe.record(ctx, cal, act.Reply)
			cal.write(act.Reply)
			return
		case claimer.Replay:
			cal.replay(act.Outcome)
			return
		case claimer.Release:
			exe.release(ctx, cal)
			cal.fail(act.Fail)
			return
		case claimer.Fail:
			cal.fail(act)
			return
		}
	}
}

func (exe *Executor) claimOf(cal *call) *messenger.ClaimCommit {
	sum := sha256.New()
	sum.Write([]byte(cal.service.Method + " " + cal.service.Path + "\n"))
	sum.Write(cal.service.Body)
	return &messenger.ClaimCommit{
		Step: messenger.ClaimCommit_STEP_CLAIM, Key: cal.team.Name + "/" + cal.service.Key, BodyDigest: sum.Sum(nil),
		Host: exe.Owner.Host, Incarnation: exe.Owner.Incarnation, Nonce: cal.id,
		KeyTimeMs: cal.arrived.UnixMilli(), BudgetMs: claimBudget.Milliseconds(),
	}
}

func (exe *Executor) record(ctx context.Context, cal *call, rep invoker.ServiceReply) {
	out := &messenger.Outcome{Status: int32(rep.Status), ContentType: rep.Header.Get("Content-Type"), Body: rep.Body}
	if len(out.Body) > maxOutcomeBytes {
		out.Body = nil
		out.Truncated = true
	}
	com := cal.step(messenger.ClaimCommit_STEP_FINISH)
	com.Outcome = out
	exe.commitAfter(ctx, com)
}

func (exe *Executor) release(ctx context.Context, cal *call) {
	exe.commitAfter(ctx, cal.step(messenger.ClaimCommit_STEP_RELEASE))
}

func (cal *call) step(ste messenger.ClaimCommit_Step) *messenger.ClaimCommit {
	return &messenger.ClaimCommit{
		Step: ste, Key: cal.commit.GetKey(), BodyDigest: cal.commit.GetBodyDigest(), Host: cal.commit.GetHost(),
		Incarnation: cal.commit.GetIncarnation(), Nonce: cal.commit.GetNonce(), KeyTimeMs: cal.commit.GetKeyTimeMs(),
	}
}

// commitAfter commits what follows a dispatch, also past the request's deadline.
func (exe *Executor) commitAfter(ctx context.Context, com *messenger.ClaimCommit) {
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), recordBudget)
	defer stop()
	if res := exe.Claims.Commit(ctx, com, exe.Clock()); res.GetState() == messenger.ClaimResult_STATE_UNKNOWN {
		exe.Scope.Counter("claims_unrecorded").Inc(1)
	}
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
		cal.fail(claimer.Fail{Status: http.StatusConflict, Code: "outcome_not_kept", Message: "the call ran; its answer was too large to keep", Ran: invoker.Ran})
		return
	}
	cal.write(invoker.ServiceReply{Status: int(out.GetStatus()), Header: http.Header{"Content-Type": {out.GetContentType()}}, Body: out.GetBody()})
}

func (cal *call) fail(fai claimer.Fail) {
	responder.WriteProblem(cal.writer, responder.Problem{Status: fai.Status, Code: fai.Code, Message: fai.Message, Ran: fai.Ran, RetryAfter: fai.RetryAfter})
}
