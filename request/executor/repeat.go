package executor

import (
	"context"
	"time"

	"hemlockpin/connection/invoker"
	"hemlockpin/request/claimer"
	"hemlockpin/request/hedger"
	"hemlockpin/request/responder"
)

// maxTimes bounds the pools whose times are kept.
const maxTimes = 1024

// repeat is the running state of a call that may run more than once.
type repeat struct {
	*call
	state hedger.State
	times *hedger.Latencies
	began time.Time
	// ends receives how the dispatches ended.
	ends chan ending
	// reply is the answer that has won, problem why no endpoint could be had.
	reply   invoker.ServiceReply
	problem responder.Problem
}

// ending is how one dispatch ended.
type ending struct {
	event claimer.Event
	hedge bool
}

// repeatable runs a call that may run more than once.
func (exe *Executor) repeatable(ctx context.Context, cal *call) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	now := exe.Clock()
	exe.Retries.Earn(now)
	rep := &repeat{call: cal, times: exe.timesOf(cal.pool.Name), began: now, ends: make(chan ending, hedger.MaxDispatches)}
	var hed <-chan time.Time
	if del, ok := rep.times.Delay(now); ok {
		tim := time.NewTimer(del)
		defer tim.Stop()
		hed = tim.C
	}
	var eve hedger.Event = hedger.Began{}
	for {
		switch act := exe.decideRepeat(rep, eve).(type) {
		case hedger.Dispatch:
			eve = exe.dispatchRepeat(ctx, rep, act.Hedge)
		case hedger.Wait:
			eve = exe.awaitRepeat(ctx, rep, hed)
		case hedger.Deliver:
			rep.write(rep.reply)
			return
		case hedger.Fail:
			rep.failRepeat(act)
			return
		}
	}
}

// decideRepeat takes a retry beforehand and gives it back where it is not used.
// Hedges leave half of the budget to calls and prompts that failed.
func (exe *Executor) decideRepeat(rep *repeat, eve hedger.Event) hedger.Action {
	now := exe.Clock()
	ret := false
	switch eve.(type) {
	case hedger.Waited:
		ret = exe.Retries.TakeSpare(now)
	case hedger.Failed:
		ret = exe.Retries.Take(now)
	}
	sta, act := rep.state.Next(eve, ret)
	rep.state = sta
	dis, ok := act.(hedger.Dispatch)
	if ret && !ok {
		exe.Retries.Return()
	}
	if _, waited := eve.(hedger.Waited); waited {
		exe.countHedge(dis, ret)
	}
	return act
}

func (exe *Executor) countHedge(dis hedger.Dispatch, ret bool) {
	switch {
	case dis.Hedge:
		exe.counters().hedges.Inc(1)
	case !ret:
		exe.counters().hedgesDenied.Inc(1)
	}
}

// dispatchRepeat places the call and sends it in the background.
func (exe *Executor) dispatchRepeat(ctx context.Context, rep *repeat, hedge bool) hedger.Event {
	req := rep.placement()
	req.Excluded = rep.state.Excluded
	lea, err := exe.Allocator.Acquire(ctx, req, rep.pool)
	if err != nil {
		if hedge {
			exe.Retries.Return()
		}
		rep.problem = problemOf(err)
		return hedger.Unplaced{Code: rep.problem.Code, Message: rep.problem.Message}
	}
	go func() {
		defer lea.Release()
		eve, _ := exe.send(ctx, rep.call, lea)
		rep.ends <- ending{eve, hedge}
	}()
	return hedger.Placed{Endpoint: lea.Endpoint}
}

func (exe *Executor) awaitRepeat(ctx context.Context, rep *repeat, hed <-chan time.Time) hedger.Event {
	select {
	case end := <-rep.ends:
		return exe.endedRepeat(ctx, rep, end)
	case <-hed:
		return hedger.Waited{}
	case <-ctx.Done():
		return hedger.Expired{}
	}
}

func (exe *Executor) endedRepeat(ctx context.Context, rep *repeat, end ending) hedger.Event {
	if eve, ok := end.event.(claimer.Replied); ok {
		now := exe.Clock()
		// Of a first dispatch that lost, this is the least that it takes.
		rep.times.Observe(now.Sub(rep.began), now)
		if end.hedge {
			exe.counters().hedgesWon.Inc(1)
		}
		rep.reply = eve.Reply
		return hedger.Replied{}
	}
	if ctx.Err() != nil {
		return hedger.Expired{}
	}
	fai, _ := end.event.(claimer.Failed)
	return hedger.Failed{Ran: fai.Ran}
}

func (rep *repeat) failRepeat(fai hedger.Fail) {
	pro := responder.Problem{Status: StatusOf(fai.Code), Code: fai.Code, Message: fai.Message, Ran: fai.Ran}
	if rep.problem.Code == fai.Code {
		pro = rep.problem
		pro.Ran = fai.Ran
	}
	responder.WriteProblem(rep.writer, pro)
}

// timesOf returns how long the calls of a pool took lately.
func (exe *Executor) timesOf(pool string) *hedger.Latencies {
	exe.mu.Lock()
	defer exe.mu.Unlock()
	tim := exe.times[pool]
	if tim == nil {
		if exe.times == nil || len(exe.times) >= maxTimes {
			exe.times = map[string]*hedger.Latencies{}
		}
		tim = &hedger.Latencies{}
		exe.times[pool] = tim
	}
	return tim
}
