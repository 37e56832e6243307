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

// Notice reports whether an endpoint is leaving, as observed by a host. Hosts send
// notices to each other.
type Notice struct {
	Endpoint string
	// Incarnation identifies the process of the endpoint; 0 if the endpoint reports none.
	Incarnation uint64
	Leaving     bool
	// At is when a host last observed the state.
	At time.Time
}

// Merge returns the notice that is valid once both notices of an endpoint have been
// received. The result does not depend on the order of notices: of two processes the
// newer one counts, and of the same process the leaving state, since a leaving process
// never returns.
func (ntc Notice) Merge(other Notice) Notice {
	switch {
	case other.Incarnation > ntc.Incarnation:
		return other
	case other.Incarnation < ntc.Incarnation:
		return ntc
	case other.Leaving != ntc.Leaving && other.Leaving:
		return other
	case other.Leaving == ntc.Leaving && other.At.After(ntc.At):
		return other
	default:
		return ntc
	}
}

// worthSending reports whether the notice differs enough from old, which a host has held
// so far, to be sent to other hosts.
func (ntc Notice) worthSending(old Notice) bool {
	return ntc.Incarnation != old.Incarnation || ntc.Leaving != old.Leaving || ntc.At.Sub(old.At) >= noticeRefreshAge
}

// Notices holds the newest notice of each endpoint that one host has received or
// observed. Expired notices are ignored. Its zero value is ready to use.
type Notices struct {
	mu    sync.Mutex
	known map[string]Notice
	// transmitsLeft holds the number of probes that have yet to carry the notice of
	// each endpoint.
	transmitsLeft map[string]int
	changes       uint64
}

// changeCount returns the number of merged notices that changed the view.
func (nots *Notices) changeCount() uint64 {
	nots.mu.Lock()
	defer nots.mu.Unlock()
	return nots.changes
}

// Leaving reports whether an endpoint is known to be leaving.
func (nots *Notices) Leaving(endpoint string, now time.Time) bool {
	nots.mu.Lock()
	defer nots.mu.Unlock()
	ntc, ok := nots.known[endpoint]
	return ok && ntc.Leaving && now.Sub(ntc.At) < noticeLifetime
}

// Observe merges the state that an endpoint reports of itself. It returns a list with
// this notice to broadcast, or nil if other hosts need not receive it.
func (nots *Notices) Observe(ntc Notice, now time.Time) []*messenger.EndpointNotice {
	nots.mu.Lock()
	defer nots.mu.Unlock()
	if _, ok := nots.known[ntc.Endpoint]; !ok && !ntc.Leaving {
		return nil
	}
	if !nots.merge(ntc, now) {
		return nil
	}
	return []*messenger.EndpointNotice{ntc.message(now)}
}

// Merge merges the notices of a peer and returns those to send to other hosts.
func (nots *Notices) Merge(mess []*messenger.EndpointNotice, now time.Time) []*messenger.EndpointNotice {
	nots.mu.Lock()
	defer nots.mu.Unlock()
	var changed []*messenger.EndpointNotice
	for _, mes := range mess {
		ntc := Notice{
			Endpoint: mes.GetEndpoint(), Incarnation: mes.GetIncarnation(), Leaving: mes.GetLeaving(),
			At: now.Add(-messenger.Age(mes.GetAgeMs())),
		}
		if nots.merge(ntc, now) {
			changed = append(changed, ntc.message(now))
		}
	}
	return changed
}

// merge merges one notice and reports whether it has to be sent to other hosts.
func (nots *Notices) merge(ntc Notice, now time.Time) bool {
	if ntc.Endpoint == "" || now.Sub(ntc.At) >= noticeLifetime {
		return false
	}
	if nots.known == nil {
		nots.known = map[string]Notice{}
		nots.transmitsLeft = map[string]int{}
	}
	old, ok := nots.known[ntc.Endpoint]
	if ok && now.Sub(old.At) < noticeLifetime {
		ntc = old.Merge(ntc)
	}
	if ok && ntc == old {
		return false
	}
	changed := !ok || ntc.worthSending(old)
	if !changed {
		// A repeated observation that is not sent is not stored either. Otherwise the
		// time of the stored notice would advance with each observation, and the
		// difference would never reach noticeRefreshAge.
		return false
	}
	nots.known[ntc.Endpoint] = ntc
	nots.transmitsLeft[ntc.Endpoint] = maxNoticeTransmits
	nots.changes++
	return true
}

// Outgoing returns the notices to add to the next probe.
func (nots *Notices) Outgoing(now time.Time) []*messenger.EndpointNotice {
	nots.mu.Lock()
	defer nots.mu.Unlock()
	nots.expire(now)
	ids := make([]string, 0, len(nots.transmitsLeft))
	for id := range nots.transmitsLeft {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b string) int { return nots.transmitsLeft[b] - nots.transmitsLeft[a] })
	var out []*messenger.EndpointNotice
	for _, id := range ids[:min(len(ids), maxProbeNotices)] {
		out = append(out, nots.known[id].message(now))
		if nots.transmitsLeft[id]--; nots.transmitsLeft[id] <= 0 {
			delete(nots.transmitsLeft, id)
		}
	}
	return out
}

func (nots *Notices) expire(now time.Time) {
	for id, ntc := range nots.known {
		if now.Sub(ntc.At) >= noticeLifetime {
			delete(nots.known, id)
			delete(nots.transmitsLeft, id)
		}
	}
}

func (ntc Notice) message(now time.Time) *messenger.EndpointNotice {
	return &messenger.EndpointNotice{
		Endpoint: ntc.Endpoint, Incarnation: ntc.Incarnation, Leaving: ntc.Leaving,
		AgeMs: max(0, now.Sub(ntc.At).Milliseconds()),
	}
}

// observeNotice merges the state that an endpoint reported of itself, and passes it to
// OnNotices if other hosts need it.
func (wat *Watcher) observeNotice(ntc Notice, now time.Time) {
	if changed := wat.Notices.Observe(ntc, now); len(changed) > 0 && wat.OnNotices != nil {
		wat.OnNotices(changed)
	}
}

// RecordLeaving records whether an engine is leaving, from a load report that another
// part of the host has read. The rest of the report is not recorded.
func (wat *Watcher) RecordLeaving(loa invoker.Load, now time.Time) {
	wat.observeNotice(Notice{Endpoint: loa.Engine, Incarnation: loa.Incarnation, Leaving: loa.Leaving, At: now}, now)
}

// RefreshList reads the platform's list at once.
func (wat *Watcher) RefreshList(ctx context.Context) { wat.readList(ctx, time.Now()) }
