package allocator

import (
	"slices"
	"time"

	"hemlockpin/request/placer"
	"hemlockpin/version/parser"
)

const (
	// viewRefresh is the least time between two copies of a pool's view.
	viewRefresh = 50 * time.Millisecond
	// reportLag is the age that an engine's figures have when they are read.
	reportLag = 250 * time.Millisecond
	// maxStamps bounds the dispatches remembered for one endpoint.
	maxStamps = 64
)

// usage counts this host's requests on one endpoint.
type usage struct {
	requests int
	tokens   int64
	// recent are the latest dispatches, oldest first.
	recent []stamp
}

type stamp struct {
	at     time.Time
	tokens int64
}

// since sums up the dispatches that are too new for a report, up to what is
// still outstanding.
func (usa *usage) since(at time.Time) int64 {
	var sum int64
	for _, sta := range usa.recent {
		if sta.at.After(at) {
			sum += sta.tokens
		}
	}
	return min(sum, usa.tokens)
}

// view is the copy of a pool's view that placement reads and counts in.
type view struct {
	endpoints []placer.Endpoint
	index     map[string]int
	version   uint64
	pool      parser.Pool
	copied    time.Time
}

func (vie *view) view(mix placer.Mix, poo parser.Pool, cac []placer.Cached) placer.View {
	return placer.View{Endpoints: vie.endpoints, Cached: cac, Mix: mix, LongShare: poo.LongShare}
}

// view returns the pool's view with this host's own work. The caller holds the
// lock.
func (all *Allocator) view(poo parser.Pool, now time.Time) *view {
	if all.views == nil {
		all.views = map[string]*view{}
	}
	vie := all.views[poo.Name]
	if vie != nil && samePool(vie.pool, poo) && (now.Sub(vie.copied) < viewRefresh || vie.version == all.Watcher.Version()) {
		return vie
	}
	vie = &view{version: all.Watcher.Version(), endpoints: all.Watcher.Pool(poo).Endpoints, index: map[string]int{}, pool: poo, copied: now}
	for ind := range vie.endpoints {
		end := &vie.endpoints[ind]
		vie.index[end.ID] = ind
		if usa := all.work[end.ID]; usa != nil {
			end.Outstanding = usa.requests
			end.OutstandingTokens = usa.tokens
			end.RecentTokens = usa.since(end.ReportedAt.Add(-reportLag))
		}
	}
	all.views[poo.Name] = vie
	return vie
}

func samePool(one, two parser.Pool) bool {
	return one.Kind == two.Kind && one.Selector.Service == two.Selector.Service && slices.Equal(one.Selector.DataCenters, two.Selector.DataCenters)
}

func (all *Allocator) change(id string, requests int, tokens int64) {
	all.mu.Lock()
	defer all.mu.Unlock()
	all.add(id, requests, tokens, time.Time{})
}

// add counts work, also in the views. The caller holds the lock.
func (all *Allocator) add(id string, requests int, tokens int64, now time.Time) {
	if all.work == nil {
		all.work = map[string]*usage{}
	}
	usa := all.work[id]
	if usa == nil {
		usa = &usage{}
		all.work[id] = usa
	}
	usa.requests += requests
	usa.tokens += tokens
	if tokens > 0 {
		usa.recent = append(usa.recent, stamp{now, tokens})
		if len(usa.recent) > maxStamps {
			usa.recent = slices.Delete(usa.recent, 0, 1)
		}
	}
	for _, vie := range all.views {
		ind, ok := vie.index[id]
		if !ok {
			continue
		}
		end := &vie.endpoints[ind]
		end.Outstanding += requests
		end.OutstandingTokens += tokens
		end.RecentTokens = min(end.OutstandingTokens, end.RecentTokens+max(0, tokens))
	}
	if usa.requests <= 0 {
		delete(all.work, id)
	}
}
