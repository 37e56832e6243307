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

// codeNoEndpoint is the code of scheduler.CodeNoEndpoint, and of the refusal of package
// placer if no endpoint is left.
const codeNoEndpoint = "no_endpoint"

// Acquire places a request on an endpoint that is not ejected. If there is none, it
// places the request on an ejected endpoint. errors.As finds an *executor.RefusedError
// in a refusal.
func (all *Allocator) Acquire(ctx context.Context, req placer.Request, poo parser.Pool) (executor.Lease, error) {
	ejected := all.ejected(req, poo, time.Now())
	if len(ejected) == 0 {
		return all.placeAndRecord(ctx, req, poo)
	}
	reduced := req
	reduced.Excluded = append(slices.Clip(req.Excluded), ejected...)
	lea, err := all.placeAndRecord(ctx, reduced, poo)
	var ref *executor.RefusedError
	if errors.As(err, &ref) && ref.Refuse.Code == codeNoEndpoint {
		lea, err = all.placeAndRecord(ctx, req, poo)
	}
	return lea, err
}

// placeAndRecord places a request and records which endpoint has the request's prefix,
// unless a group has it.
func (all *Allocator) placeAndRecord(ctx context.Context, req placer.Request, poo parser.Pool) (executor.Lease, error) {
	lea, err := all.place(ctx, req, poo)
	if err == nil && len(lea.Group) == 0 {
		all.prefixes.record(req.Prefix, lea.Endpoint)
	}
	return all.withReports(lea, err)
}

func (all *Allocator) ejected(req placer.Request, poo parser.Pool, now time.Time) []string {
	if all.Ejector.EjectedCount() == 0 {
		return nil
	}
	all.mu.Lock()
	vie := all.view(poo, now)
	all.mu.Unlock()
	has := func(id string) bool {
		_, ok := vie.index[id]
		return ok
	}
	_, otherRegion := all.chooseOtherRegion(req, poo, now)
	return all.Ejector.Excluded(len(vie.endpoints), otherRegion, has, now)
}

// withReports makes the lease report successes and failures of its endpoint, and of
// the endpoint that it moves to, to the ejector. It returns err unchanged.
func (all *Allocator) withReports(lea executor.Lease, err error) (executor.Lease, error) {
	lea.Report = all.reporter(lea.Endpoint)
	if move := lea.FindTarget; move != nil {
		lea.FindTarget = func(ctx context.Context) (executor.Target, bool) {
			tar, ok := move(ctx)
			tar.Report = all.reporter(tar.Endpoint)
			return tar, ok
		}
	}
	return lea, err
}

func (all *Allocator) reporter(id string) func(bool, time.Time) {
	return func(healthy bool, now time.Time) {
		if healthy {
			all.Ejector.RecordSuccess(id)
			return
		}
		all.Ejector.RecordFailure(id, now)
	}
}
