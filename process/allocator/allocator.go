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
	"hemlockpin/process/scheduler"
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
	// waiting counts the requests placed from the own view that have no first
	// token, by pool of engines.
	waiting map[string]int

	prefixes prefixes
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

// fromView places by this host's own view, within the pool's limits as far as
// that view shows them.
func (all *Allocator) fromView(ctx context.Context, req placer.Request, poo parser.Pool) (executor.Lease, error) {
	now := time.Now()
	all.mu.Lock()
	if poo.Kind == parser.PoolEngine && poo.MaxWaiting > 0 && all.waiting[poo.Name] >= poo.MaxWaiting {
		all.mu.Unlock()
		return executor.Lease{}, &executor.RefusedError{Refuse: placer.Refuse{
			Code: scheduler.CodePoolFull, Message: "too many requests wait for the pool", RetryAfter: time.Second,
		}}
	}
	vie := all.view(poo, now)
	all.mix = all.mix.WithRequest(req.PromptTokens, now)
	own := vie.view(all.mix, poo, all.prefixes.match(req.Prefix))
	own.MaxOutstanding = poo.MaxOutstanding
	dec := placer.Decide(all.Policy, req, own, now, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	switch dec := dec.(type) {
	case placer.Place:
		defer all.mu.Unlock()
		return all.untilFirst(all.lease(dec.Endpoint, dec.Address, req.PromptTokens, now), poo), nil
	case placer.PlaceGroup:
		all.mu.Unlock()
		lea, err := all.group(ctx, req, dec)
		if err != nil {
			return lea, err
		}
		all.mu.Lock()
		defer all.mu.Unlock()
		return all.untilFirst(lea, poo), nil
	case placer.Refuse:
		all.mu.Unlock()
		return executor.Lease{}, &executor.RefusedError{Refuse: dec}
	default:
		all.mu.Unlock()
		return executor.Lease{}, eris.Errorf("Allocator.Acquire: unexpected decision %T", dec)
	}
}

// untilFirst counts a request of a pool of engines as waiting until its first
// token or its end. The caller holds the lock.
func (all *Allocator) untilFirst(lea executor.Lease, poo parser.Pool) executor.Lease {
	if poo.Kind != parser.PoolEngine {
		return lea
	}
	if all.waiting == nil {
		all.waiting = map[string]int{}
	}
	all.waiting[poo.Name]++
	first := sync.OnceFunc(func() {
		all.mu.Lock()
		defer all.mu.Unlock()
		all.waiting[poo.Name]--
	})
	pre, rel := lea.Prefilled, lea.Release
	lea.Prefilled = func() { pre(); first() }
	lea.Release = func() { rel(); first() }
	return lea
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
