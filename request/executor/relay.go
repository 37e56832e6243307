package executor

import (
	"context"
	"errors"
	"net/http"
	"time"

	"hemlockpin/connection/invoker"
	"hemlockpin/process/drainer"
	"hemlockpin/request/assembler"
	"hemlockpin/request/attempter"
	"hemlockpin/request/responder"

	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
)

// Errors that end a relay, besides those of the stream. The text of errUntrusted can
// reach the caller.
var (
	errUntrusted   = eris.New("the engine's stream does not fit the request")
	errStalled     = eris.New("engine made no progress within its limit")
	errCallerWrite = eris.New("writing the answer to the caller failed")
)

// progress is the last progress that an engine reported on a dispatch. at is its time,
// prefilled counts prompt tokens, and ahead counts the sequences scheduled before the
// request's.
type progress struct {
	at        time.Time
	prefilled int64
	ahead     int64
}

// counters are the metrics of the executor, looked up once.
type counters struct {
	tokens, dropped, untrusted, stalled, silentStreams, slowCallers, resumed, cancelsFailed, usageMismatched tally.Counter
	promptTokens, cachedTokens                                                                               tally.Counter
	movesStarted, movesDone, movesRescued, exportsFailed, hedges, hedgesWon, hedgesDenied                    tally.Counter
}

func (exe *Executor) counters() *counters {
	exe.countersOnce.Do(func() {
		exe.counterSet = counters{
			tokens: exe.Scope.Counter("tokens"), dropped: exe.Scope.Counter("tokens_dropped"),
			untrusted: exe.Scope.Counter("streams_untrusted"), stalled: exe.Scope.Counter("streams_stalled"),
			silentStreams: exe.Scope.Counter("streams_silent"), slowCallers: exe.Scope.Counter("callers_slow"),
			resumed: exe.Scope.Counter("attempts_resumed"), cancelsFailed: exe.Scope.Counter("cancels_failed"),
			usageMismatched: exe.Scope.Counter("usage_mismatched"), promptTokens: exe.Scope.Counter("prompt_tokens"), cachedTokens: exe.Scope.Counter("cached_tokens"),
			movesStarted: exe.Scope.Counter("moves_started"), movesDone: exe.Scope.Counter("moves_done"),
			movesRescued: exe.Scope.Counter("moves_rescued"), exportsFailed: exe.Scope.Counter("export_releases_failed"),
			hedges: exe.Scope.Counter("hedges"), hedgesWon: exe.Scope.Counter("hedges_won"),
			hedgesDenied: exe.Scope.Counter("hedges_denied"),
		}
	})
	return &exe.counterSet
}

// relay forwards tokens until the end of the answer. Tokens that arrive together are
// sent together.
func (exe *Executor) relay(ctx context.Context, gen *generation) error {
	for {
		eve, err := gen.stream.Next(invoker.EventTimeout)
		if err == nil {
			err = exe.handleEvent(gen, eve)
		}
		if err == nil && gen.stream.Buffered() {
			continue
		}
		if flushErr := gen.flush(exe.Clock()); flushErr != nil {
			return flushErr
		}
		if errors.Is(err, errComplete) {
			return nil
		}
		if err != nil {
			return err
		}
		if now := exe.Clock(); now.Sub(gen.progress.at) > gen.state.ProgressLimit(now) {
			return errStalled
		}
		exe.advanceMove(ctx, gen)
	}
}

// errComplete ends the relay of a complete answer.
var errComplete = eris.New("answer complete")

func (gen *generation) flush(now time.Time) error {
	if err := gen.answer.Flush(now); err != nil {
		return callerWriteError(err)
	}
	return nil
}

func callerWriteError(err error) error {
	if eris.Is(err, responder.ErrSlowCaller) {
		return err
	}
	return eris.Wrap(errCallerWrite, err.Error())
}

func (exe *Executor) handleEvent(gen *generation, eve invoker.Event) error {
	switch eve := eve.(type) {
	case invoker.Token:
		return exe.handleToken(gen, eve)
	case invoker.Finish:
		return exe.handleFinish(gen, eve)
	case invoker.Idle:
		gen.recordIdle(eve, exe.Clock())
	}
	return nil
}

// recordIdle counts an advance of the prefill or of the position in the queue as
// progress.
func (gen *generation) recordIdle(idl invoker.Idle, now time.Time) {
	pro := &gen.progress
	if idl.Prefilled > pro.prefilled || idl.Ahead < pro.ahead {
		pro.at = now
	}
	pro.prefilled = max(pro.prefilled, idl.Prefilled)
	pro.ahead = idl.Ahead
}

func (exe *Executor) handleToken(gen *generation, tok invoker.Token) error {
	ass, ver := gen.assembler.Token(tok)
	gen.assembler = ass
	switch ver {
	case assembler.Deliver:
		if err := gen.text.add(len(tok.Text)); err != nil {
			exe.counters().untrusted.Inc(1)
			return err
		}
		gen.lease.Prefilled()
		gen.state = gen.state.WithDelivered(ass.Next)
		gen.progress.at = exe.Clock()
		gen.move.recordText(tok.Text)
		exe.counters().tokens.Inc(1)
		return gen.answer.Token(tok.Text)
	case assembler.Drop:
		exe.counters().dropped.Inc(1)
		return nil
	default:
		exe.counters().untrusted.Inc(1)
		return eris.Wrapf(errUntrusted, "token %d of attempt %d: %s", tok.Index, tok.Attempt, ver)
	}
}

func (exe *Executor) handleFinish(gen *generation, fin invoker.Finish) error {
	ver := gen.assembler.Finish(fin)
	switch ver {
	case assembler.Complete:
		gen.lease.report(true, exe.Clock())
	case assembler.Drop:
		exe.counters().dropped.Inc(1)
		return nil
	default:
		exe.counters().untrusted.Inc(1)
		return eris.Wrapf(errUntrusted, "finish after %d tokens: %s", gen.assembler.Next, ver)
	}
	if err := gen.answer.Finish(exe.checkedUsage(gen, fin), exe.Clock()); err != nil {
		return callerWriteError(err)
	}
	return errComplete
}

// checkedUsage replaces implausible counts of the engine: the prompt tokens by the
// host's count, the cached tokens by 0. The number of cached tokens of a moved answer
// is unknown, so it is reported as 0 and not counted in the metrics.
func (exe *Executor) checkedUsage(gen *generation, fin invoker.Finish) invoker.Finish {
	if fin.PromptTokens != gen.prompt.Tokens || fin.CachedTokens < 0 || fin.CachedTokens > fin.PromptTokens {
		exe.counters().usageMismatched.Inc(1)
		fin.PromptTokens = gen.prompt.Tokens
		fin.CachedTokens = 0
	}
	if gen.moved {
		// The target counts the blocks that it fetched from the source as cached.
		fin.CachedTokens = 0
		return fin
	}
	exe.counters().promptTokens.Inc(fin.PromptTokens)
	exe.counters().cachedTokens.Inc(fin.CachedTokens)
	return fin
}

func refusedEvent(ctx context.Context, err error) attempter.Event {
	if ctx.Err() != nil {
		return contextEvent(ctx)
	}
	var ref *RefusedError
	if errors.As(err, &ref) {
		return attempter.Refused{Code: ref.Refuse.Code, Message: ref.Refuse.Message, RetryAfter: ref.Refuse.RetryAfter}
	}
	return attempter.Refused{Code: "internal", Message: err.Error()}
}

// contextEvent distinguishes a caller that disconnected from a time limit that passed or a
// host that stops.
func contextEvent(ctx context.Context) attempter.Event {
	if errors.Is(ctx.Err(), context.Canceled) && !errors.Is(context.Cause(ctx), drainer.ErrStopping) {
		return attempter.Gone{}
	}
	return attempter.Expired{}
}

// failureEvent returns the event for a dispatch that ended without a complete answer.
func (exe *Executor) failureEvent(ctx context.Context, gen *generation, err error) attempter.Event {
	// A failed write also ends ctx, so the cases of write errors come before that of
	// ctx.
	end := gen.lease.Endpoint
	switch {
	case eris.Is(err, responder.ErrSlowCaller):
		exe.counters().slowCallers.Inc(1)
		return attempter.Gone{}
	case eris.Is(err, errCallerWrite):
		return attempter.Gone{}
	case ctx.Err() != nil:
		return contextEvent(ctx)
	case eris.Is(err, errStalled):
		exe.counters().stalled.Inc(1)
		return attempter.Stalled{Endpoint: end}
	}
	eve := attempter.Failed{Endpoint: end, Ran: invoker.Unknown, Message: err.Error(), Permanent: eris.Is(err, errTextTooLong)}
	var invokeErr *invoker.Error
	if errors.As(err, &invokeErr) {
		eve.Ran = invokeErr.Execution
		eve.Permanent = invokeErr.Status == http.StatusBadRequest || invokeErr.Status == http.StatusRequestEntityTooLarge
		eve.Connection = errors.Is(err, invoker.ErrUnresponsive) || invokeErr.Status == 0 && invokeErr.Code == "" && invokeErr.Execution != invoker.NotRun
	}
	if !eve.Permanent || eris.Is(err, errTextTooLong) {
		gen.lease.report(false, exe.Clock())
	}
	if eris.Is(err, invoker.ErrUnresponsive) {
		exe.counters().silentStreams.Inc(1)
		exe.Invoker.CloseIdleConnections(gen.lease.Address)
	}
	return eve
}
