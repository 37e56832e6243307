package executor

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"hemlockpin/connection/invoker"
	"hemlockpin/request/assembler"
	"hemlockpin/request/attempter"
	"hemlockpin/request/hasher"
	"hemlockpin/request/placer"
	"hemlockpin/request/receiver"
	"hemlockpin/request/responder"
	"hemlockpin/version/matcher"
	"hemlockpin/version/parser"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"
)

// cancelTimeout bounds one cancellation on an engine.
const cancelTimeout = time.Second

// generation is the running state of one prompt.
type generation struct {
	request
	prompt    receiver.Prompt
	state     attempter.State
	assembler assembler.Assembler
	answer    *responder.Answer
	blocks    []uint64
	// lease is held while the request has an endpoint, stream while it has a
	// dispatch there.
	lease    *Lease
	stream   *invoker.Stream
	progress progress
	// move is set while the answer is about to go on at another engine.
	move *move
	// moved marks an answer that went on at another engine.
	moved bool
}

// Generate answers a prompt.
func (exe *Executor) Generate(ctx context.Context, wri http.ResponseWriter, htr *http.Request, mat *matcher.Matcher, chat bool) {
	req, err := exe.begin(wri, mat, htr.Header)
	if err != nil {
		responder.WriteProblem(wri, problemOf(err))
		return
	}
	pro, err := receiver.ParsePrompt(htr.Body, exe.MaxBodyBytes, chat)
	if len(pro.Ignored) > 0 {
		wri.Header().Set(responder.IgnoredHeader, strings.Join(pro.Ignored, ", "))
	}
	if err == nil {
		err = exe.route(&req, mat, matcher.Query{Kind: parser.PoolEngine, Model: pro.Model, Team: req.team.Name, Path: htr.URL.Path, PromptTokens: pro.Tokens}, htr.Header)
	}
	if err != nil {
		responder.WriteProblem(wri, problemOf(err))
		return
	}
	ctx, cancel := context.WithDeadline(ctx, req.deadline)
	defer cancel()
	gen := &generation{
		request:   req,
		prompt:    pro,
		state:     attempter.State{Deadline: req.deadline, Jitter: rand.Float64()},
		assembler: assembler.Assembler{RequestID: req.id, MaxTokens: pro.MaxTokens},
		blocks:    hasher.Blocks(pro.Text),
		answer: &responder.Answer{
			Writer: wri, ID: req.id, Model: pro.Model, Chat: chat, Stream: pro.Stream,
			IncludeUsage: pro.IncludeUsage, Created: req.arrived,
		},
	}
	exe.generate(ctx, gen)
	gen.answer.Close()
}

func (exe *Executor) generate(ctx context.Context, gen *generation) {
	done, ref := exe.admit(ctx, gen.placement(), gen.team, gen.pool)
	if ref != nil {
		gen.answer.Fail(refusal(*ref), exe.Clock())
		return
	}
	defer done()
	defer exe.track(gen.id)()
	exe.Retries.Earn(exe.Clock())
	for {
		eve := exe.step(ctx, gen)
		if eve == nil {
			gen.stream.Close()
			exe.endMove(gen)
			gen.lease.Release()
			return
		}
		if exe.carryOut(ctx, gen, exe.decide(gen, eve)) {
			return
		}
	}
}

// decide takes a retry beforehand and gives it back where it is not used.
func (exe *Executor) decide(gen *generation, eve attempter.Event) attempter.Action {
	now := exe.Clock()
	ret := exe.Retries.Take(now)
	sta, act := gen.state.Next(eve, ret, now)
	gen.state = sta
	_, refused := eve.(attempter.Refused)
	switch act.(type) {
	case attempter.Dispatch, attempter.Resume:
		if !refused {
			exe.counters().resumed.Inc(1)
			return act
		}
	}
	if ret {
		exe.Retries.Return()
	}
	return act
}

// carryOut does what was decided and reports whether the request has ended.
func (exe *Executor) carryOut(ctx context.Context, gen *generation, act attempter.Action) bool {
	switch act := act.(type) {
	case attempter.Stay:
		gen.progress.at = exe.Clock()
		return false
	case attempter.Resume:
		gen.closeStream()
		return false
	case attempter.Dispatch:
		exe.drop(ctx, gen)
		pause(ctx, act.After)
		return false
	case attempter.Fail:
		gen.answer.Fail(responder.Problem{Status: StatusOf(act.Code), Code: act.Code, Message: act.Message, Ran: act.Ran, RetryAfter: act.RetryAfter}, exe.Clock())
	}
	exe.drop(ctx, gen)
	return true
}

func pause(ctx context.Context, dur time.Duration) {
	if dur == 0 {
		return
	}
	select {
	case <-time.After(dur):
	case <-ctx.Done():
	}
}

func (gen *generation) placement() placer.Request {
	return placer.Request{
		ID: gen.id, Team: gen.team.Name, Model: gen.prompt.Model, Pool: gen.pool.Name,
		PromptTokens: gen.prompt.Tokens, MaxTokens: gen.prompt.MaxTokens, Priority: gen.route.Priority, Share: gen.team.Share,
		Deadline: gen.deadline, Prefix: gen.blocks, Excluded: gen.state.Excluded,
	}
}

// step goes on from where the request stands: it places, dispatches and
// relays. It returns nil when the answer is whole, else the event to decide on.
func (exe *Executor) step(ctx context.Context, gen *generation) attempter.Event {
	if gen.lease == nil {
		lea, err := exe.Allocator.Acquire(ctx, gen.placement(), gen.pool)
		if err != nil {
			return refusedEvent(ctx, err)
		}
		gen.lease = &lea
	}
	ctx, spa := exe.Tracer.Start(ctx, "engine", trace.WithAttributes(attribute.String("Endpoint", gen.lease.Endpoint)))
	defer spa.End()
	if gen.stream == nil {
		if err := exe.open(ctx, gen); err != nil {
			return exe.failed(ctx, gen, err)
		}
	}
	for {
		err := exe.relay(ctx, gen)
		if err == nil {
			return nil
		}
		eve := exe.failed(ctx, gen, err)
		if !exe.takeOver(gen, eve) {
			return eve
		}
	}
}

func (exe *Executor) open(ctx context.Context, gen *generation) error {
	gen.state = gen.state.WithAttempt()
	exe.note(gen.id, gen.state.Attempt)
	gen.assembler = gen.assembler.WithAttempt(gen.state.Attempt)
	gen.progress = progress{at: exe.Clock()}
	str, err := exe.Invoker.Generate(ctx, gen.lease.Address, exe.dispatch(gen))
	if err != nil {
		return err
	}
	gen.stream = str
	return nil
}

// dispatch makes out the request of the newest attempt.
func (exe *Executor) dispatch(gen *generation) invoker.GenerateRequest {
	return invoker.GenerateRequest{
		RequestID: gen.id, Attempt: gen.state.Attempt, Owner: exe.Owner, Model: gen.prompt.Model,
		Prompt: gen.prompt.Text, PromptTokens: gen.prompt.Tokens, MaxTokens: gen.prompt.MaxTokens, Seed: gen.prompt.Seed,
		Priority: gen.route.Priority, StartIndex: gen.assembler.Next, Generated: gen.answer.Text(),
		BudgetMs: gen.deadline.Sub(exe.Clock()).Milliseconds(), ReservationID: gen.lease.ReservationID, Group: gen.lease.Group,
	}
}

// closeStream gives the stream up; a failed dispatch has none.
func (gen *generation) closeStream() {
	if gen.stream != nil {
		gen.stream.Close()
	}
	gen.stream = nil
}

// drop ends the current dispatch and gives the endpoint back. It does not wait
// for the engine, so that a failure reaches the caller in time.
func (exe *Executor) drop(ctx context.Context, gen *generation) {
	gen.closeStream()
	exe.endMove(gen)
	lea := gen.lease
	att := gen.state.Attempt
	gen.lease = nil
	if lea == nil {
		return
	}
	exe.pending.Go(func() {
		defer lea.Release()
		ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
		defer stop()
		if err := exe.Invoker.Cancel(ctx, lea.Address, gen.id, att, exe.Owner); err != nil {
			exe.counters().cancelsFailed.Inc(1)
		}
	})
}
