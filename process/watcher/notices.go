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
	// noticeLifetime is how long a notice is valid after the state was last observed.
	noticeLifetime = time.Minute
	// noticeRefreshAge is the age of a notice from which a repeated observation is sent
	// to other hosts again.
	noticeRefreshAge = 20 * time.Second
	// maxNoticeTransmits bounds how often a host adds the same notice to its probes.
	maxNoticeTransmits = 12
	// maxProbeNotices bounds the notices in one probe.
	maxProbeNotices = 16
)

// Notice is an observed state of an endpoint that hosts send each other.
type Notice struct {
	Endpoint string
	// Incarnation identifies the process of the endpoint; 0 if the endpoint reports none.
	Incarnation uint64
	Leaving     bool
	// At is when a host last observed the state.
	At time.Time
}

// Merge returns the notice that is valid after another one of the same endpoint. The
// result does not depend on the order of notices: of two processes the newer one counts,
// and of the same process the leaving state, since a leaving process never returns.
func (not Notice) Merge(other Notice) Notice {
	switch {
	case other.Incarnation > not.Incarnation:
		return other
	case other.Incarnation < not.Incarnation:
		return not
	case other.Leaving != not.Leaving && other.Leaving:
		return other
	case other.Leaving == not.Leaving && other.At.After(not.At):
		return other
	default:
		return not
	}
}

// worthSending reports whether a host that held the notice old should send this one to
// other hosts.
func (not Notice) worthSending(old Notice) bool {
	return not.Incarnation != old.Incarnation || not.Leaving != old.Leaving || not.At.Sub(old.At) >= noticeRefreshAge
}

// Notices holds the valid notices of one host. Its zero value is ready to use.
type Notices struct {
	mu      sync.Mutex
	known   map[string]Notice
	pending map[string]int
	version uint64
}

// changeCount returns the number of merged notices that changed the view.
func (nots *Notices) changeCount() uint64 {
	nots.mu.Lock()
	defer nots.mu.Unlock()
	return nots.version
}

// Leaving reports whether an endpoint is known to be leaving.
func (nots *Notices) Leaving(endpoint string, now time.Time) bool {
	nots.mu.Lock()
	defer nots.mu.Unlock()
	not, ok := nots.known[endpoint]
	return ok && not.Leaving && now.Sub(not.At) < noticeLifetime
}

// Observe merges the state that an endpoint reports of itself. It returns the notice to
// broadcast, or nil if other hosts need not receive it.
func (nots *Notices) Observe(not Notice, now time.Time) []*messenger.EndpointNotice {
	nots.mu.Lock()
	defer nots.mu.Unlock()
	if _, ok := nots.known[not.Endpoint]; !ok && !not.Leaving {
		return nil
	}
	if !nots.merge(not, now) {
		return nil
	}
	return []*messenger.EndpointNotice{not.message(now)}
}

// Merge merges the notices of a peer and returns those to send to other hosts.
func (nots *Notices) Merge(mess []*messenger.EndpointNotice, now time.Time) []*messenger.EndpointNotice {
	nots.mu.Lock()
	defer nots.mu.Unlock()
	var changed []*messenger.EndpointNotice
	for _, mes := range mess {
		not := Notice{
			Endpoint: mes.GetEndpoint(), Incarnation: mes.GetIncarnation(), Leaving: mes.GetLeaving(),
			At: now.Add(-time.Duration(max(0, mes.GetAgeMs())) * time.Millisecond),
		}
		if nots.merge(not, now) {
			changed = append(changed, not.message(now))
		}
	}
	return changed
}

// merge merges one notice and reports whether it has to be sent to other hosts.
func (nots *Notices) merge(not Notice, now time.Time) bool {
	if not.Endpoint == "" || now.Sub(not.At) >= noticeLifetime {
		return false
	}
	if nots.known == nil {
		nots.known = map[string]Notice{}
		nots.pending = map[string]int{}
	}
	old, ok := nots.known[not.Endpoint]
	if ok && now.Sub(old.At) < noticeLifetime {
		not = old.Merge(not)
	}
	if ok && not == old {
		return false
	}
	changed := !ok || not.worthSending(old)
	if !changed {
		// A repeated observation that is not sent is not stored either: with its newer
		// time, later ones would never reach noticeRefreshAge.
		return false
	}
	nots.known[not.Endpoint] = not
	nots.pending[not.Endpoint] = maxNoticeTransmits
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
	slices.SortFunc(ids, func(a, b string) int { return nots.pending[b] - nots.pending[a] })
	var out []*messenger.EndpointNotice
	for _, id := range ids[:min(len(ids), maxProbeNotices)] {
		out = append(out, nots.known[id].message(now))
		if nots.pending[id]--; nots.pending[id] <= 0 {
			delete(nots.pending, id)
		}
	}
	return out
}

func (nots *Notices) expire(now time.Time) {
	for id, not := range nots.known {
		if now.Sub(not.At) >= noticeLifetime {
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

// recordNotice records the state that an endpoint reported of itself.
func (wat *Watcher) recordNotice(not Notice, now time.Time) {
	if changed := wat.Notices.Observe(not, now); len(changed) > 0 && wat.OnNotices != nil {
		wat.OnNotices(changed)
	}
}

// RecordLeaving records whether an engine is leaving, from a load report that another part
// of the host has read.
func (wat *Watcher) RecordLeaving(loa invoker.Load, now time.Time) {
	wat.recordNotice(Notice{Endpoint: loa.Engine, Incarnation: loa.Incarnation, Leaving: loa.Leaving, At: now}, now)
}

// RefreshList reads the platform's list at once.
func (wat *Watcher) RefreshList(ctx context.Context) { wat.readList(ctx, time.Now()) }
