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

// exportSuffix distinguishes the ID of a request's export from that of the request.
const exportSuffix = "-export"

// move is the state of the move of one answer to another engine, while the relay from
// the source continues.
type move struct {
	ctx    context.Context
	cancel context.CancelFunc
	span   trace.Span
	source Lease
	// request is the dispatch to the target, without the tokens generated since the
	// move began.
	request invoker.GenerateRequest
	untrack func()
	// compareReady signals the relay to compare the tokens. It is closed when the move
	// ends without a comparison.
	compareReady chan mover.Action
	background   sync.WaitGroup

	mu    sync.Mutex
	state mover.State
	// texts holds the tokens that the caller received since the move began; firstIndex
	// is the index of texts[0].
	firstIndex int64
	texts      []string

	// The background goroutine sets the fields below before it signals compareReady:
	// the target, its stream, the tokens read from the stream, their assembler, and the
	// time until which the target may catch up.
	target          Target
	stream          *invoker.Stream
	targetTokens    []invoker.Token
	targetAssembler assembler.Assembler
	catchUpDeadline time.Time
}

// recordText records a token that the caller received while a move is in progress.
func (mov *move) recordText(text string) {
	if mov == nil {
		return
	}
	mov.mu.Lock()
	defer mov.mu.Unlock()
	mov.texts = append(mov.texts, text)
}

// nextIndex returns the index of the caller's next token.
func (mov *move) nextIndex() int64 {
	mov.mu.Lock()
	defer mov.mu.Unlock()
	return mov.firstIndex + int64(len(mov.texts))
}

// advanceMove begins a move after the first token, or takes the next step of a move in
// progress.
func (exe *Executor) advanceMove(ctx context.Context, gen *generation) {
	switch {
	case gen.move != nil:
		exe.pollMove(gen)
	case gen.lease.FindTarget != nil && gen.assembler.Next > 0:
		exe.beginMove(ctx, gen)
	}
}

func (exe *Executor) pollMove(gen *generation) {
	select {
	case _, ready := <-gen.move.compareReady:
		exe.compareAndSwitch(gen, ready)
	default:
	}
}

// beginMove requests a target in the background if a move is worthwhile. The dispatch
// to the target gets its attempt number here. Until the switch, Attempt still returns
// the number of the dispatch to the source, so that other hosts do not treat that
// dispatch as abandoned.
func (exe *Executor) beginMove(ctx context.Context, gen *generation) {
	mov := &move{source: *gen.lease, firstIndex: gen.assembler.Next, compareReady: make(chan mover.Action, 1)}
	gen.lease.FindTarget = nil
	if len(gen.lease.Group) > 0 {
		return
	}
	mov.state = mover.State{PromptTokens: gen.prompt.Tokens, Blocks: len(gen.blocks)}
	act := exe.decideMove(gen.id, mov, mover.Began{Remaining: exe.remaining(gen, mov)})
	if _, ok := act.(mover.Ask); !ok {
		return
	}
	gen.state = gen.state.WithMove()
	mov.request = exe.generateRequest(gen)
	ctx, mov.span = exe.Tracer.Start(ctx, "move")
	mov.ctx, mov.cancel = context.WithCancel(ctx)
	mov.untrack = exe.track(gen.id + exportSuffix)
	gen.move = mov
	mov.background.Go(func() { exe.runMove(gen, mov, act) })
}

// remaining returns what is left of the answer and of the time. The relay changes the
// generation concurrently, so remaining must not read fields that the relay writes.
func (exe *Executor) remaining(gen *generation, mov *move) mover.Remaining {
	return mover.Remaining{Tokens: gen.prompt.MaxTokens - mov.nextIndex(), Time: gen.deadline.Sub(exe.Clock())}
}

// decideMove decides on an event. If the move is aborted, it frees in the background
// what the move holds.
func (exe *Executor) decideMove(id string, mov *move, eve mover.Event) mover.Action {
	mov.mu.Lock()
	defer mov.mu.Unlock()
	sta, act := mov.state.Next(eve)
	mov.state = sta
	if abort, ok := act.(mover.Abort); ok {
		mov.cancel()
		exe.cleanup.Go(func() { exe.cleanUpMove(id, mov, abort) })
	}
	return act
}

// runMove carries out the steps from the request for a target up to the comparison, in
// the background. It must not access fields of the generation that the relay writes.
func (exe *Executor) runMove(gen *generation, mov *move, act mover.Action) {
	for {
		act = exe.decideMove(gen.id, mov, exe.performMove(gen, mov, act))
		switch act.(type) {
		case mover.Compare:
			mov.compareReady <- act
			return
		case mover.Abort, mover.Nothing:
			close(mov.compareReady)
			return
		}
	}
}

// performMove carries out one action and returns its result.
func (exe *Executor) performMove(gen *generation, mov *move, act mover.Action) mover.Event {
	ctx, stop := context.WithTimeout(mov.ctx, mover.StepLimit)
	defer stop()
	var err error
	var eve mover.Event
	id := gen.id + exportSuffix
	switch act.(type) {
	case mover.Ask:
		eve = mover.Offered{}
		err = exe.requestTarget(ctx, mov)
	case mover.Export:
		eve = mover.Exported{}
		err = exe.Invoker.Export(ctx, mov.source.Address, id, exe.Owner, gen.blocks)
	case mover.Import:
		err = exe.Invoker.Import(ctx, mov.target.Address, mov.source.Address, id, exe.Owner)
		eve = mover.Imported{Remaining: exe.remaining(gen, mov)}
	case mover.CatchUp:
		eve = mover.CaughtUp{}
		err = exe.catchUp(gen, mov)
	}
	if err != nil {
		return mover.Failed{}
	}
	return eve
}

var errNoTarget = eris.New("no engine available to continue the answer")

func (exe *Executor) requestTarget(ctx context.Context, mov *move) error {
	tar, ok := mov.source.FindTarget(ctx)
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

var errNotCaughtUp = eris.New("target engine did not get ahead of the caller in time or ended its answer")

// catchUp reads the target's stream until the target is ahead of the caller.
func (exe *Executor) catchUp(gen *generation, mov *move) error {
	if err := exe.openTarget(gen, mov); err != nil {
		return err
	}
	for len(mov.targetTokens) < mover.MinCaughtUpTokens || mov.targetAssembler.Next <= mov.nextIndex() {
		left := mov.catchUpDeadline.Sub(exe.Clock())
		if left <= 0 {
			return errNotCaughtUp
		}
		eve, err := mov.stream.Next(left)
		if err != nil {
			return err
		}
		if err := mov.addToken(eve); err != nil {
			return err
		}
	}
	return nil
}

// openTarget dispatches to the target from the caller's next token on.
func (exe *Executor) openTarget(gen *generation, mov *move) error {
	if mov.stream != nil {
		return nil
	}
	req := mov.request
	mov.mu.Lock()
	req.StartIndex += int64(len(mov.texts))
	req.Generated += strings.Join(mov.texts, "")
	mov.mu.Unlock()
	req.BudgetMs = gen.deadline.Sub(exe.Clock()).Milliseconds()
	stream, err := exe.Invoker.Generate(mov.ctx, mov.target.Address, req)
	if err != nil {
		return err
	}
	mov.stream = stream
	mov.catchUpDeadline = exe.Clock().Add(mover.CatchUpLimit)
	mov.targetAssembler = assembler.Assembler{RequestID: req.RequestID, Attempt: req.Attempt, Next: req.StartIndex, MaxTokens: req.MaxTokens}
	return nil
}

// addToken stores a token of the target.
func (mov *move) addToken(eve invoker.Event) error {
	if _, ok := eve.(invoker.Finish); ok {
		return errNotCaughtUp
	}
	tok, ok := eve.(invoker.Token)
	if !ok {
		return nil
	}
	ass, ver := mov.targetAssembler.Token(tok)
	mov.targetAssembler = ass
	switch ver {
	case assembler.Deliver:
		mov.targetTokens = append(mov.targetTokens, tok)
		return nil
	case assembler.Drop:
		return nil
	default:
		return errUntrusted
	}
}

// compareAndSwitch switches to the target if both engines generated the same tokens,
// and reports whether it did. ready is false if the move ended without a comparison. A
// target with other tokens would continue an answer that differs from the one that the
// caller has begun to receive.
func (exe *Executor) compareAndSwitch(gen *generation, ready bool) bool {
	mov := gen.move
	if !ready {
		gen.move = nil
		return false
	}
	shared, eve := mov.compareTokens()
	switch act := exe.decideMove(gen.id, mov, eve).(type) {
	case mover.CatchUp:
		mov.background.Go(func() { exe.runMove(gen, mov, act) })
		return false
	case mover.Switch:
		gen.move = nil
		exe.switchOver(gen, mov, shared, act)
		return true
	default:
		gen.move = nil
		return false
	}
}

// compareTokens compares the target's tokens with the tokens that the caller received,
// and returns how many of the target's tokens the caller already has.
func (mov *move) compareTokens() (int, mover.Event) {
	mov.mu.Lock()
	defer mov.mu.Unlock()
	received := mov.texts[mov.targetTokens[0].Index-mov.firstIndex:]
	if len(received) > len(mov.targetTokens) {
		return 0, mover.Behind{}
	}
	for i, text := range received {
		if mov.targetTokens[i].Text != text {
			return 0, mover.Failed{}
		}
	}
	return len(received), mover.Agreed{}
}

// switchOver makes the target the engine of the request.
func (exe *Executor) switchOver(gen *generation, mov *move, shared int, act mover.Switch) {
	old := gen.stream
	gen.moved = true
	gen.stream = mov.stream
	gen.stream.PushBack(mov.targetTokens[shared:])
	gen.lease.Endpoint = mov.target.Endpoint
	gen.lease.Address = mov.target.Address
	gen.lease.Report = mov.target.Report
	gen.state = gen.state.WithSwitch()
	gen.assembler = gen.assembler.WithAttempt(mov.request.Attempt)
	gen.progress = progress{at: exe.Clock()}
	exe.setAttempt(gen.id, mov.request.Attempt)
	exe.counters().movesDone.Inc(1)
	old.Close()
	exe.cleanup.Go(func() { exe.releaseSource(gen.id, mov, act) })
}

// releaseSource frees what the request holds on the source engine.
func (exe *Executor) releaseSource(id string, mov *move, act mover.Switch) {
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

// cleanUpMove frees what an aborted move holds.
func (exe *Executor) cleanUpMove(id string, mov *move, abort mover.Abort) {
	// A request of the background goroutine to an engine could take effect after the
	// cancellations below, so wait for that goroutine.
	mov.background.Wait()
	if mov.stream != nil {
		mov.stream.Close()
	}
	ctx, stop := context.WithTimeout(context.WithoutCancel(mov.ctx), cancelTimeout)
	defer stop()
	if abort.Dispatch {
		exe.cancelAt(ctx, mov.target.Address, id, mov.request.Attempt)
	}
	if abort.Export {
		exe.releaseExport(ctx, mov, id)
	}
	mov.untrack()
	if abort.Target && mov.target.Done != nil {
		mov.target.Done(false)
		exe.Scope.Tagged(map[string]string{"step": abort.At.String()}).Counter("moves_failed").Inc(1)
	}
	mov.span.SetAttributes(attribute.String("Step", abort.At.String()))
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

// tryTakeOver continues on the target when the source has failed, provided that the
// target already has the request, and reports whether it did.
func (exe *Executor) tryTakeOver(gen *generation, eve attempter.Event) bool {
	mov := gen.move
	if mov == nil || !isEngineFailure(eve) {
		return false
	}
	if _, ok := exe.decideMove(gen.id, mov, mover.SourceFailed{}).(mover.Await); !ok {
		gen.move = nil
		return false
	}
	for gen.move != nil {
		_, ok := <-mov.compareReady
		if exe.compareAndSwitch(gen, ok) {
			gen.state = gen.state.WithExcluded(mov.source.Endpoint)
			exe.counters().movesRescued.Inc(1)
			return true
		}
	}
	return false
}

// isEngineFailure reports whether an event is a failure of the engine rather than of
// the request.
func isEngineFailure(eve attempter.Event) bool {
	switch eve := eve.(type) {
	case attempter.Failed:
		return !eve.Permanent
	case attempter.Stalled:
		return true
	default:
		return false
	}
}

// endMove aborts the move of a request that has ended or is placed again.
func (exe *Executor) endMove(gen *generation) {
	if gen.move == nil {
		return
	}
	exe.decideMove(gen.id, gen.move, mover.Ended{})
	gen.move = nil
}
