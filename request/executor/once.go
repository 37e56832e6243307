package executor

import (
	"context"
	"crypto/sha256"
	"sync"
	"time"

	"hemlockpin/connection/invoker"
	"hemlockpin/connection/messenger"
	"hemlockpin/request/claimer"
	"hemlockpin/request/receiver"
)

const (
	// lateAnswerTime is how long after the time limit the host still waits for the
	// answer of a dispatched call, so that the outcome can be recorded.
	lateAnswerTime = 30 * time.Second
	// recordWait bounds how long an answer waits until its outcome is recorded, or a
	// refusal until its claim is released.
	recordWait = 100 * time.Millisecond
	// The answer at the time limit is sent before the limit, so that it reaches the
	// caller in time: earlier by the time left divided by answerMarginDivisor, at most
	// by maxAnswerMargin.
	answerMarginDivisor = 10
	maxAnswerMargin     = 50 * time.Millisecond
	// keySkew is how far the time of a key may lie ahead of the host's clock.
	keySkew = time.Minute
	// digestBytes is the length of the body digest in a claim.
	digestBytes = 16
)

// claimedCall is a call that runs under a claim. It continues when the caller
// disconnects or the time limit passes, so that its outcome is recorded.
type claimedCall struct {
	*call
	executor *Executor
	commit   *messenger.ClaimCommit
	// end receives the final action of the call, at most once.
	end chan claimer.Action

	mu    sync.Mutex
	state claimer.State
	// reply is the reply of the service; it is released when none of its users is left: the call
	// and the answer to the caller.
	reply invoker.ServiceReply
	users int
}

// CallsInProgress returns the number of claimed calls in progress, including those
// whose callers have disconnected.
func (exe *Executor) CallsInProgress() int { return int(exe.claimedCalls.Load()) }

// runOnce runs a call under a claim and answers within the time limit.
func (exe *Executor) runOnce(ctx context.Context, cal *call, keyTimeText string, release func()) {
	key := claimer.NewKey(cal.arrived)
	if cal.service.Key != "" {
		supplied, fai := claimer.ParseKey(cal.service.Key, keyTimeText, cal.arrived, keySkew)
		if fai != nil {
			release()
			exe.fail(cal, *fai)
			return
		}
		key = supplied
	}
	cal.service.Key = key.Text
	cal.writer.Header().Set(receiver.KeyHeader, key.Text)
	cla := &claimedCall{
		call: cal, executor: exe, commit: exe.claimOf(cal, key), end: make(chan claimer.Action, 1),
		state: claimer.State{KeyFromCaller: key.FromCaller}, users: 2,
	}
	defer cla.leave()
	exe.claimedCalls.Add(1)
	go func() {
		defer exe.claimedCalls.Add(-1)
		defer release()
		defer cla.leave()
		cla.run(context.WithoutCancel(ctx))
	}()
	exe.answer(ctx, cal, cla.await(ctx))
}

// leave ends one of the uses of the reply.
func (cla *claimedCall) leave() {
	cla.mu.Lock()
	defer cla.mu.Unlock()
	if cla.users--; cla.users == 0 {
		cla.reply.Release()
	}
}

// await returns the final action of the call, or the answer for its current phase at the
// time limit or when the host answers what is left at the end of its drain.
func (cla *claimedCall) await(ctx context.Context) claimer.Action {
	stopping, stop := cla.executor.Drain.UntilAnswering(context.WithoutCancel(ctx))
	defer stop()
	now := cla.executor.Clock()
	left := cla.deadline.Sub(now)
	timer := time.NewTimer(left - min(left/answerMarginDivisor, maxAnswerMargin))
	defer timer.Stop()
	select {
	case act := <-cla.end:
		return act
	case <-timer.C:
	case <-stopping.Done():
	}
	act := cla.next(claimer.Expired{})
	switch act := act.(type) {
	case claimer.Release:
		cla.executor.Claims.Settle(cla.commitOf(messenger.ClaimCommit_STEP_RELEASE))
		return act.Fail
	case claimer.Stop:
		// The call ended in the meantime.
		return <-cla.end
	default:
		return act
	}
}

func (cla *claimedCall) next(eve claimer.Event) claimer.Action {
	cla.mu.Lock()
	defer cla.mu.Unlock()
	sta, act := cla.state.Next(eve)
	cla.state = sta
	return act
}

func (cla *claimedCall) excluded() []string {
	cla.mu.Lock()
	defer cla.mu.Unlock()
	return cla.state.Excluded
}

// run claims the call, carries out the decisions on it and sends the final action to
// end.
func (cla *claimedCall) run(ctx context.Context) {
	var lea Lease
	eve := cla.claim(ctx)
	for {
		switch act := cla.next(eve).(type) {
		case claimer.Await:
			time.Sleep(act.Pause)
			eve = cla.claim(ctx)
		case claimer.Place:
			lea, eve = cla.place(ctx)
		case claimer.Dispatch:
			eve = cla.dispatch(ctx, lea)
			lea.Release()
		case claimer.Record:
			cla.settle(cla.finishCommit(act.Reply))
			cla.end <- act
			return
		case claimer.Release:
			cla.settle(cla.commitOf(messenger.ClaimCommit_STEP_RELEASE))
			cla.end <- act.Fail
			return
		case claimer.Stop:
			if lea.Release != nil {
				lea.Release()
			}
			return
		default:
			cla.end <- act
			return
		}
	}
}

func (cla *claimedCall) place(ctx context.Context) (Lease, claimer.Event) {
	ctx, stop := context.WithDeadline(ctx, cla.deadline)
	defer stop()
	req := cla.placement()
	req.Excluded = cla.excluded()
	lea, err := cla.executor.acquire(ctx, req, cla.pool)
	if err != nil {
		return lea, claimer.Refused{Message: err.Error()}
	}
	return lea, claimer.Placed{}
}

// dispatch sends the call to an endpoint. It waits for the answer beyond the time
// limit, since the endpoint may have run the call.
func (cla *claimedCall) dispatch(ctx context.Context, lea Lease) claimer.Event {
	ctx, stop := context.WithDeadline(ctx, cla.deadline.Add(lateAnswerTime))
	defer stop()
	eve, _ := cla.executor.dispatchCall(ctx, cla.call, lea)
	if rep, ok := eve.(claimer.Replied); ok {
		cla.mu.Lock()
		cla.reply = rep.Reply
		cla.mu.Unlock()
	}
	return eve
}

func (cla *claimedCall) claim(ctx context.Context) claimer.Event {
	left := cla.deadline.Sub(cla.executor.Clock())
	ctx, stop := context.WithTimeout(ctx, min(left/claimDivisor, maxClaimTimeout))
	defer stop()
	res := cla.executor.Claims.Commit(ctx, cla.commit)
	return claimer.Claimed{State: res.GetState(), Outcome: res.GetOutcome(), Message: res.GetMessage(), Left: cla.deadline.Sub(cla.executor.Clock())}
}

// settle commits a change of the claim and waits for it up to recordWait, and at most
// for the time left divided by claimDivisor.
func (cla *claimedCall) settle(com *messenger.ClaimCommit) {
	left := cla.deadline.Sub(cla.executor.Clock())
	done := cla.executor.Claims.Settle(com)
	select {
	case <-done:
	case <-time.After(min(left/claimDivisor, recordWait)):
	}
}

func (exe *Executor) claimOf(cal *call, key claimer.Key) *messenger.ClaimCommit {
	sum := sha256.New()
	sum.Write([]byte(cal.service.Method + " " + cal.service.Path + "\n"))
	sum.Write(cal.service.Body)
	return &messenger.ClaimCommit{
		Step: messenger.ClaimCommit_STEP_CLAIM, Key: cal.team.Name + "/" + key.Text, BodyDigest: sum.Sum(nil)[:digestBytes],
		Host: exe.Owner.Host, Incarnation: exe.Owner.Incarnation, Nonce: cal.id, KeyTimeMs: key.Time.UnixMilli(),
	}
}

func (cla *claimedCall) finishCommit(rep invoker.ServiceReply) *messenger.ClaimCommit {
	out := &messenger.Outcome{Status: int32(rep.Status), ContentType: rep.Header.Get("Content-Type"), Body: rep.Body}
	if rep.Unframed || len(out.GetBody()) > maxOutcomeBytes {
		out.Body = nil
		out.Truncated = true
	}
	com := cla.commitOf(messenger.ClaimCommit_STEP_FINISH)
	com.Outcome = out
	return com
}

func (cla *claimedCall) commitOf(ste messenger.ClaimCommit_Step) *messenger.ClaimCommit {
	return &messenger.ClaimCommit{
		Step: ste, Key: cla.commit.GetKey(), BodyDigest: cla.commit.GetBodyDigest(), Host: cla.commit.GetHost(),
		Incarnation: cla.commit.GetIncarnation(), Nonce: cla.commit.GetNonce(), KeyTimeMs: cla.commit.GetKeyTimeMs(),
	}
}

// answer writes the final answer of a claimed call.
func (exe *Executor) answer(ctx context.Context, cal *call, act claimer.Action) {
	switch act := act.(type) {
	case claimer.Record:
		cal.write(ctx, act.Reply)
	case claimer.Replay:
		exe.replay(ctx, cal, act.Outcome)
	case claimer.Fail:
		exe.fail(cal, act)
	}
}
