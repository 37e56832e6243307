package executor

import (
	"context"
	"strings"
	"sync"
	"time"

	"hemlockpin/connection/invoker"
	"hemlockpin/request/assembler"
	"hemlockpin/request/attempter"
	"hemlockpin/request/mover"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"
)

// exportSuffix names a request's export, apart from the request itself.
const exportSuffix = "-export"

// move carries one answer to another engine while the relay goes on.
type move struct {
	ctx    context.Context
	cancel context.CancelFunc
	span   trace.Span
	source Lease
	// request is the second dispatch, but for the tokens before it.
	request invoker.GenerateRequest
	untrack func()
	// steps tells the relay to compare. It is closed when the move has been
	// given up.
	steps      chan mover.Action
	background sync.WaitGroup

	mu    sync.Mutex
	state mover.State
	// first is the index of the first token of texts, which the caller got
	// since the move began.
	first int64
	texts []string

	// The fields below are set by the background before a step: the target,
	// its stream, the tokens read from it, their assembler, and until when it
	// may catch up.
	target Target
	stream *invoker.Stream
	caught []invoker.Token
	ahead  assembler.Assembler
	limit  time.Time
}

// note keeps what the caller has while a move is on its way.
func (mov *move) note(txt string) {
	if mov == nil {
		return
	}
	mov.mu.Lock()
	defer mov.mu.Unlock()
	mov.texts = append(mov.texts, txt)
}

// next is the index of the caller's next token.
func (mov *move) next() int64 {
	mov.mu.Lock()
	defer mov.mu.Unlock()
	return mov.first + int64(len(mov.texts))
}

// move begins the move of an answer that has a token, or takes its next step.
func (exe *Executor) move(ctx context.Context, gen *generation) {
	switch {
	case gen.move != nil:
		exe.poll(gen)
	case gen.lease.Move != nil && gen.assembler.Next > 0:
		exe.beginMove(ctx, gen)
	}
}

func (exe *Executor) poll(gen *generation) {
	select {
	case _, ok := <-gen.move.steps:
		exe.compare(gen, ok)
	default:
	}
}

// beginMove asks for an engine in the background where a move can gain. The
// second dispatch has its number from now on; for the other hosts the first one
// stays the newest, so that nobody takes that for abandoned.
func (exe *Executor) beginMove(ctx context.Context, gen *generation) {
	mov := &move{source: *gen.lease, first: gen.assembler.Next, steps: make(chan mover.Action, 1)}
	gen.lease.Move = nil
	if len(gen.lease.Group) > 0 {
		return
	}
	mov.state = mover.State{PromptTokens: gen.prompt.Tokens, Blocks: len(gen.blocks)}
	act := exe.decideMove(gen.id, mov, mover.Began{Remaining: exe.rest(gen, mov)})
	if _, ok := act.(mover.Ask); !ok {
		return
	}
	gen.state = gen.state.WithMove()
	mov.request = exe.dispatch(gen)
	ctx, mov.span = exe.Tracer.Start(ctx, "move")
	mov.ctx, mov.cancel = context.WithCancel(ctx)
	mov.untrack = exe.track(gen.id + exportSuffix)
	gen.move = mov
	mov.background.Go(func() { exe.carryMove(gen, mov, act) })
}

// rest reads nothing of the generation that the relay changes.
func (exe *Executor) rest(gen *generation, mov *move) mover.Remaining {
	return mover.Remaining{Tokens: gen.prompt.MaxTokens - mov.next(), Time: gen.deadline.Sub(exe.Clock())}
}

// decideMove decides on an event and frees what a move held that is given up.
func (exe *Executor) decideMove(id string, mov *move, eve mover.Event) mover.Action {
	mov.mu.Lock()
	defer mov.mu.Unlock()
	sta, act := mov.state.Next(eve)
	mov.state = sta
	if abo, ok := act.(mover.Abort); ok {
		mov.cancel()
		exe.pending.Go(func() { exe.abandonMove(id, mov, abo) })
	}
	return act
}

// carryMove takes the steps from the question to the comparison in the
// background. It touches nothing of the generation that the relay changes.
func (exe *Executor) carryMove(gen *generation, mov *move, act mover.Action) {
	for {
		act = exe.decideMove(gen.id, mov, exe.moveStep(gen, mov, act))
		switch act.(type) {
		case mover.Compare:
			mov.steps <- act
			return
		case mover.Abort, mover.Nothing:
			close(mov.steps)
			return
		}
	}
}

// moveStep carries out one action and returns how it ended.
func (exe *Executor) moveStep(gen *generation, mov *move, act mover.Action) mover.Event {
	ctx, stop := context.WithTimeout(mov.ctx, mover.StepLimit)
	defer stop()
	var err error
	var eve mover.Event
	id := gen.id + exportSuffix
	switch act.(type) {
	case mover.Ask:
		eve = mover.Offered{}
		err = exe.askTarget(ctx, mov)
	case mover.Export:
		eve = mover.Exported{}
		err = exe.Invoker.Export(ctx, mov.source.Address, id, exe.Owner, gen.blocks)
	case mover.Import:
		err = exe.Invoker.Import(ctx, mov.target.Address, mov.source.Address, id, exe.Owner)
		eve = mover.Imported{Remaining: exe.rest(gen, mov)}
	case mover.CatchUp:
		eve = mover.CaughtUp{}
		err = exe.readAhead(gen, mov)
	}
	if err != nil {
		return mover.Failed{}
	}
	return eve
}

var errNoTarget = eris.New("no engine takes the answer")

func (exe *Executor) askTarget(ctx context.Context, mov *move) error {
	tar, ok := mov.source.Move(ctx)
	if !ok {
		return errNoTarget
	}
	mov.target = tar
	mov.span.SetAttributes(attribute.String("Endpoint", tar.Endpoint))
	exe.counters().movesStarted.Inc(1)
	if tar.Endpoint == mov.source.Endpoint {
		return errNoTarget
	}
	return nil
}

var errBehind = eris.New("the second engine does not catch up")

// readAhead reads the second engine's stream until it is ahead of the caller.
func (exe *Executor) readAhead(gen *generation, mov *move) error {
	if err := exe.openSecond(gen, mov); err != nil {
		return err
	}
	for len(mov.caught) < mover.MinCaughtUpTokens || mov.ahead.Next <= mov.next() {
		lef := mov.limit.Sub(exe.Clock())
		if lef <= 0 {
			return errBehind
		}
		eve, err := mov.stream.Next(lef)
		if err != nil {
			return err
		}
		if err := mov.take(eve); err != nil {
			return err
		}
	}
	return nil
}

// openSecond dispatches from the caller's next token on.
func (exe *Executor) openSecond(gen *generation, mov *move) error {
	if mov.stream != nil {
		return nil
	}
	req := mov.request
	mov.mu.Lock()
	req.StartIndex += int64(len(mov.texts))
	req.Generated += strings.Join(mov.texts, "")
	mov.mu.Unlock()
	req.BudgetMs = gen.deadline.Sub(exe.Clock()).Milliseconds()
	str, err := exe.Invoker.Generate(mov.ctx, mov.target.Address, req)
	if err != nil {
		return err
	}
	mov.stream = str
	mov.limit = exe.Clock().Add(mover.CatchUpLimit)
	mov.ahead = assembler.Assembler{RequestID: req.RequestID, Attempt: req.Attempt, Next: req.StartIndex, MaxTokens: req.MaxTokens}
	return nil
}

// take keeps a token of the second engine.
func (mov *move) take(eve invoker.Event) error {
	if _, ok := eve.(invoker.Finish); ok {
		return errBehind
	}
	tok, ok := eve.(invoker.Token)
	if !ok {
		return nil
	}
	ass, ver := mov.ahead.Token(tok)
	mov.ahead = ass
	switch ver {
	case assembler.Deliver:
		mov.caught = append(mov.caught, tok)
		return nil
	case assembler.Drop:
		return nil
	default:
		return errUntrusted
	}
}

// compare switches over where both engines made the same tokens, and reports
// whether it did. An engine that draws others would go on with an answer that
// the caller does not have.
func (exe *Executor) compare(gen *generation, ok bool) bool {
	mov := gen.move
	if !ok {
		gen.move = nil
		return false
	}
	both, eve := mov.compared()
	switch act := exe.decideMove(gen.id, mov, eve).(type) {
	case mover.CatchUp:
		mov.background.Go(func() { exe.carryMove(gen, mov, act) })
		return false
	case mover.Switch:
		gen.move = nil
		exe.switchOver(gen, mov, both, act)
		return true
	default:
		gen.move = nil
		return false
	}
}

// compared also returns how many of the second engine's tokens the caller has.
func (mov *move) compared() (int, mover.Event) {
	mov.mu.Lock()
	defer mov.mu.Unlock()
	had := mov.texts[mov.caught[0].Index-mov.first:]
	if len(had) > len(mov.caught) {
		return 0, mover.Behind{}
	}
	for ind, txt := range had {
		if mov.caught[ind].Text != txt {
			return 0, mover.Failed{}
		}
	}
	return len(had), mover.Agreed{}
}

// switchOver makes the second engine the request's own.
func (exe *Executor) switchOver(gen *generation, mov *move, both int, act mover.Switch) {
	old := gen.stream
	gen.moved = true
	gen.stream = mov.stream
	gen.stream.Unread(mov.caught[both:])
	gen.lease.Endpoint = mov.target.Endpoint
	gen.lease.Address = mov.target.Address
	gen.lease.Report = mov.target.Report
	gen.state = gen.state.WithSwitch()
	gen.assembler = gen.assembler.WithAttempt(mov.request.Attempt)
	gen.progress = progress{at: exe.Clock()}
	exe.note(gen.id, mov.request.Attempt)
	exe.counters().movesDone.Inc(1)
	old.Close()
	exe.pending.Go(func() { exe.leaveSource(gen.id, mov, act) })
}

// leaveSource frees what the request held on the first engine.
func (exe *Executor) leaveSource(id string, mov *move, act mover.Switch) {
	ctx, stop := context.WithTimeout(context.WithoutCancel(mov.ctx), cancelTimeout)
	defer stop()
	exe.cancelAt(ctx, mov.source.Address, id, mov.request.Attempt-1)
	if act.Export {
		exe.releaseExport(ctx, mov, id)
	}
	mov.untrack()
	mov.target.Done(true)
	mov.span.SetAttributes(attribute.String("Step", mover.Over.String()))
	mov.span.End()
}

// abandonMove frees what a move held that did not come to its end.
func (exe *Executor) abandonMove(id string, mov *move, abo mover.Abort) {
	// A call in progress could take effect after it was undone.
	mov.background.Wait()
	if mov.stream != nil {
		mov.stream.Close()
	}
	ctx, stop := context.WithTimeout(context.WithoutCancel(mov.ctx), cancelTimeout)
	defer stop()
	if abo.Dispatch {
		exe.cancelAt(ctx, mov.target.Address, id, mov.request.Attempt)
	}
	if abo.Export {
		exe.releaseExport(ctx, mov, id)
	}
	mov.untrack()
	if abo.Target && mov.target.Done != nil {
		mov.target.Done(false)
		exe.Scope.Tagged(map[string]string{"step": abo.At.String()}).Counter("moves_failed").Inc(1)
	}
	mov.span.SetAttributes(attribute.String("Step", abo.At.String()))
	mov.span.End()
}

func (exe *Executor) cancelAt(ctx context.Context, address, id string, att int) {
	if err := exe.Invoker.Cancel(ctx, address, id, att, exe.Owner); err != nil {
		exe.counters().cancelsFailed.Inc(1)
	}
}

func (exe *Executor) releaseExport(ctx context.Context, mov *move, id string) {
	if err := exe.Invoker.Release(ctx, mov.source.Address, id+exportSuffix); err != nil {
		exe.counters().exportsFailed.Inc(1)
	}
}

// takeOver goes on at the second engine when the first one has failed, if the
// second has the request.
func (exe *Executor) takeOver(gen *generation, eve attempter.Event) bool {
	mov := gen.move
	if mov == nil || !endsDispatch(eve) {
		return false
	}
	if _, ok := exe.decideMove(gen.id, mov, mover.SourceFailed{}).(mover.Await); !ok {
		gen.move = nil
		return false
	}
	for gen.move != nil {
		_, ok := <-mov.steps
		if exe.compare(gen, ok) {
			gen.state = gen.state.WithExcluded(mov.source.Endpoint)
			exe.counters().movesRescued.Inc(1)
			return true
		}
	}
	return false
}

// endsDispatch holds for failures of the engine, not of the request.
func endsDispatch(eve attempter.Event) bool {
	switch eve := eve.(type) {
	case attempter.Failed:
		return !eve.Permanent
	case attempter.Stalled:
		return true
	default:
		return false
	}
}

// endMove gives up a move of a request that has ended or is placed anew.
func (exe *Executor) endMove(gen *generation) {
	if gen.move == nil {
		return
	}
	exe.decideMove(gen.id, gen.move, mover.Ended{})
	gen.move = nil
}
