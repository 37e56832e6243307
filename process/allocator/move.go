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

// moveTimeout bounds the question where an answer goes on.
const moveTimeout = 250 * time.Millisecond

// withMove lets a granted request ask its cell for an engine that goes on with
// its answer.
func (all *Allocator) withMove(lea executor.Lease, hos host, nam, id string) executor.Lease {
	lea.Move = func(ctx context.Context) (executor.Target, bool) {
		mov, ok := all.Cells.move(ctx, hos, nam, id)
		if !ok {
			return executor.Target{}, false
		}
		return executor.Target{Endpoint: mov.Endpoint, Address: mov.Address, Done: all.moveDone(hos, nam, id)}, true
	}
	return lea
}

func (all *Allocator) moveDone(hos host, nam, id string) func(moved bool) {
	var one sync.Once
	return func(moved bool) {
		kin := messenger.GrantNotice_KIND_STAYED
		if moved {
			kin = messenger.GrantNotice_KIND_MOVED
		}
		one.Do(func() { all.Cells.notify(hos, nam, id, kin) })
	}
}

// move asks the scheduler that granted an ask.
func (cel *Cells) move(ctx context.Context, hos host, nam, id string) (scheduler.MoveTo, bool) {
	if hos.id == cel.Self {
		mov, ok := cel.Scheduler.Move(nam, id).(scheduler.MoveTo)
		return mov, ok
	}
	gra, err := cel.callMove(ctx, hos, nam, id)
	if err != nil {
		// The scheduler may have set memory aside.
		cel.notify(hos, nam, id, messenger.GrantNotice_KIND_STAYED)
		return scheduler.MoveTo{}, false
	}
	if gra.GetEndpoint() == "" {
		return scheduler.MoveTo{}, false
	}
	return scheduler.MoveTo{ID: id, Endpoint: gra.GetEndpoint(), Address: gra.GetAddress()}, true
}

func (cel *Cells) callMove(ctx context.Context, hos host, nam, id string) (*messenger.Grant, error) {
	ctx, stop := context.WithTimeout(ctx, moveTimeout)
	defer stop()
	env, err := cel.Caller.Call(ctx, hos.address, &messenger.Envelope{Body: &messenger.Envelope_GrantRequest{
		GrantRequest: &messenger.GrantRequest{Cell: nam, AskId: id, Move: true},
	}})
	if err != nil {
		return nil, eris.Wrapf(err, "Cells.callMove: scheduler %s", hos.id)
	}
	if env.GetGrant() == nil {
		return nil, eris.Errorf("Cells.callMove: scheduler %s: reply is not a grant", hos.id)
	}
	return env.GetGrant(), nil
}
