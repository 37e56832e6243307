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
	"hemlockpin/process/planner"
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
	codeLimited    = "endpoints_limited"
)

// errNoPlanner reports that no host answered a request for the plan of a pool.
var errNoPlanner = errors.New("assigner: no planner answered")

// Assigner assigns endpoints to calls. All its exported fields except Ejector,
// Permits, Holds and OnLeaving are required.
type Assigner struct {
	Registry *registrar.Registry
	Pool     func(name string) (parser.Pool, bool)
	Planners *Planners
	Reserver Reserver
	// DataCenter is the data centre of this host.
	DataCenter string
	Ejector    ejector.Ejector
	// Permits limits the calls to endpoints that name limits; nil for no limits.
	Permits *Permits
	// Holds are the endpoints that want no calls of this host for a time; nil to ignore such
	// wishes.
	Holds *Holds
	// OnLeaving receives endpoints whose answers say that they leave; nil for none.
	OnLeaving func(end registrar.Endpoint)
	Clock     func() time.Time
	Log       zerolog.Logger

	mu          sync.Mutex
	activeCalls map[string]int
}

// Place finds an endpoint for a call, other than those that want no calls of this host now.
func (ass *Assigner) Place(ctx context.Context, req relayer.PlacementRequest) (relayer.Lease, error) {
	if ass.Holds == nil || ass.Holds.empty() {
		return ass.place(ctx, req)
	}
	now := ass.Clock()
	held, shortest := ass.Holds.among(ass.Registry.Usable(req.Pool, now), now)
	req.Excluded = slices.Concat(req.Excluded, held)
	lea, err := ass.place(ctx, req)
	var refused *relayer.RefusedError
	if len(held) > 0 && errors.As(err, &refused) && (refused.Code == codeNoEndpoint || refused.Code == planner.CodeNoEngine) {
		err = &relayer.RefusedError{Code: refused.Code, Message: refused.Message, RetryAfter: max(refused.RetryAfter, shortest)}
	}
	return lea, err
}

func (ass *Assigner) place(ctx context.Context, req relayer.PlacementRequest) (relayer.Lease, error) {
	poo, ok := ass.Pool(req.Pool)
	if ok && poo.Batching != nil && req.PromptTokens > 0 {
		lea, err := ass.placeByPlan(ctx, req)
		if !errors.Is(err, errNoPlanner) {
			return lea, err
		}
		ass.Log.Warn().Str("RequestID", req.ID).Str("Pool", req.Pool).Msg("no planner answered; choosing an endpoint by the local view")
	}
	share := 1.0
	if ok && poo.Batching != nil {
		share -= planShare
	}
	return ass.placeByView(ctx, req, share)
}

// placeByView chooses the endpoint that has the fewest calls of this host, among equals
// one of this host's data centre. It avoids ejected endpoints if any others are left, and
// endpoints whose limit allows no call now. share is the share of the limits that such calls
// may use.
func (ass *Assigner) placeByView(ctx context.Context, req relayer.PlacementRequest, share float64) (relayer.Lease, error) {
	now := ass.Clock()
	ends := slices.DeleteFunc(ass.Registry.Usable(req.Pool, now), func(end registrar.Endpoint) bool { return slices.Contains(req.Excluded, end.ID) })
	refused := &relayer.RefusedError{Code: codeNoEndpoint, Message: "no endpoint of the pool can take the call", RetryAfter: retryAfter}
	ejected := ass.Ejector.Excluded(len(ends), false, func(id string) bool {
		return slices.ContainsFunc(ends, func(end registrar.Endpoint) bool { return end.ID == id })
	}, now)
	if healthy := slices.DeleteFunc(slices.Clone(ends), func(end registrar.Endpoint) bool { return slices.Contains(ejected, end.ID) }); len(healthy) > 0 {
		ends = healthy
	}
	rand.Shuffle(len(ends), func(a, b int) { ends[a], ends[b] = ends[b], ends[a] })
	for len(ends) > 0 {
		end := ass.takeLeastBusy(ends)
		sent := ass.limitSequence(end.ID)
		permitted, wait := ass.permit(ctx, end.ID, share, now)
		if permitted {
			return ass.newLease(end, sent), nil
		}
		ass.returnCall(end)
		ass.Log.Info().Str("RequestID", req.ID).Str("Endpoint", end.ID).Dur("WaitMs", wait).Int("Others", len(ends)-1).Msg("limit of the endpoint allows no call now")
		if refused.Code != codeLimited || wait < refused.RetryAfter {
			refused = &relayer.RefusedError{Code: codeLimited, Message: "the endpoints take no more calls now", RetryAfter: wait}
		}
		ends = slices.DeleteFunc(ends, func(other registrar.Endpoint) bool { return other.ID == end.ID })
	}
	return relayer.Lease{}, refused
}

// permit asks for permission to send a call to an endpoint.
func (ass *Assigner) permit(ctx context.Context, endpoint string, share float64, now time.Time) (permitted bool, wait time.Duration) {
	if ass.Permits == nil {
		return true, 0
	}
	return ass.Permits.take(ctx, endpoint, share, now)
}

// limitSequence returns the sequence of an endpoint's limit as known now.
func (ass *Assigner) limitSequence(endpoint string) uint64 {
	if ass.Permits == nil {
		return 0
	}
	return ass.Permits.Throttler.Limit(endpoint).Sequence
}

// observeAnswer returns the function that records what an answer says of its endpoint. sent
// is the sequence of the endpoint's limit when the call was sent.
func (ass *Assigner) observeAnswer(end registrar.Endpoint, sent uint64) func(info relayer.AnswerInfo) {
	return func(info relayer.AnswerInfo) {
		if ass.Permits != nil {
			ass.Permits.Throttler.Observe(end.ID, sent, info.Limit, info.HasLimit, ass.Clock())
		}
		if info.RetryAfter > 0 && ass.Holds != nil {
			ass.Holds.add(end, info.RetryAfter, ass.Clock())
			ass.Log.Info().Str("Endpoint", end.ID).Dur("WaitMs", info.RetryAfter).Msg("endpoint wants no calls of this host for a time")
		}
		if info.Leaving && ass.OnLeaving != nil {
			ass.OnLeaving(end)
		}
	}
}

// takeLeastBusy counts a call on the endpoint that has the fewest calls of this host.
func (ass *Assigner) takeLeastBusy(ends []registrar.Endpoint) registrar.Endpoint {
	ass.mu.Lock()
	defer ass.mu.Unlock()
	end := slices.MinFunc(ends, func(a, b registrar.Endpoint) int {
		return cmp.Or(cmp.Compare(ass.activeCalls[a.ID], ass.activeCalls[b.ID]), cmp.Compare(ass.distance(a), ass.distance(b)))
	})
	if ass.activeCalls == nil {
		ass.activeCalls = map[string]int{}
	}
	ass.activeCalls[end.ID]++
	return end
}

// returnCall ends a call that takeLeastBusy has counted.
func (ass *Assigner) returnCall(end registrar.Endpoint) {
	ass.mu.Lock()
	defer ass.mu.Unlock()
	if ass.activeCalls[end.ID]--; ass.activeCalls[end.ID] <= 0 {
		delete(ass.activeCalls, end.ID)
	}
}

// distance is 0 for the endpoints in this host's data centre and 1 for others.
func (ass *Assigner) distance(end registrar.Endpoint) int {
	if end.DataCenter == ass.DataCenter {
		return 0
	}
	return 1
}

// newLease returns the lease of an endpoint on which a call was counted. sent is the sequence
// of the endpoint's limit.
func (ass *Assigner) newLease(end registrar.Endpoint, sent uint64) relayer.Lease {
	failed := false
	observe := ass.observeAnswer(end, sent)
	return relayer.Lease{
		Endpoint:         end,
		ReportFirstEvent: func() {},
		ReportAnswer: func(info relayer.AnswerInfo) {
			// An endpoint that answers with failures does not count as sound.
			failed = failed || info.Failed
			observe(info)
		},
		ReportFailure: func(string) {
			failed = true
			ass.Ejector.RecordFailure(end.ID, ass.Clock())
		},
		ReportError: func() { ass.Ejector.RecordFailure(end.ID, ass.Clock()) },
		Release: sync.OnceFunc(func() {
			if !failed {
				ass.Ejector.RecordSuccess(end.ID)
			}
			ass.returnCall(end)
		}),
	}
}
