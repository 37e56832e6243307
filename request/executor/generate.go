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

// generation is the state of one prompt that is being answered.
type generation struct {
	request
	prompt    receiver.Prompt
	state     attempter.State
	assembler assembler.Assembler
	answer    *responder.Answer
	text      textAccount
	blocks    []uint64
	// lease is set while the request has an endpoint, stream while a dispatch to that
	// endpoint is open.
	lease    *Lease
	stream   *invoker.Stream
	progress progress
	// move is set while the answer is being moved to another engine.
	move *move
	// moved says that the answer has continued on another engine.
	moved bool
}

// Generate answers a prompt.
func (exe *Executor) Generate(ctx context.Context, wri http.ResponseWriter, htr *http.Request, mat *matcher.Matcher, chat bool) {
	req, err := exe.authenticate(wri, mat, htr.Header)
	if err != nil {
		responder.WriteProblem(wri, problemOf(err))
		return
	}
	var pro receiver.Prompt
	err = exe.readWhole(wri, func() (err error) {
		pro, err = receiver.ParsePrompt(htr.Body, exe.MaxBodyBytes, chat)
		return err
	})
	if len(pro.Ignored) > 0 {
		wri.Header().Set(responder.IgnoredHeader, strings.Join(pro.Ignored, ", "))
	}
	if err == nil {
		err = exe.resolveRoute(&req, mat, matcher.Query{Kind: parser.PoolEngine, Model: pro.Model, Team: req.team.Name, Path: htr.URL.Path, PromptTokens: pro.Tokens}, htr.Header)
	}
	if err != nil {
		responder.WriteProblem(wri, problemOf(err))
		return
	}
	ctx, stop := exe.Drain.UntilAnswering(ctx)
	defer stop()
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
	gen.text.memory = exe.Memory
	defer gen.text.release()
	exe.generate(ctx, gen)
	gen.answer.ClearDeadline()
}

func (exe *Executor) generate(ctx context.Context, gen *generation) {
	release, ref := exe.admit(ctx, gen.placement(), gen.team, gen.pool)
	if ref != nil {
		gen.answer.Fail(refusal(*ref), exe.Clock())
		return
	}
	defer release()
	defer exe.track(gen.id)()
	exe.RetryBudget.Earn(exe.Clock())
	for {
		eve := exe.step(ctx, gen)
		if eve == nil {
			gen.stream.Close()
			exe.endMove(gen)
			gen.lease.Release()
			return
		}
		if exe.perform(ctx, gen, exe.decide(gen, eve)) {
			return
		}
	}
}

// decide takes a retry from the budget beforehand and returns it if the action does not
// use it.
func (exe *Executor) decide(gen *generation, eve attempter.Event) attempter.Action {
	now := exe.Clock()
	retry := exe.RetryBudget.Take(now)
	sta, act := gen.state.Next(eve, retry, now)
	gen.state = sta
	_, refused := eve.(attempter.Refused)
	switch act.(type) {
	case attempter.Dispatch, attempter.Resume:
		if !refused {
			exe.counters().resumed.Inc(1)
			return act
		}
	}
	if retry {
		exe.RetryBudget.Return()
	}
	return act
}

// perform carries out an action and reports whether the request has ended.
func (exe *Executor) perform(ctx context.Context, gen *generation, act attempter.Action) bool {
	switch act := act.(type) {
	case attempter.Stay:
		// The progress limit begins again.
		gen.progress.at = exe.Clock()
		return false
	case attempter.Resume:
		gen.closeStream()
		return false
	case attempter.Dispatch:
		exe.endDispatch(ctx, gen)
		pause(ctx, act.After)
		return false
	case attempter.Fail:
		pro := responder.Problem{Status: StatusOf(act.Code), Code: act.Code, Message: act.Message, Execution: act.Ran, RetryAfter: act.RetryAfter}
		gen.answer.Fail(exe.withStop(pro, gen.deadline), exe.Clock())
	}
	exe.endDispatch(ctx, gen)
	return true
}

func pause(ctx context.Context, delay time.Duration) {
	if delay == 0 {
		return
	}
	select {
	case <-time.After(delay):
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

// step continues the request from its current state: it places, dispatches and relays.
// It returns nil when the answer is complete, or else the event to decide on.
func (exe *Executor) step(ctx context.Context, gen *generation) attempter.Event {
	if gen.lease == nil {
		lea, err := exe.acquire(ctx, gen.placement(), gen.pool)
		if err != nil {
			return refusedEvent(ctx, err)
		}
		gen.lease = &lea
	}
	ctx, spa := exe.Tracer.Start(ctx, "engine", trace.WithAttributes(attribute.String("Endpoint", gen.lease.Endpoint)))
	defer spa.End()
	if gen.stream == nil {
		if err := exe.openStream(ctx, gen); err != nil {
			return exe.failureEvent(ctx, gen, err)
		}
	}
	for {
		err := exe.relay(ctx, gen)
		if err == nil {
			return nil
		}
		eve := exe.failureEvent(ctx, gen, err)
		if !exe.tryTakeOver(gen, eve) {
			return eve
		}
	}
}

func (exe *Executor) openStream(ctx context.Context, gen *generation) error {
	gen.state = gen.state.WithAttempt()
	exe.setAttempt(gen.id, gen.state.Attempt)
	gen.assembler = gen.assembler.WithAttempt(gen.state.Attempt)
	gen.progress = progress{at: exe.Clock()}
	stream, err := exe.Invoker.Generate(ctx, gen.lease.Address, exe.generateRequest(gen))
	if err != nil {
		return err
	}
	gen.stream = stream
	return nil
}

// generateRequest returns the message that dispatches the newest attempt.
func (exe *Executor) generateRequest(gen *generation) invoker.GenerateRequest {
	return invoker.GenerateRequest{
		RequestID: gen.id, Attempt: gen.state.Attempt, Owner: exe.Owner, Model: gen.prompt.Model,
		Prompt: gen.prompt.Text, PromptTokens: gen.prompt.Tokens, MaxTokens: gen.prompt.MaxTokens, Seed: gen.prompt.Seed,
		Priority: gen.route.Priority, StartIndex: gen.assembler.Next, Generated: gen.answer.Text(),
		BudgetMs: gen.deadline.Sub(exe.Clock()).Milliseconds(), ReservationID: gen.lease.ReservationID, Group: gen.lease.Group,
	}
}

// closeStream closes the stream, if the dispatch has one.
func (gen *generation) closeStream() {
	if gen.stream != nil {
		gen.stream.Close()
	}
	gen.stream = nil
}

// endDispatch ends the current dispatch and releases the endpoint. The cancellation on
// the engine runs in the background, so that it does not delay the answer to the
// caller.
func (exe *Executor) endDispatch(ctx context.Context, gen *generation) {
	gen.closeStream()
	exe.endMove(gen)
	lea := gen.lease
	att := gen.state.Attempt
	gen.lease = nil
	if lea == nil {
		return
	}
	exe.cleanup.Go(func() {
		defer lea.Release()
		ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
		defer stop()
		if err := exe.Invoker.Cancel(ctx, lea.Address, gen.id, att, exe.Owner); err != nil {
			exe.counters().cancelsFailed.Inc(1)
		}
	})
}
