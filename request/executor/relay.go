package executor

import (
	"context"
	"errors"
	"net/http"
	"time"

	"hemlockpin/connection/invoker"
	"hemlockpin/request/assembler"
	"hemlockpin/request/attempter"
	"hemlockpin/request/responder"

	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
)

// Errors that end a relay beside those of the stream.
var (
	errUntrusted = eris.New("the engine's stream does not fit the request")
	errStalled   = eris.New("the engine makes no progress")
	errCaller    = eris.New("the caller can't be written to")
)

// progress is the last change that an engine showed on a dispatch.
type progress struct {
	at        time.Time
	prefilled int64
	ahead     int64
}

// counters are the metrics of the relay, looked up once.
type counters struct {
	tokens, dropped, untrusted, stalled, silent, slow, resumed, cancelsFailed, usage      tally.Counter
	prompt, cached                                                                        tally.Counter
	movesStarted, movesDone, movesRescued, exportsFailed, hedges, hedgesWon, hedgesDenied tally.Counter
}

func (exe *Executor) counters() *counters {
	exe.counted.Do(func() {
		exe.count = counters{
			tokens: exe.Scope.Counter("tokens"), dropped: exe.Scope.Counter("tokens_dropped"),
			untrusted: exe.Scope.Counter("streams_untrusted"), stalled: exe.Scope.Counter("streams_stalled"),
			silent: exe.Scope.Counter("streams_silent"), slow: exe.Scope.Counter("callers_slow"),
			resumed: exe.Scope.Counter("attempts_resumed"), cancelsFailed: exe.Scope.Counter("cancels_failed"),
			usage: exe.Scope.Counter("usage_mismatched"), prompt: exe.Scope.Counter("prompt_tokens"), cached: exe.Scope.Counter("cached_tokens"),
			movesStarted: exe.Scope.Counter("moves_started"), movesDone: exe.Scope.Counter("moves_done"),
			movesRescued: exe.Scope.Counter("moves_rescued"), exportsFailed: exe.Scope.Counter("export_releases_failed"),
			hedges: exe.Scope.Counter("hedges"), hedgesWon: exe.Scope.Counter("hedges_won"),
			hedgesDenied: exe.Scope.Counter("hedges_denied"),
		}
	})
	return &exe.count
}

// relay passes tokens on until the end of the answer. Tokens that arrived
// together are sent together.
func (exe *Executor) relay(ctx context.Context, gen *generation) error {
	for {
		eve, err := gen.stream.Next(invoker.SilenceTimeout)
		if err == nil {
			err = exe.event(gen, eve)
		}
		if err == nil && gen.stream.Buffered() {
			continue
		}
		if fle := gen.flush(exe.Clock()); fle != nil {
			return fle
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
		exe.move(ctx, gen)
	}
}

// errComplete ends the relay of a whole answer.
var errComplete = eris.New("the answer is complete")

func (gen *generation) flush(now time.Time) error {
	if err := gen.answer.Flush(now); err != nil {
		return callerError(err)
	}
	return nil
}

func callerError(err error) error {
	if eris.Is(err, responder.ErrSlowCaller) {
		return err
	}
	return eris.Wrap(errCaller, err.Error())
}

func (exe *Executor) event(gen *generation, eve invoker.Event) error {
	switch eve := eve.(type) {
	case invoker.Token:
		return exe.token(gen, eve)
	case invoker.Finish:
		return exe.finish(gen, eve)
	case invoker.Idle:
		gen.noteIdle(eve, exe.Clock())
	}
	return nil
}

// noteIdle counts a change of prefill or of the place in the queue as progress.
func (gen *generation) noteIdle(idl invoker.Idle, now time.Time) {
	pro := &gen.progress
	if idl.Prefilled > pro.prefilled || idl.Ahead < pro.ahead {
		pro.at = now
	}
	pro.prefilled = max(pro.prefilled, idl.Prefilled)
	pro.ahead = idl.Ahead
}

func (exe *Executor) token(gen *generation, tok invoker.Token) error {
	ass, ver := gen.assembler.Token(tok)
	gen.assembler = ass
	switch ver {
	case assembler.Deliver:
		gen.lease.Prefilled()
		gen.state = gen.state.WithDelivered(ass.Next)
		gen.progress.at = exe.Clock()
		gen.move.note(tok.Text)
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

func (exe *Executor) finish(gen *generation, fin invoker.Finish) error {
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
	if err := gen.answer.Finish(exe.usage(gen, fin), exe.Clock()); err != nil {
		return callerError(err)
	}
	return errComplete
}

// usage replaces counts of the engine that can't be true by the host's own. What
// was cached for an answer that has moved is not known, so it is told as nothing
// and left out of the counters.
func (exe *Executor) usage(gen *generation, fin invoker.Finish) invoker.Finish {
	if fin.PromptTokens != gen.prompt.Tokens || fin.CachedTokens < 0 || fin.CachedTokens > fin.PromptTokens {
		exe.counters().usage.Inc(1)
		fin.PromptTokens = gen.prompt.Tokens
		fin.CachedTokens = 0
	}
	if gen.moved {
		// The second engine takes the blocks that it fetched for cached ones.
		fin.CachedTokens = 0
		return fin
	}
	exe.counters().prompt.Inc(fin.PromptTokens)
	exe.counters().cached.Inc(fin.CachedTokens)
	return fin
}

func refusedEvent(ctx context.Context, err error) attempter.Event {
	if ctx.Err() != nil {
		return ended(ctx)
	}
	var ref *RefusedError
	if errors.As(err, &ref) {
		return attempter.Refused{Code: ref.Refuse.Code, Message: ref.Refuse.Message, RetryAfter: ref.Refuse.RetryAfter}
	}
	return attempter.Refused{Code: "internal", Message: err.Error()}
}

// ended tells a caller that left from a time limit that passed.
func ended(ctx context.Context) attempter.Event {
	if errors.Is(ctx.Err(), context.Canceled) {
		return attempter.Gone{}
	}
	return attempter.Expired{}
}

// failed builds the event of a dispatch that did not end whole.
func (exe *Executor) failed(ctx context.Context, gen *generation, err error) attempter.Event {
	// A failed write also ends the context, so it is looked at first.
	end := gen.lease.Endpoint
	switch {
	case eris.Is(err, responder.ErrSlowCaller):
		exe.counters().slow.Inc(1)
		return attempter.Gone{}
	case eris.Is(err, errCaller):
		return attempter.Gone{}
	case ctx.Err() != nil:
		return ended(ctx)
	case eris.Is(err, errStalled):
		exe.counters().stalled.Inc(1)
		return attempter.Stalled{Endpoint: end}
	}
	eve := attempter.Failed{Endpoint: end, Ran: invoker.Unknown, Message: err.Error()}
	var ine *invoker.Error
	if errors.As(err, &ine) {
		eve.Ran = ine.Ran
		eve.Permanent = ine.Status == http.StatusBadRequest || ine.Status == http.StatusRequestEntityTooLarge
		eve.Connection = errors.Is(err, invoker.ErrSilent) || ine.Status == 0 && ine.Code == "" && ine.Ran != invoker.NotRun
	}
	if !eve.Permanent {
		gen.lease.report(false, exe.Clock())
	}
	if eris.Is(err, invoker.ErrSilent) {
		exe.counters().silent.Inc(1)
		exe.Invoker.Condemn(gen.lease.Address)
	}
	return eve
}
