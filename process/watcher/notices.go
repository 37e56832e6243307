package watcher

import (
	"context"
	"slices"
	"sync"
	"time"

	"hemlockpin/connection/invoker"
	"hemlockpin/connection/messenger"
)

const (
	// noticeLife is how long a notice holds after its endpoint was last seen so.
	noticeLife = time.Minute
	// noticeRefresh is the age from which a repeated observation is passed on.
	noticeRefresh = 20 * time.Second
	// noticeTransmits bounds how often a host adds a notice to its probes.
	noticeTransmits = 12
	// maxNotices bounds the notices that one probe carries.
	maxNotices = 16
)

// Notice is a change of an endpoint's state that hosts tell each other.
type Notice struct {
	Endpoint string
	// Incarnation identifies the process of the endpoint; 0 where it gives none.
	Incarnation uint64
	Leaving     bool
	// At is when a host last observed the state.
	At time.Time
}

// Merge returns what holds after another notice of the same endpoint. It does
// not depend on the order of notices: of two processes the newer counts, and
// of one process the leaving state, for it does not come back.
func (not Notice) Merge(oth Notice) Notice {
	switch {
	case oth.Incarnation > not.Incarnation:
		return oth
	case oth.Incarnation < not.Incarnation:
		return not
	case oth.Leaving != not.Leaving && oth.Leaving:
		return oth
	case oth.Leaving == not.Leaving && oth.At.After(not.At):
		return oth
	default:
		return not
	}
}

// news reports whether a host that held old should pass not on.
func (not Notice) news(old Notice) bool {
	return not.Incarnation != old.Incarnation || not.Leaving != old.Leaving || not.At.Sub(old.At) >= noticeRefresh
}

// Notices holds the notices in force on one host. Its zero value is ready.
type Notices struct {
	mu      sync.Mutex
	known   map[string]Notice
	pending map[string]int
	version uint64
}

// changes counts the notices that were news.
func (nots *Notices) changes() uint64 {
	nots.mu.Lock()
	defer nots.mu.Unlock()
	return nots.version
}

// Leaving reports whether an endpoint is known to be leaving.
func (nots *Notices) Leaving(endpoint string, now time.Time) bool {
	nots.mu.Lock()
	defer nots.mu.Unlock()
	not, ok := nots.known[endpoint]
	return ok && not.Leaving && now.Sub(not.At) < noticeLife
}

// Observe takes what an endpoint says of itself. It returns the notice to
// spread, if that is news.
func (nots *Notices) Observe(not Notice, now time.Time) []*messenger.EndpointNotice {
	nots.mu.Lock()
	defer nots.mu.Unlock()
	if _, ok := nots.known[not.Endpoint]; !ok && !not.Leaving {
		return nil
	}
	if !nots.take(not, now) {
		return nil
	}
	return []*messenger.EndpointNotice{not.message(now)}
}

// Merge merges the notices of a peer and returns those that were news.
func (nots *Notices) Merge(mess []*messenger.EndpointNotice, now time.Time) []*messenger.EndpointNotice {
	nots.mu.Lock()
	defer nots.mu.Unlock()
	var news []*messenger.EndpointNotice
	for _, mes := range mess {
		not := Notice{
			Endpoint: mes.GetEndpoint(), Incarnation: mes.GetIncarnation(), Leaving: mes.GetLeaving(),
			At: now.Add(-time.Duration(max(0, mes.GetAgeMs())) * time.Millisecond),
		}
		if nots.take(not, now) {
			news = append(news, not.message(now))
		}
	}
	return news
}

// take merges one notice and reports whether it was news.
func (nots *Notices) take(not Notice, now time.Time) bool {
	if not.Endpoint == "" || now.Sub(not.At) >= noticeLife {
		return false
	}
	if nots.known == nil {
		nots.known = map[string]Notice{}
		nots.pending = map[string]int{}
	}
	old, ok := nots.known[not.Endpoint]
	if ok && now.Sub(old.At) < noticeLife {
		not = old.Merge(not)
	}
	if ok && not == old {
		return false
	}
	fresh := !ok || not.news(old)
	if !fresh {
		// An observation that is not passed on must not hide the next ones.
		return false
	}
	nots.known[not.Endpoint] = not
	nots.pending[not.Endpoint] = noticeTransmits
	nots.version++
	return true
}

// Outgoing returns the notices to add to the next probe.
func (nots *Notices) Outgoing(now time.Time) []*messenger.EndpointNotice {
	nots.mu.Lock()
	defer nots.mu.Unlock()
	nots.expire(now)
	ids := make([]string, 0, len(nots.pending))
	for id := range nots.pending {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(one, two string) int { return nots.pending[two] - nots.pending[one] })
	var out []*messenger.EndpointNotice
	for _, id := range ids[:min(len(ids), maxNotices)] {
		out = append(out, nots.known[id].message(now))
		if nots.pending[id]--; nots.pending[id] <= 0 {
			delete(nots.pending, id)
		}
	}
	return out
}

func (nots *Notices) expire(now time.Time) {
	for id, not := range nots.known {
		if now.Sub(not.At) >= noticeLife {
			delete(nots.known, id)
			delete(nots.pending, id)
		}
	}
}

func (not Notice) message(now time.Time) *messenger.EndpointNotice {
	return &messenger.EndpointNotice{
		Endpoint: not.Endpoint, Incarnation: not.Incarnation, Leaving: not.Leaving,
		AgeMs: max(0, now.Sub(not.At).Milliseconds()),
	}
}

// notice takes what an endpoint said of itself.
func (wat *Watcher) notice(not Notice, now time.Time) {
	if news := wat.Notices.Observe(not, now); len(news) > 0 && wat.OnNotices != nil {
		wat.OnNotices(news)
	}
}

// RecordLoad takes a load report that another part of the host has read.
func (wat *Watcher) RecordLoad(loa invoker.Load, now time.Time) {
	wat.notice(Notice{Endpoint: loa.Engine, Incarnation: loa.Incarnation, Leaving: loa.Leaving, At: now}, now)
}

// RefreshList takes the list at once.
func (wat *Watcher) RefreshList(ctx context.Context) { wat.list(ctx, time.Now()) }
