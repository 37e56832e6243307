package executor

import (
	"context"
	"errors"
	"net/http"
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

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"
)

const (
	// progressTimeout bounds the silence of an engine that has a request.
	progressTimeout = 3 * time.Second
	cancelTimeout   = time.Second
)

var errUntrusted = eris.New("the engine's stream does not fit the request")

// generation is the running state of one prompt.
type generation struct {
	request
	prompt    receiver.Prompt
	state     attempter.State
	assembler assembler.Assembler
	answer    *responder.Answer
	blocks    []uint64
}

// Generate answers a prompt.
func (exe *Executor) Generate(ctx context.Context, wri http.ResponseWriter, htr *http.Request, mat *matcher.Matcher, chat bool) {
	req, err := exe.begin(wri, mat, htr.Header)
	if err != nil {
		responder.WriteProblem(wri, problemOf(err))
		return
	}
	pro, err := receiver.ParsePrompt(htr.Body, exe.MaxBodyBytes, chat)
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
		state:     attempter.State{Deadline: req.deadline},
		assembler: assembler.Assembler{RequestID: req.id},
		blocks:    hasher.Blocks(pro.Text),
		answer: &responder.Answer{
			Writer: wri, ID: req.id, Model: pro.Model, Chat: chat, Stream: pro.Stream,
			IncludeUsage: pro.IncludeUsage, Created: req.arrived,
		},
	}
	exe.generate(ctx, gen)
}

func (exe *Executor) generate(ctx context.Context, gen *generation) {
	done, ref := exe.Admitter.Admit(gen.placement(), gen.team, gen.pool, exe.Clock())
	if ref != nil {
		gen.answer.Fail(refusal(*ref))
		return
	}
	defer done()
	for {
		eve := exe.attempt(ctx, gen)
		if eve == nil {
			return
		}
		sta, act := gen.state.Next(eve, exe.Clock())
		gen.state = sta
		switch act := act.(type) {
		case attempter.Dispatch:
			exe.Scope.Counter("attempts_resumed").Inc(1)
		case attempter.Fail:
			gen.answer.Fail(responder.Problem{Status: StatusOf(act.Code), Code: act.Code, Message: act.Message, Ran: act.Ran, RetryAfter: act.RetryAfter})
			return
		}
	}
}

func (gen *generation) placement() placer.Request {
	return placer.Request{
		ID: gen.id, Team: gen.team.Name, Model: gen.prompt.Model, Pool: gen.pool.Name,
		PromptTokens: gen.prompt.Tokens, MaxTokens: gen.prompt.MaxTokens, Priority: gen.route.Priority, Share: gen.team.Share,
		Deadline: gen.deadline, Prefix: gen.blocks, Excluded: gen.state.Excluded,
	}
}

// attempt places and dispatches once. It returns nil when the answer is whole
// or the caller has gone, else the event to decide on.
func (exe *Executor) attempt(ctx context.Context, gen *generation) attempter.Event {
	lea, err := exe.Allocator.Acquire(ctx, gen.placement(), gen.pool)
	if err != nil {
		return refusedEvent(ctx, err)
	}
	defer lea.Release()
	ctx, spa := exe.Tracer.Start(ctx, "engine", trace.WithAttributes(attribute.String("Endpoint", lea.Endpoint)))
	defer spa.End()
	gen.state = gen.state.WithAttempt()
	gen.assembler = gen.assembler.WithAttempt(gen.state.Attempt)
	str, err := exe.Invoker.Generate(ctx, lea.Address, exe.dispatch(gen, lea))
	if err != nil {
		return exe.failed(ctx, gen, lea, err)
	}
	defer str.Close()
	err = exe.relay(ctx, gen, lea, str)
	if err != nil {
		return exe.failed(ctx, gen, lea, err)
	}
	return nil
}

func (exe *Executor) dispatch(gen *generation, lea Lease) invoker.GenerateRequest {
	return invoker.GenerateRequest{
		RequestID: gen.id, Attempt: gen.state.Attempt, Owner: exe.Owner, Model: gen.prompt.Model,
		Prompt: gen.prompt.Text, PromptTokens: gen.prompt.Tokens, MaxTokens: gen.prompt.MaxTokens, Seed: gen.prompt.Seed,
		Priority: gen.route.Priority, StartIndex: gen.assembler.Next, Generated: gen.answer.Text(),
		BudgetMs: gen.deadline.Sub(exe.Clock()).Milliseconds(), ReservationID: lea.ReservationID, Group: lea.Group,
	}
}

// relay passes tokens on until the end of the answer.
func (exe *Executor) relay(ctx context.Context, gen *generation, lea Lease, str *invoker.Stream) error {
	for {
		eve, err := str.Next(ctx, progressTimeout)
		if err != nil {
			return err
		}
		switch eve := eve.(type) {
		case invoker.Token:
			lea.Prefilled()
			if err := exe.token(gen, eve); err != nil {
				return err
			}
		case invoker.Finish:
			switch gen.assembler.Finish(eve) {
			case assembler.Complete:
				return gen.answer.Finish(eve)
			case assembler.Drop:
			default:
				return errUntrusted
			}
		case invoker.Idle:
		}
	}
}

func (exe *Executor) token(gen *generation, tok invoker.Token) error {
	ass, ver := gen.assembler.Token(tok)
	gen.assembler = ass
	switch ver {
	case assembler.Deliver:
		gen.state = gen.state.WithDelivered(ass.Next)
		exe.Scope.Counter("tokens").Inc(1)
		return gen.answer.Token(tok.Text)
	case assembler.Drop:
		exe.Scope.Counter("tokens_dropped").Inc(1)
		return nil
	default:
		exe.Scope.Counter("streams_untrusted").Inc(1)
		return errUntrusted
	}
}

func refusedEvent(ctx context.Context, err error) attempter.Event {
	if ctx.Err() != nil {
		return attempter.Expired{}
	}
	var ref *RefusedError
	if errors.As(err, &ref) {
		return attempter.Refused{Code: ref.Refuse.Code, Message: ref.Refuse.Message, RetryAfter: ref.Refuse.RetryAfter}
	}
	return attempter.Refused{Code: "internal", Message: err.Error()}
}

// failed cancels what may still run on the engine and builds the event.
func (exe *Executor) failed(ctx context.Context, gen *generation, lea Lease, err error) attempter.Event {
	exe.cancel(ctx, gen, lea)
	if errors.Is(ctx.Err(), context.Canceled) {
		return nil
	}
	if ctx.Err() != nil {
		return attempter.Expired{}
	}
	exe.Invoker.Condemn()
	eve := attempter.Failed{Endpoint: lea.Endpoint, Ran: invoker.Unknown, Message: err.Error()}
	var ine *invoker.Error
	if errors.As(err, &ine) {
		eve.Ran = ine.Ran
		eve.Permanent = ine.Status == http.StatusBadRequest
	}
	return eve
}

func (exe *Executor) cancel(ctx context.Context, gen *generation, lea Lease) {
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer stop()
	if err := exe.Invoker.Cancel(ctx, lea.Address, gen.id, exe.Owner); err != nil {
		exe.Scope.Counter("cancels_failed").Inc(1)
	}
}
