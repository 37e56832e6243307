// Package assigner finds endpoints for forwarded calls: engines by the plan of
// their pool, which one host keeps for all, and endpoints of plain services by
// this host's own view.
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

// noEndpointRetry is told to callers when no endpoint can be used. Endpoints
// come back within seconds.
const noEndpointRetry = 300 * time.Millisecond

// Codes of refusals.
const (
	codeNoEndpoint = "no_endpoint"
	codeReserve    = "memory_not_reserved"
)

// errNoPlanner says that no host answered for the plan of a pool.
var errNoPlanner = errors.New("assigner: no planner answers")

// Assigner places calls. All its exported fields but Ejector are needed.
type Assigner struct {
	Registry *registrar.Registry
	Pool     func(name string) (parser.Pool, bool)
	Planners *Planners
	Reserver Reserver
	// DataCenter is that of this host.
	DataCenter string
	Ejector    ejector.Ejector
	Clock      func() time.Time
	Log        zerolog.Logger

	mu  sync.Mutex
	out map[string]int
}

// Place finds an endpoint for a call.
func (ass *Assigner) Place(ctx context.Context, ask relayer.Ask) (relayer.Lease, error) {
	poo, ok := ass.Pool(ask.Pool)
	if ok && poo.Batching != nil && ask.PromptTokens > 0 {
		lea, err := ass.fromPlan(ctx, ask)
		if !errors.Is(err, errNoPlanner) {
			return lea, err
		}
		ass.Log.Warn().Str("RequestID", ask.ID).Str("Pool", ask.Pool).Msg("no planner answers; placing by the own view")
	}
	return ass.fromView(ask)
}

// fromView takes the endpoint that has the fewest calls of this host.
func (ass *Assigner) fromView(ask relayer.Ask) (relayer.Lease, error) {
	now := ass.Clock()
	ends := slices.DeleteFunc(ass.Registry.Usable(ask.Pool, now), func(end registrar.Endpoint) bool { return slices.Contains(ask.Excluded, end.ID) })
	if len(ends) == 0 {
		return relayer.Lease{}, &relayer.RefusedError{Code: codeNoEndpoint, Message: "no endpoint of the pool can take the call", RetryAfter: noEndpointRetry}
	}
	out := ass.Ejector.Excluded(len(ends), false, func(id string) bool {
		return slices.ContainsFunc(ends, func(end registrar.Endpoint) bool { return end.ID == id })
	}, now)
	if fit := slices.DeleteFunc(slices.Clone(ends), func(end registrar.Endpoint) bool { return slices.Contains(out, end.ID) }); len(fit) > 0 {
		ends = fit
	}
	rand.Shuffle(len(ends), func(one, two int) { ends[one], ends[two] = ends[two], ends[one] })
	ass.mu.Lock()
	defer ass.mu.Unlock()
	end := slices.MinFunc(ends, func(one, two registrar.Endpoint) int {
		return cmp.Or(cmp.Compare(ass.out[one.ID], ass.out[two.ID]), cmp.Compare(ass.far(one), ass.far(two)))
	})
	return ass.lease(end), nil
}

// far is 0 for the endpoints of the own data centre.
func (ass *Assigner) far(end registrar.Endpoint) int {
	if end.DataCenter == ass.DataCenter {
		return 0
	}
	return 1
}

// lease counts a call on an endpoint. The caller holds the lock.
func (ass *Assigner) lease(end registrar.Endpoint) relayer.Lease {
	if ass.out == nil {
		ass.out = map[string]int{}
	}
	ass.out[end.ID]++
	bad := false
	return relayer.Lease{
		Endpoint: end,
		Began:    func() {},
		Failed: func(string) {
			bad = true
			ass.Ejector.RecordFailure(end.ID, ass.Clock())
		},
		End: sync.OnceFunc(func() {
			if !bad {
				ass.Ejector.RecordSuccess(end.ID)
			}
			ass.mu.Lock()
			defer ass.mu.Unlock()
			if ass.out[end.ID]--; ass.out[end.ID] <= 0 {
				delete(ass.out, end.ID)
			}
		}),
	}
}
