package allocator

import (
	"context"
	"sync"
	"time"

	"hemlockpin/connection/messenger"
	"hemlockpin/process/scheduler"
	"hemlockpin/request/executor"

	"github.com/rotisserie/eris"
)

// moveTimeout bounds the call that requests a move.
const moveTimeout = 250 * time.Millisecond

// withMove sets the lease's Move, which requests from the scheduler an engine that
// decodes the rest of the answer.
func (all *Allocator) withMove(lea executor.Lease, hos host, cell, grantID string) executor.Lease {
	lea.FindTarget = func(ctx context.Context) (executor.Target, bool) {
		mov, ok := all.Cells.move(ctx, hos, cell, grantID)
		if !ok {
			return executor.Target{}, false
		}
		return executor.Target{Endpoint: mov.Endpoint, Address: mov.Address, Done: all.moveDone(hos, cell, grantID)}, true
	}
	return lea
}

func (all *Allocator) moveDone(hos host, cell, grantID string) func(moved bool) {
	var once sync.Once
	return func(moved bool) {
		kind := messenger.GrantNotice_KIND_STAYED
		if moved {
			kind = messenger.GrantNotice_KIND_MOVED
		}
		once.Do(func() { all.Cells.notify(hos, cell, grantID, kind) })
	}
}

// move requests a move from the scheduler that granted a request.
func (cel *Cells) move(ctx context.Context, hos host, cell, grantID string) (scheduler.MoveTo, bool) {
	if hos.id == cel.Self {
		mov, ok := cel.Scheduler.Move(cell, grantID).(scheduler.MoveTo)
		return mov, ok
	}
	gra, err := cel.callMove(ctx, hos, cell, grantID)
	if err != nil {
		// The scheduler may have allocated memory for the move; the notice frees it.
		cel.notify(hos, cell, grantID, messenger.GrantNotice_KIND_STAYED)
		return scheduler.MoveTo{}, false
	}
	if gra.GetEndpoint() == "" {
		return scheduler.MoveTo{}, false
	}
	return scheduler.MoveTo{ID: grantID, Endpoint: gra.GetEndpoint(), Address: gra.GetAddress()}, true
}

func (cel *Cells) callMove(ctx context.Context, hos host, cell, grantID string) (*messenger.Grant, error) {
	ctx, stop := context.WithTimeout(ctx, moveTimeout)
	defer stop()
	env, err := cel.Peers.Call(ctx, hos.address, &messenger.Envelope{Body: &messenger.Envelope_GrantRequest{
		GrantRequest: &messenger.GrantRequest{Cell: cell, AskId: grantID, Move: true},
	}})
	if err != nil {
		return nil, eris.Wrapf(err, "Cells.callMove: scheduler %s", hos.id)
	}
	if env.GetGrant() == nil {
		return nil, eris.Errorf("Cells.callMove: scheduler %s: reply is not a grant", hos.id)
	}
	return env.GetGrant(), nil
}
