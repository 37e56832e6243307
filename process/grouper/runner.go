package grouper

import (
	"context"
	"errors"
	"sync"
	"time"

	"hemlockpin/connection/invoker"
	"hemlockpin/request/placer"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
)

const (
	// callTimeout bounds a call to an engine, in addition to the wait for memory.
	callTimeout = time.Second
	// releaseTimeout bounds the release of all parts.
	releaseTimeout = time.Second
)

// UnavailableError reports a group that cannot be reserved now. All parts were
// released; the reclaimer later frees parts whose engines did not answer.
type UnavailableError struct {
	// Engine is the engine that did not reserve its part.
	Engine string
	// NoAnswer reports that it is not known whether the engine reserved its part.
	NoAnswer bool
	Message  string
}

// Error returns the engine and the cause.
func (err *UnavailableError) Error() string {
	return "Runner.Reserve: engine " + err.Engine + ": " + err.Message
}

// Runner reserves groups of engines for one host.
type Runner struct {
	Invoker *invoker.Invoker
	Owner   invoker.Owner
}

// Group is a reservation of all parts of a plan.
type Group struct {
	// Parts are in the order of the plan, the leader first.
	Parts         []invoker.Part
	ReservationID string
	// Release releases all parts. It is idempotent.
	Release func()
}

// Reserve reserves all parts of a plan. If that fails it returns an UnavailableError,
// or the error of ctx if the request has ended, after it has released all parts. Each
// call uses a new reservation ID, so that a delayed release of an earlier reservation
// cannot release this one.
func (run *Runner) Reserve(ctx context.Context, req placer.Request, plan []placer.Part, now time.Time) (Group, error) {
	id := req.ID + "." + uuid.NewString()
	var pars []invoker.Part
	for _, par := range plan {
		pars = append(pars, invoker.Part{Endpoint: par.Endpoint, Address: par.Address, Tokens: par.Tokens, ReservationID: id})
	}
	sta, act := New(pars, req.Deadline).Next(Started{}, now)
	for {
		switch action := act.(type) {
		case Reserve:
			eve := run.reservePart(ctx, req, action)
			sta, act = sta.Next(eve, time.Now())
		case Complete:
			return Group{Parts: pars, ReservationID: id, Release: sync.OnceFunc(func() { run.release(ctx, pars) })}, nil
		case GiveUp:
			run.release(ctx, action.Release)
			if ctx.Err() != nil {
				return Group{}, eris.Wrap(ctx.Err(), "Runner.Reserve")
			}
			return Group{}, &UnavailableError{Engine: action.Engine, NoAnswer: action.NoAnswer, Message: action.Message}
		}
	}
}

func (run *Runner) reservePart(ctx context.Context, req placer.Request, res Reserve) Event {
	callCtx, stop := context.WithTimeout(ctx, res.Wait+callTimeout)
	defer stop()
	err := run.Invoker.ReserveFor(callCtx, res.Part.Address, invoker.Reservation{
		ReservationID: res.Part.ReservationID, RequestID: req.ID, Owner: run.Owner, Tokens: res.Part.Tokens,
		BudgetMs: time.Until(req.Deadline).Milliseconds(), WaitMs: res.Wait.Milliseconds(),
	})
	var invokerErr *invoker.Error
	switch {
	case err == nil:
		return Granted{}
	case ctx.Err() != nil:
		return RequestEnded{}
	case errors.As(err, &invokerErr) && invokerErr.Execution == invoker.NotRun:
		return Denied{Message: err.Error()}
	default:
		return NoAnswer{Message: err.Error()}
	}
}

// release releases parts concurrently. The reclaimer later frees parts whose engines
// did not answer.
func (run *Runner) release(ctx context.Context, pars []invoker.Part) {
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer stop()
	var wg sync.WaitGroup
	for _, par := range pars {
		wg.Go(func() { _ = run.Invoker.Release(ctx, par.Address, par.ReservationID) })
	}
	wg.Wait()
}
