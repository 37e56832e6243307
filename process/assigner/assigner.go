// Package assigner finds endpoints for forwarded calls. Engines are assigned by the plan
// of their pool, which one host keeps for all hosts; an endpoint of a plain service is
// chosen from the local view of this host.
package assigner

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"hemlockpin/process/ejector"
	"hemlockpin/process/registrar"
	"hemlockpin/request/relayer"
	"hemlockpin/version/parser"

	"github.com/rs/zerolog"
)

// retryAfter is the time after which callers are asked to try again if no endpoint can be
// used or no memory could be reserved. Endpoints become usable again within seconds.
const retryAfter = 300 * time.Millisecond

// Codes of refusals.
const (
	codeNoEndpoint = "no_endpoint"
	codeReserve    = "memory_not_reserved"
)

// errNoPlanner reports that no host answered a request for the plan of a pool.
var errNoPlanner = errors.New("assigner: no planner answered")

// Assigner assigns endpoints to calls. All its exported fields except Ejector are
// required.
type Assigner struct {
	Registry *registrar.Registry
	Pool     func(name string) (parser.Pool, bool)
	Planners *Planners
	Reserver Reserver
	// DataCenter is the data centre of this host.
	DataCenter string
	Ejector    ejector.Ejector
	Clock      func() time.Time
	Log        zerolog.Logger

	mu          sync.Mutex
	activeCalls map[string]int
}

// Place finds an endpoint for a call.
func (ass *Assigner) Place(ctx context.Context, req relayer.PlacementRequest) (relayer.Lease, error) {
	poo, ok := ass.Pool(req.Pool)
	if ok && poo.Batching != nil && req.PromptTokens > 0 {
		lea, err := ass.placeByPlan(ctx, req)
		if !errors.Is(err, errNoPlanner) {
			return lea, err
		}
		ass.Log.Warn().Str("RequestID", req.ID).Str("Pool", req.Pool).Msg("no planner answered; choosing an endpoint by the local view")
	}
	return ass.placeByView(req)
}

// placeByView chooses the endpoint that has the fewest calls of this host, among equals
// one of this host's data centre. It avoids ejected endpoints if any others are left.
func (ass *Assigner) placeByView(req relayer.PlacementRequest) (relayer.Lease, error) {
	now := ass.Clock()
	ends := slices.DeleteFunc(ass.Registry.Usable(req.Pool, now), func(end registrar.Endpoint) bool { return slices.Contains(req.Excluded, end.ID) })
	if len(ends) == 0 {
		return relayer.Lease{}, &relayer.RefusedError{Code: codeNoEndpoint, Message: "no endpoint of the pool can take the call", RetryAfter: retryAfter}
	}
	ejected := ass.Ejector.Excluded(len(ends), false, func(id string) bool {
		return slices.ContainsFunc(ends, func(end registrar.Endpoint) bool { return end.ID == id })
	}, now)
	if healthy := slices.DeleteFunc(slices.Clone(ends), func(end registrar.Endpoint) bool { return slices.Contains(ejected, end.ID) }); len(healthy) > 0 {
		ends = healthy
	}
	rand.Shuffle(len(ends), func(a, b int) { ends[a], ends[b] = ends[b], ends[a] })
	ass.mu.Lock()
	defer ass.mu.Unlock()
	end := slices.MinFunc(ends, func(a, b registrar.Endpoint) int {
		return cmp.Or(cmp.Compare(ass.activeCalls[a.ID], ass.activeCalls[b.ID]), cmp.Compare(ass.distance(a), ass.distance(b)))
	})
	return ass.newLease(end), nil
}

// distance is 0 for the endpoints in this host's data centre and 1 for others.
func (ass *Assigner) distance(end registrar.Endpoint) int {
	if end.DataCenter == ass.DataCenter {
		return 0
	}
	return 1
}

// newLease counts a call on an endpoint and returns the lease of the endpoint. ass.mu must
// be held.
func (ass *Assigner) newLease(end registrar.Endpoint) relayer.Lease {
	if ass.activeCalls == nil {
		ass.activeCalls = map[string]int{}
	}
	ass.activeCalls[end.ID]++
	failed := false
	return relayer.Lease{
		Endpoint:         end,
		ReportFirstEvent: func() {},
		ReportFailure: func(string) {
			failed = true
			ass.Ejector.RecordFailure(end.ID, ass.Clock())
		},
		Release: sync.OnceFunc(func() {
			if !failed {
				ass.Ejector.RecordSuccess(end.ID)
			}
			ass.mu.Lock()
			defer ass.mu.Unlock()
			if ass.activeCalls[end.ID]--; ass.activeCalls[end.ID] <= 0 {
				delete(ass.activeCalls, end.ID)
			}
		}),
	}
}
