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
	callTimeout    = time.Second
	releaseTimeout = time.Second
)

// UnavailableError reports a group that can't be had now. Nothing is held.
type UnavailableError struct {
	// Engine is the one that could not be had.
	Engine string
	// Lost says that it did not answer.
	NoAnswer bool
	Message  string
}

// Error names the engine.
func (err *UnavailableError) Error() string {
	return "Runner.Reserve: engine " + err.Engine + ": " + err.Message
}

// Runner reserves groups for one host.
type Runner struct {
	Invoker *invoker.Invoker
	Owner   invoker.Owner
}

// Group is a reservation of all its parts.
type Group struct {
	// Parts are in the order of the plan, the leader first.
	Parts         []invoker.Part
	ReservationID string
	// Release gives all parts back. It is idempotent.
	Release func()
}

// Reserve takes all parts of a plan, or fails with an UnavailableError and
// holds none. The name of the reservation is new each time, so that a late release of
// an earlier one can't free it.
func (run *Runner) Reserve(ctx context.Context, req placer.Request, plan []placer.Part, now time.Time) (Group, error) {
	id := req.ID + "." + uuid.NewString()
	var pars []invoker.Part
	for _, par := range plan {
		pars = append(pars, invoker.Part{Endpoint: par.Endpoint, Address: par.Address, Tokens: par.Tokens, ReservationID: id})
	}
	sta, act := New(pars, req.Deadline).Next(Started{}, now)
	for {
		switch one := act.(type) {
		case Reserve:
			eve := run.reserve(ctx, req, one)
			sta, act = sta.Next(eve, time.Now())
		case Complete:
			return Group{Parts: pars, ReservationID: id, Release: sync.OnceFunc(func() { run.release(ctx, pars) })}, nil
		case GiveUp:
			run.release(ctx, one.Release)
			if ctx.Err() != nil {
				return Group{}, eris.Wrap(ctx.Err(), "Runner.Reserve")
			}
			return Group{}, &UnavailableError{Engine: one.Engine, NoAnswer: one.NoAnswer, Message: one.Message}
		}
	}
}

func (run *Runner) reserve(ctx context.Context, req placer.Request, res Reserve) Event {
	one, stop := context.WithTimeout(ctx, res.Wait+callTimeout)
	defer stop()
	err := run.Invoker.ReserveFor(one, res.Part.Address, invoker.Reservation{
		ReservationID: res.Part.ReservationID, RequestID: req.ID, Owner: run.Owner, Tokens: res.Part.Tokens,
		BudgetMs: time.Until(req.Deadline).Milliseconds(), WaitMs: res.Wait.Milliseconds(),
	})
	var ine *invoker.Error
	switch {
	case err == nil:
		return Granted{}
	case ctx.Err() != nil:
		return Expired{}
	case errors.As(err, &ine) && ine.Ran == invoker.NotRun:
		return Denied{Message: err.Error()}
	default:
		return NoAnswer{Message: err.Error()}
	}
}

// release gives parts back at once. What can't be reached is found by the
// reclaimer.
func (run *Runner) release(ctx context.Context, pars []invoker.Part) {
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer stop()
	var gro sync.WaitGroup
	for _, par := range pars {
		gro.Go(func() { _ = run.Invoker.Release(ctx, par.Address, par.ReservationID) })
	}
	gro.Wait()
}
