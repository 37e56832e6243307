package watcher

import (
	"testing"
	"time"

	"hemlockpin/connection/invoker"
	"hemlockpin/connection/messenger"
	"hemlockpin/connection/persister"
	"hemlockpin/version/parser"

	"github.com/stretchr/testify/require"
)

var noticeEpoch = time.Unix(1_700_000_000, 0)

// noticeVariants returns all combinations of three incarnations, both states and three
// times, for one endpoint.
func noticeVariants() []Notice {
	var out []Notice
	for inc := range uint64(3) {
		for _, leaving := range []bool{false, true} {
			for _, seconds := range []time.Duration{0, 5, 30} {
				out = append(out, Notice{"engine", inc, leaving, noticeEpoch.Add(seconds * time.Second)})
			}
		}
	}
	return out
}

// TestNoticeMergeOrder checks that the result of merging notices depends neither on their
// order nor on repetitions.
func TestNoticeMergeOrder(t *testing.T) {
	for _, a := range noticeVariants() {
		require.Equal(t, a, a.Merge(a))
		for _, b := range noticeVariants() {
			merged := a.Merge(b)
			require.Equal(t, merged, b.Merge(a))
			require.Equal(t, merged, merged.Merge(a))
			require.GreaterOrEqual(t, merged.Incarnation, max(a.Incarnation, b.Incarnation))
			for _, c := range noticeVariants() {
				require.Equal(t, merged.Merge(c), a.Merge(b.Merge(c)))
			}
		}
	}
}

// TestNoticesOfTwoHosts checks which notices are sent on and how often, and that an old
// notice does not override the state of a newer process.
func TestNoticesOfTwoHosts(t *testing.T) {
	now := noticeEpoch
	observer, peer := &Notices{}, &Notices{}
	leaving := Notice{Endpoint: "engine", Incarnation: 1, Leaving: true, At: now}

	require.Empty(t, observer.Observe(Notice{Endpoint: "engine", Incarnation: 1, At: now}, now), "an endpoint that is not leaving needs no notice")
	changed := observer.Observe(leaving, now)
	require.Len(t, changed, 1)
	require.Empty(t, observer.Observe(leaving, now), "a repeated notice is not sent again")
	require.Len(t, peer.Merge(changed, now), 1)
	require.Empty(t, peer.Merge(changed, now))
	require.True(t, peer.Leaving("engine", now))

	for range maxNoticeTransmits {
		require.Len(t, peer.Outgoing(now), 1)
	}
	require.Empty(t, peer.Outgoing(now), "a notice is sent a bounded number of times")

	old := []*messenger.EndpointNotice{{Endpoint: "engine", Incarnation: 1}}
	require.Empty(t, peer.Merge(old, now), "a notice that is not leaving does not end the leaving state of the same process")
	require.True(t, peer.Leaving("engine", now))

	restarted := Notice{Endpoint: "engine", Incarnation: 2, At: now}
	require.Len(t, peer.Observe(restarted, now), 1)
	require.False(t, peer.Leaving("engine", now))
	require.Empty(t, peer.Merge(changed, now), "a notice of the earlier process changes nothing")
	require.False(t, peer.Leaving("engine", now))

	require.False(t, observer.Leaving("engine", now.Add(noticeLifetime)), "a notice expires unless its state is observed again")
	later := now.Add(noticeRefreshAge)
	require.Len(t, observer.Observe(Notice{Endpoint: "engine", Incarnation: 1, Leaving: true, At: later}, later), 1)
	require.True(t, observer.Leaving("engine", now.Add(noticeLifetime)))
	require.Empty(t, observer.Merge([]*messenger.EndpointNotice{{Endpoint: "late", Leaving: true, AgeMs: noticeLifetime.Milliseconds()}}, now))
}

// TestNoticeOfAnotherHost checks that a host that reads no load report of an engine sees
// it as leaving from the notice of another host.
func TestNoticeOfAnotherHost(t *testing.T) {
	poo := parser.Pool{Kind: parser.PoolEngine, Selector: parser.Selector{Service: "s"}}
	ents := []persister.Entry{{ID: "engine", Kind: persister.KindEngine, Service: "s", Address: "10.0.0.1:1"}}
	observer, peer := &Watcher{entries: ents}, &Watcher{entries: ents}
	observer.OnNotices = func(nots []*messenger.EndpointNotice) { peer.Notices.Merge(nots, time.Now()) }
	require.False(t, peer.Pool(poo).Endpoints[0].Leaving)
	version := peer.Version()
	observer.RecordLeaving(invoker.Load{Engine: "engine", Incarnation: 1, Leaving: true}, time.Now())
	require.Greater(t, peer.Version(), version, "the view's version increases, so that copies are refreshed")
	require.True(t, peer.Pool(poo).Endpoints[0].Leaving)
	observer.RecordLeaving(invoker.Load{Engine: "engine", Incarnation: 2}, time.Now())
	require.False(t, peer.Pool(poo).Endpoints[0].Leaving)
}
