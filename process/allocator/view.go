package allocator

import (
	"slices"
	"time"

	"hemlockpin/request/placer"
	"hemlockpin/version/parser"
)

const (
	// viewRefresh is the minimum time between two copies of a pool's view.
	viewRefresh = 50 * time.Millisecond
	// reportLag is the assumed age of an engine's figures when its load report is
	// read.
	reportLag = 250 * time.Millisecond
	// maxRecentDispatches bounds the recorded dispatches of one endpoint.
	maxRecentDispatches = 64
)

// usage counts this host's outstanding requests on one endpoint, and the prompt tokens
// of the outstanding requests without a first token.
type usage struct {
	requests int
	tokens   int64
	// recent has the latest dispatches, the oldest first.
	recent []dispatch
}

type dispatch struct {
	at     time.Time
	tokens int64
}

// tokensSince returns the sum of the tokens dispatched after a time, which a load
// report of that time does not include, but at most the outstanding tokens.
func (usa *usage) tokensSince(at time.Time) int64 {
	var sum int64
	for _, dis := range usa.recent {
		if dis.at.After(at) {
			sum += dis.tokens
		}
	}
	return min(sum, usa.tokens)
}

// view is a copy of the endpoints that the watcher shows for a pool, to which the
// allocator adds this host's outstanding requests.
type view struct {
	endpoints []placer.Endpoint
	index     map[string]int
	version   uint64
	pool      parser.Pool
	copiedAt  time.Time
}

func (vie *view) placerView(mix placer.Mix, poo parser.Pool, cached []placer.Cached) placer.View {
	return placer.View{Endpoints: vie.endpoints, Cached: cached, Mix: mix, LongShare: poo.LongShare}
}

// view returns the pool's view with this host's outstanding requests. The caller
// holds the lock.
func (all *Allocator) view(poo parser.Pool, now time.Time) *view {
	if all.views == nil {
		all.views = map[string]*view{}
	}
	vie := all.views[poo.Name]
	if vie != nil && sameEndpoints(vie.pool, poo) && (now.Sub(vie.copiedAt) < viewRefresh || vie.version == all.Watcher.Version()) {
		return vie
	}
	vie = &view{version: all.Watcher.Version(), endpoints: all.Watcher.Pool(poo).Endpoints, index: map[string]int{}, pool: poo, copiedAt: now}
	for i := range vie.endpoints {
		end := &vie.endpoints[i]
		vie.index[end.ID] = i
		if usa := all.usageByEndpoint[end.ID]; usa != nil {
			end.Outstanding = usa.requests
			end.OutstandingTokens = usa.tokens
			end.RecentTokens = usa.tokensSince(end.ReportedAt.Add(-reportLag))
		}
	}
	all.views[poo.Name] = vie
	return vie
}

// sameEndpoints reports whether two versions of a pool select the same endpoints.
func sameEndpoints(a, b parser.Pool) bool {
	return a.Kind == b.Kind && a.Selector.Service == b.Selector.Service && slices.Equal(a.Selector.DataCenters, b.Selector.DataCenters)
}

// changeUsage is changeUsageLocked for the progress and the end of a request. It takes
// the lock.
func (all *Allocator) changeUsage(id string, requests int, tokens int64) {
	all.mu.Lock()
	defer all.mu.Unlock()
	all.changeUsageLocked(id, requests, tokens, time.Time{})
}

// changeUsageLocked adds to the usage of an endpoint, also in the views. The caller
// holds the lock.
func (all *Allocator) changeUsageLocked(id string, requests int, tokens int64, now time.Time) {
	if all.usageByEndpoint == nil {
		all.usageByEndpoint = map[string]*usage{}
	}
	usa := all.usageByEndpoint[id]
	if usa == nil {
		usa = &usage{}
		all.usageByEndpoint[id] = usa
	}
	usa.requests += requests
	usa.tokens += tokens
	if tokens > 0 {
		usa.recent = append(usa.recent, dispatch{now, tokens})
		if len(usa.recent) > maxRecentDispatches {
			usa.recent = slices.Delete(usa.recent, 0, 1)
		}
	}
	for _, vie := range all.views {
		i, ok := vie.index[id]
		if !ok {
			continue
		}
		end := &vie.endpoints[i]
		end.Outstanding += requests
		end.OutstandingTokens += tokens
		end.RecentTokens = min(end.OutstandingTokens, end.RecentTokens+max(0, tokens))
	}
	if usa.requests <= 0 {
		delete(all.usageByEndpoint, id)
	}
}
