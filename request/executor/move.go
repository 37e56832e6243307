package executor

import (
	"context"
	"sync"
	"sync/atomic"
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

// move carries one answer to another engine. The relay goes on meanwhile: it
// polls steps, on which the background hands over what the relay must do. The
// channel is closed when the move has been given up.
type move struct {
	ctx    context.Context
	cancel context.CancelFunc
	span   trace.Span
	source Lease
	// steps carries Dispatch and then Compare.
	steps      chan mover.Action
	background sync.WaitGroup
	// next is the index of the caller's next token.
	next atomic.Int64

	mu    sync.Mutex
	state mover.State

	// target is set by the background before Dispatch, the fields after it
	// before Compare: the second stream, the tokens read from it, their
	// assembler, and until when it may catch up.
	target Target
	stream *invoker.Stream
	caught []invoker.Token
	ahead  assembler.Assembler
	limit  time.Time
	// request is the second dispatch, tail what the caller got since it was
	// made out. They belong to the relay.
	request invoker.GenerateRequest
	tail    []string
	untrack func()
}

// note keeps what the caller has while a move is on its way.
func (mov *move) note(next int64, txt string) {
	if mov == nil {
		return
	}
	mov.next.Store(next)
	if mov.request.Attempt > 0 {
		mov.tail = append(mov.tail, txt)
	}
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
	case act, ok := <-gen.move.steps:
		exe.moveStep(gen, act, ok)
	default:
	}
}

// beginMove asks for an engine in the background where a move can gain.
func (exe *Executor) beginMove(ctx context.Context, gen *generation) {
	mov := &move{source: *gen.lease, steps: make(chan mover.Action, 1)}
	gen.lease.Move = nil
	if len(gen.lease.Group) > 0 {
		return
	}
	mov.state = mover.State{PromptTokens: gen.prompt.Tokens, Blocks: len(gen.blocks)}
	mov.next.Store(gen.assembler.Next)
	act := exe.decideMove(gen.id, mov, mover.Began{Rest: exe.rest(gen, mov)})
	if _, ok := act.(mover.Ask); !ok {
		return
	}
	ctx, mov.span = exe.Tracer.Start(ctx, "move")
	mov.ctx, mov.cancel = context.WithCancel(ctx)
	mov.untrack = exe.track(gen.id + exportSuffix)
	gen.move = mov
	mov.background.Go(func() { exe.prepare(gen, mov) })
}

func (exe *Executor) rest(gen *generation, mov *move) mover.Rest {
	return mover.Rest{Tokens: gen.prompt.MaxTokens - mov.next.Load(), Time: gen.deadline.Sub(exe.Clock())}
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

// prepare asks, exports and imports in the background. It touches nothing of
// the generation that the relay changes.
func (exe *Executor) prepare(gen *generation, mov *move) {
	ctx, stop := context.WithTimeout(mov.ctx, mover.PrepareLimit)
	defer stop()
	var act mover.Action = mover.Ask{}
	for {
		act = exe.decideMove(gen.id, mov, exe.preparation(ctx, gen, mov, act))
		switch act.(type) {
		case mover.Dispatch:
			mov.steps <- act
			return
		case mover.Abort, mover.Nothing:
			close(mov.steps)
			return
		}
	}
}

// preparation carries out one action and returns how it ended.
func (exe *Executor) preparation(ctx context.Context, gen *generation, mov *move, act mover.Action) mover.Event {
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
		eve = mover.Imported{Rest: exe.rest(gen, mov)}
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

// moveStep does what the background has made ready and reports whether the
// answer goes on at the second engine.
func (exe *Executor) moveStep(gen *generation, act mover.Action, ok bool) bool {
	mov := gen.move
	if !ok {
		gen.move = nil
		return false
	}
	switch act.(type) {
	case mover.Dispatch:
		exe.dispatchMove(gen, mov)
	case mover.Compare:
		return exe.compare(gen, mov)
	}
	return false
}

// dispatchMove numbers the second dispatch. The request's newest attempt stays
// the first one for the other hosts, so that nobody takes that for abandoned.
func (exe *Executor) dispatchMove(gen *generation, mov *move) {
	if _, ok := exe.decideMove(gen.id, mov, mover.Dispatched{}).(mover.CatchUp); !ok {
		return
	}
	gen.state = gen.state.WithMove()
	mov.request = exe.dispatch(gen)
	req := mov.request
	mov.background.Go(func() { exe.catchUp(gen.id, mov, req) })
}

// catchUp reads the second engine's stream in the background until it is ahead
// of the caller.
func (exe *Executor) catchUp(id string, mov *move, req invoker.GenerateRequest) {
	eve := mover.Event(mover.CaughtUp{})
	if err := exe.readAhead(mov, req); err != nil {
		eve = mover.Failed{}
	}
	act := exe.decideMove(id, mov, eve)
	if _, ok := act.(mover.Compare); !ok {
		close(mov.steps)
		return
	}
	mov.steps <- act
}

var errBehind = eris.New("the second engine does not catch up")

func (exe *Executor) readAhead(mov *move, req invoker.GenerateRequest) error {
	if err := exe.openSecond(mov, req); err != nil {
		return err
	}
	for len(mov.caught) < mover.MinCaught || mov.ahead.Next <= mov.next.Load() {
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

func (exe *Executor) openSecond(mov *move, req invoker.GenerateRequest) error {
	if mov.stream != nil {
		return nil
	}
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

// compare switches over where both engines made the same tokens. An engine that
// draws others would go on with an answer that the caller does not have.
func (exe *Executor) compare(gen *generation, mov *move) bool {
	switch act := exe.decideMove(gen.id, mov, mov.compared()).(type) {
	case mover.CatchUp:
		req := mov.request
		mov.background.Go(func() { exe.catchUp(gen.id, mov, req) })
		return false
	case mover.Switch:
		gen.move = nil
		exe.switchOver(gen, mov, act)
		return true
	default:
		gen.move = nil
		return false
	}
}

func (mov *move) compared() mover.Event {
	if len(mov.tail) > len(mov.caught) {
		return mover.Behind{}
	}
	for ind, txt := range mov.tail {
		if mov.caught[ind].Text != txt {
			return mover.Failed{}
		}
	}
	return mover.Agreed{}
}

// switchOver makes the second engine the request's own.
func (exe *Executor) switchOver(gen *generation, mov *move, act mover.Switch) {
	old := gen.stream
	gen.stream = mov.stream
	gen.stream.Unread(mov.caught[len(mov.tail):])
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
	for act := range mov.steps {
		if exe.moveStep(gen, act, true) {
			gen.state = gen.state.WithExcluded(mov.source.Endpoint)
			exe.counters().movesRescued.Inc(1)
			return true
		}
		if gen.move == nil {
			return false
		}
	}
	gen.move = nil
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
