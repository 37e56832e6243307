// Package allocator places requests: it asks the scheduler of a cell, or places
// from this host's own view, and keeps count of what the host has on each
// endpoint.
package allocator

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"hemlockpin/connection/invoker"
	"hemlockpin/process/ejector"
	"hemlockpin/process/grouper"
	"hemlockpin/process/watcher"
	"hemlockpin/request/executor"
	"hemlockpin/request/placer"
	"hemlockpin/version/parser"

	"github.com/rotisserie/eris"
)

// Allocator places requests. Its maps are ready as zero values.
type Allocator struct {
	Policy  placer.Policy
	Watcher *watcher.Watcher
	Invoker *invoker.Invoker
	Owner   invoker.Owner
	// Ejector keeps failing endpoints out.
	Ejector ejector.Ejector
	// Cells reaches the schedulers; nil places from the own view only.
	Cells *Cells

	mu    sync.Mutex
	work  map[string]*usage
	views map[string]*view
	mix   placer.Mix
}

// acquire places a request. With a scheduler it waits until it is granted or
// refused; else waiting is left to the engines' queues.
func (all *Allocator) acquire(ctx context.Context, req placer.Request, poo parser.Pool) (executor.Lease, error) {
	if all.Cells != nil && all.Policy == placer.PolicyCell && poo.Kind == parser.PoolEngine {
		lea, err := all.fromCell(ctx, req, poo)
		if !eris.Is(err, errNoScheduler) {
			return lea, err
		}
		all.Cells.Scope.Counter("cell_fallbacks").Inc(1)
	}
	return all.fromView(ctx, req, poo)
}

func (all *Allocator) fromView(ctx context.Context, req placer.Request, poo parser.Pool) (executor.Lease, error) {
	now := time.Now()
	all.mu.Lock()
	vie := all.view(poo, now)
	all.mix = all.mix.WithRequest(req.PromptTokens, now)
	dec := placer.Decide(all.Policy, req, vie.view(all.mix, poo), now, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	switch dec := dec.(type) {
	case placer.Place:
		defer all.mu.Unlock()
		return all.lease(dec.Endpoint, dec.Address, req.PromptTokens, now), nil
	case placer.PlaceGroup:
		all.mu.Unlock()
		return all.group(ctx, req, dec)
	case placer.Refuse:
		all.mu.Unlock()
		return executor.Lease{}, &executor.RefusedError{Refuse: dec}
	default:
		all.mu.Unlock()
		return executor.Lease{}, eris.Errorf("Allocator.Acquire: unexpected decision %T", dec)
	}
}

// lease counts the request. The caller holds the lock.
func (all *Allocator) lease(id, address string, tokens int64, now time.Time) executor.Lease {
	all.add(id, 1, tokens, now)
	var pre, rel sync.Once
	prefilled := func() { pre.Do(func() { all.change(id, 0, -tokens) }) }
	return executor.Lease{
		Endpoint: id, Address: address, Prefilled: prefilled,
		Release: func() {
			prefilled()
			rel.Do(func() { all.change(id, -1, 0) })
		},
	}
}

// group reserves memory on every engine of a group, or on none.
func (all *Allocator) group(ctx context.Context, req placer.Request, dec placer.PlaceGroup) (executor.Lease, error) {
	gro, err := (&grouper.Runner{Invoker: all.Invoker, Owner: all.Owner}).Reserve(ctx, req, dec.Parts, time.Now())
	if err != nil {
		return executor.Lease{}, newGroupError(err)
	}
	all.mu.Lock()
	defer all.mu.Unlock()
	lea := all.lease(gro.Parts[0].Endpoint, gro.Parts[0].Address, req.PromptTokens, time.Now())
	lea.ReservationID = gro.ReservationID
	lea.Group = gro.Parts
	rel := lea.Release
	lea.Release = sync.OnceFunc(func() { gro.Release(); rel() })
	return lea, nil
}
