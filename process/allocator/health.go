package allocator

import (
	"context"
	"errors"
	"slices"
	"time"

	"hemlockpin/request/executor"
	"hemlockpin/request/placer"
	"hemlockpin/version/parser"
)

// codeNoEndpoint refuses a request for which every endpoint is excluded.
const codeNoEndpoint = "no_endpoint"

// Acquire places a request on an endpoint that has not failed lately, or on
// any if no other is left.
func (all *Allocator) Acquire(ctx context.Context, req placer.Request, poo parser.Pool) (executor.Lease, error) {
	out := all.ejected(req, poo, time.Now())
	if len(out) == 0 {
		return all.acquired(ctx, req, poo)
	}
	sub := req
	sub.Excluded = append(slices.Clip(req.Excluded), out...)
	lea, err := all.acquired(ctx, sub, poo)
	var ref *executor.RefusedError
	if errors.As(err, &ref) && ref.Refuse.Code == codeNoEndpoint {
		lea, err = all.acquired(ctx, req, poo)
	}
	return lea, err
}

// acquired places a request and remembers where its prefix went.
func (all *Allocator) acquired(ctx context.Context, req placer.Request, poo parser.Pool) (executor.Lease, error) {
	lea, err := all.acquire(ctx, req, poo)
	if err == nil && len(lea.Group) == 0 {
		all.prefixes.note(req.Prefix, lea.Endpoint)
	}
	return all.reported(lea, err)
}

func (all *Allocator) ejected(req placer.Request, poo parser.Pool, now time.Time) []string {
	if all.Ejector.Ejected() == 0 {
		return nil
	}
	all.mu.Lock()
	vie := all.view(poo, now)
	all.mu.Unlock()
	has := func(id string) bool {
		_, ok := vie.index[id]
		return ok
	}
	_, far := all.far(req, poo, now)
	return all.Ejector.Excluded(len(vie.endpoints), far, has, now)
}

// reported makes the lease report how its endpoint did, and that of its move.
func (all *Allocator) reported(lea executor.Lease, err error) (executor.Lease, error) {
	lea.Report = all.reports(lea.Endpoint)
	if mov := lea.Move; mov != nil {
		lea.Move = func(ctx context.Context) (executor.Target, bool) {
			tar, ok := mov(ctx)
			tar.Report = all.reports(tar.Endpoint)
			return tar, ok
		}
	}
	return lea, err
}

func (all *Allocator) reports(id string) func(bool, time.Time) {
	return func(healthy bool, now time.Time) {
		if healthy {
			all.Ejector.RecordSuccess(id)
			return
		}
		all.Ejector.RecordFailure(id, now)
	}
}
