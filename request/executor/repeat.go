package executor

import (
	"context"
	"time"

	"hemlockpin/connection/invoker"
	"hemlockpin/request/claimer"
	"hemlockpin/request/hedger"
	"hemlockpin/request/responder"
)

// maxLatencyPools bounds the pools whose latencies are kept; beyond it, the latencies
// of all pools are discarded.
const maxLatencyPools = 1024

// repeatableCall is the state of a call that may run more than once.
type repeatableCall struct {
	*call
	state     hedger.State
	latencies *hedger.Latencies
	startedAt time.Time
	// results receives the result of each dispatch.
	results chan dispatchResult
	// pending is the number of dispatches whose results were not received yet.
	pending int
	// reply is the first complete answer; problem is the last refusal of a placement.
	reply   invoker.ServiceReply
	problem responder.Problem
}

// dispatchResult is the result of one dispatch.
type dispatchResult struct {
	event claimer.Event
	hedge bool
}

// runRepeatable runs a call that may run more than once.
func (exe *Executor) runRepeatable(ctx context.Context, cal *call) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	now := exe.Clock()
	exe.RetryBudget.Earn(now)
	rep := &repeatableCall{call: cal, latencies: exe.latenciesOf(cal.pool.Name), startedAt: now, results: make(chan dispatchResult, hedger.MaxDispatches)}
	defer rep.releaseReplies()
	var hedgeTimer <-chan time.Time
	if delay, ok := rep.latencies.Delay(now); ok {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		hedgeTimer = timer.C
	}
	var eve hedger.Event = hedger.Began{}
	for {
		switch act := exe.decideRepeatable(rep, eve).(type) {
		case hedger.Dispatch:
			eve = exe.dispatchRepeatable(ctx, rep, act.Hedge)
		case hedger.Wait:
			eve = exe.awaitRepeatable(ctx, rep, hedgeTimer)
		case hedger.Deliver:
			rep.write(ctx, rep.reply)
			return
		case hedger.Fail:
			exe.writeFailure(rep, act)
			return
		}
	}
}

// decideRepeatable takes a retry from the budget beforehand and returns it if the
// action does not use it. Hedges leave half of the budget to calls and prompts that
// failed.
func (exe *Executor) decideRepeatable(rep *repeatableCall, eve hedger.Event) hedger.Action {
	now := exe.Clock()
	retry := false
	switch eve.(type) {
	case hedger.DelayPassed:
		retry = exe.RetryBudget.TakeSpare(now)
	case hedger.Failed:
		retry = exe.RetryBudget.Take(now)
	}
	sta, act := rep.state.Next(eve, retry)
	rep.state = sta
	dis, ok := act.(hedger.Dispatch)
	if retry && !ok {
		exe.RetryBudget.Return()
	}
	if _, waited := eve.(hedger.DelayPassed); waited {
		exe.countHedge(dis, retry)
	}
	return act
}

func (exe *Executor) countHedge(dis hedger.Dispatch, retry bool) {
	switch {
	case dis.Hedge:
		exe.counters().hedges.Inc(1)
	case !retry:
		exe.counters().hedgesDenied.Inc(1)
	}
}

// dispatchRepeatable places the call and sends it in the background.
func (exe *Executor) dispatchRepeatable(ctx context.Context, rep *repeatableCall, hedge bool) hedger.Event {
	req := rep.placement()
	req.Excluded = rep.state.Excluded
	lea, err := exe.acquire(ctx, req, rep.pool)
	if err != nil {
		if hedge {
			exe.RetryBudget.Return()
		}
		rep.problem = problemOf(err)
		return hedger.Refused{Code: rep.problem.Code, Message: rep.problem.Message}
	}
	rep.pending++
	go func() {
		defer lea.Release()
		eve, _ := exe.dispatchCall(ctx, rep.call, lea)
		rep.results <- dispatchResult{eve, hedge}
	}()
	return hedger.Placed{Endpoint: lea.Endpoint}
}

// releaseReplies gives back the memory of all replies, also of those that come later.
func (rep *repeatableCall) releaseReplies() {
	rep.reply.Release()
	if rep.pending == 0 {
		return
	}
	results, pending := rep.results, rep.pending
	go func() {
		for range pending {
			if eve, ok := (<-results).event.(claimer.Replied); ok {
				eve.Reply.Release()
			}
		}
	}()
}

func (exe *Executor) awaitRepeatable(ctx context.Context, rep *repeatableCall, hedgeTimer <-chan time.Time) hedger.Event {
	select {
	case res := <-rep.results:
		rep.pending--
		return exe.resultEvent(ctx, rep, res)
	case <-hedgeTimer:
		return hedger.DelayPassed{}
	case <-ctx.Done():
		return hedger.Expired{}
	}
}

func (exe *Executor) resultEvent(ctx context.Context, rep *repeatableCall, res dispatchResult) hedger.Event {
	if eve, ok := res.event.(claimer.Replied); ok {
		now := exe.Clock()
		// If the hedge answered first, the time since the start is a lower bound for
		// the latency of the first dispatch.
		rep.latencies.Observe(now.Sub(rep.startedAt), now)
		if res.hedge {
			exe.counters().hedgesWon.Inc(1)
		}
		rep.reply = eve.Reply
		return hedger.Replied{}
	}
	if ctx.Err() != nil {
		return hedger.Expired{}
	}
	fai, _ := res.event.(claimer.Failed)
	return hedger.Failed{Ran: fai.Ran}
}

func (exe *Executor) writeFailure(rep *repeatableCall, fai hedger.Fail) {
	pro := responder.Problem{Status: StatusOf(fai.Code), Code: fai.Code, Message: fai.Message, Execution: fai.Ran}
	if rep.problem.Code == fai.Code {
		pro = rep.problem
		pro.Execution = fai.Ran
	}
	responder.WriteProblem(rep.writer, exe.withStop(pro, rep.deadline))
}

// latenciesOf returns the recent latencies of the calls of a pool.
func (exe *Executor) latenciesOf(pool string) *hedger.Latencies {
	exe.mu.Lock()
	defer exe.mu.Unlock()
	lat := exe.latencies[pool]
	if lat == nil {
		if exe.latencies == nil || len(exe.latencies) >= maxLatencyPools {
			exe.latencies = map[string]*hedger.Latencies{}
		}
		lat = &hedger.Latencies{}
		exe.latencies[pool] = lat
	}
	return lat
}
