// Package allocator places requests on endpoints: through the scheduler of a cell, or
// from this host's local view. It also counts this host's outstanding requests on
// each endpoint.
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

// Allocator places requests. Its maps need no initialisation.
type Allocator struct {
	Policy  placer.Policy
	Watcher *watcher.Watcher
	Invoker *invoker.Invoker
	Owner   invoker.Owner
	// Ejector excludes endpoints that fail from placement.
	Ejector ejector.Ejector
	// Cells sends requests to the schedulers; nil places from the local view
	// only.
	Cells *Cells

	mu              sync.Mutex
	usageByEndpoint map[string]*usage
	views           map[string]*view
	mix             placer.Mix
	// waiting is the number of requests placed from the local view that have no
	// first token yet, by pool name. Pools of services are not counted.
	waiting map[string]int

	prefixes prefixes
}

// place places a request. If a scheduler answers, place waits until the request is
// granted or refused. Otherwise it places at once from the local view, and the
// request waits in the engine's queue.
func (all *Allocator) place(ctx context.Context, req placer.Request, poo parser.Pool) (executor.Lease, error) {
	if all.Cells != nil && all.Policy == placer.PolicyCell && poo.Kind == parser.PoolEngine {
		lea, err := all.placeFromCell(ctx, req, poo)
		if !eris.Is(err, errNoScheduler) {
			return lea, err
		}
		all.Cells.Scope.Counter("cell_fallbacks").Inc(1)
	}
	return all.placeFromView(ctx, req, poo)
}

// placeFromView places a request from this host's local view. It applies MaxWaiting to
// this host's own waiting requests, and MaxOutstanding to the requests that the view
// shows.
func (all *Allocator) placeFromView(ctx context.Context, req placer.Request, poo parser.Pool) (executor.Lease, error) {
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
	localView := vie.placerView(all.mix, poo, all.prefixes.match(req.Prefix))
	localView.MaxOutstanding = poo.MaxOutstanding
	dec := placer.Decide(all.Policy, req, localView, now, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	switch dec := dec.(type) {
	case placer.Place:
		defer all.mu.Unlock()
		return all.countUntilFirstToken(all.lease(dec.Endpoint, dec.Address, req.PromptTokens, now), poo), nil
	case placer.PlaceGroup:
		all.mu.Unlock()
		lea, err := all.reserveGroup(ctx, req, dec)
		if err != nil {
			return lea, err
		}
		all.mu.Lock()
		defer all.mu.Unlock()
		return all.countUntilFirstToken(lea, poo), nil
	case placer.Refuse:
		all.mu.Unlock()
		return executor.Lease{}, &executor.RefusedError{Refuse: dec}
	default:
		all.mu.Unlock()
		return executor.Lease{}, eris.Errorf("Allocator.Acquire: unexpected decision %T", dec)
	}
}

// countUntilFirstToken counts a request of a pool of engines as waiting until its
// first token or its end. The caller holds the lock.
func (all *Allocator) countUntilFirstToken(lea executor.Lease, poo parser.Pool) executor.Lease {
	if poo.Kind != parser.PoolEngine {
		return lea
	}
	if all.waiting == nil {
		all.waiting = map[string]int{}
	}
	all.waiting[poo.Name]++
	stopCounting := sync.OnceFunc(func() {
		all.mu.Lock()
		defer all.mu.Unlock()
		all.waiting[poo.Name]--
	})
	prefilled, release := lea.Prefilled, lea.Release
	lea.Prefilled = func() { prefilled(); stopCounting() }
	lea.Release = func() { release(); stopCounting() }
	return lea
}

// lease returns a lease on an endpoint and counts the request as outstanding until
// its release. The caller holds the lock.
func (all *Allocator) lease(id, address string, tokens int64, now time.Time) executor.Lease {
	all.changeUsageLocked(id, 1, tokens, now)
	var prefilledOnce, releaseOnce sync.Once
	prefilled := func() { prefilledOnce.Do(func() { all.changeUsage(id, 0, -tokens) }) }
	return executor.Lease{
		Endpoint: id, Address: address, Prefilled: prefilled,
		Release: func() {
			prefilled()
			releaseOnce.Do(func() { all.changeUsage(id, -1, 0) })
		},
	}
}

// reserveGroup reserves memory on all engines of a group, or on none.
func (all *Allocator) reserveGroup(ctx context.Context, req placer.Request, dec placer.PlaceGroup) (executor.Lease, error) {
	gro, err := (&grouper.Runner{Invoker: all.Invoker, Owner: all.Owner}).Reserve(ctx, req, dec.Parts, time.Now())
	if err != nil {
		return executor.Lease{}, newGroupError(err)
	}
	all.mu.Lock()
	defer all.mu.Unlock()
	lea := all.lease(gro.Parts[0].Endpoint, gro.Parts[0].Address, req.PromptTokens, time.Now())
	lea.ReservationID = gro.ReservationID
	lea.Group = gro.Parts
	release := lea.Release
	lea.Release = sync.OnceFunc(func() { gro.Release(); release() })
	return lea, nil
}
