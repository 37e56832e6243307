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

// noticeVariants are notices of one endpoint that differ in each field.
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

func TestNotices(t *testing.T) {
	now := noticeEpoch
	first, second := &Notices{}, &Notices{}
	leaving := Notice{Endpoint: "engine", Incarnation: 1, Leaving: true, At: now}

	require.Empty(t, first.Observe(Notice{Endpoint: "engine", Incarnation: 1, At: now}, now), "an endpoint that is not leaving needs no notice")
	changed := first.Observe(leaving, now)
	require.Len(t, changed, 1)
	require.Empty(t, first.Observe(leaving, now), "a repeated notice is not sent again")
	require.Len(t, second.Merge(changed, now), 1)
	require.Empty(t, second.Merge(changed, now))
	require.True(t, second.Leaving("engine", now))

	for range maxNoticeTransmits {
		require.Len(t, second.Outgoing(now), 1)
	}
	require.Empty(t, second.Outgoing(now), "a notice is sent a bounded number of times")

	old := []*messenger.EndpointNotice{{Endpoint: "engine", Incarnation: 1}}
	require.Empty(t, second.Merge(old, now), "a notice that is not leaving does not end the leaving state of the same process")
	require.True(t, second.Leaving("engine", now))

	restarted := Notice{Endpoint: "engine", Incarnation: 2, At: now}
	require.Len(t, second.Observe(restarted, now), 1)
	require.False(t, second.Leaving("engine", now))
	require.Empty(t, second.Merge(changed, now), "a notice of the earlier process changes nothing")
	require.False(t, second.Leaving("engine", now))

	require.False(t, first.Leaving("engine", now.Add(noticeLifetime)), "a notice expires unless its state is observed again")
	later := now.Add(noticeRefreshAge)
	require.Len(t, first.Observe(Notice{Endpoint: "engine", Incarnation: 1, Leaving: true, At: later}, later), 1)
	require.True(t, first.Leaving("engine", now.Add(noticeLifetime)))
	require.Empty(t, first.Merge([]*messenger.EndpointNotice{{Endpoint: "late", Leaving: true, AgeMs: noticeLifetime.Milliseconds()}}, now))
}

// TestNoticeOfAnotherHost checks that a host that reads no load report of an engine sees
// it as leaving from the notice of another host.
func TestNoticeOfAnotherHost(t *testing.T) {
	poo := parser.Pool{Kind: parser.PoolEngine, Selector: parser.Selector{Service: "s"}}
	ents := []persister.Entry{{ID: "engine", Kind: persister.KindEngine, Service: "s", Address: "10.0.0.1:1"}}
	first, second := &Watcher{entries: ents}, &Watcher{entries: ents}
	first.OnNotices = func(nots []*messenger.EndpointNotice) { second.Notices.Merge(nots, time.Now()) }
	require.False(t, second.Pool(poo).Endpoints[0].Leaving)
	version := second.Version()
	first.RecordLeaving(invoker.Load{Engine: "engine", Incarnation: 1, Leaving: true}, time.Now())
	require.Greater(t, second.Version(), version, "the view's version increases, so that copies are refreshed")
	require.True(t, second.Pool(poo).Endpoints[0].Leaving)
	first.RecordLeaving(invoker.Load{Engine: "engine", Incarnation: 2}, time.Now())
	require.False(t, second.Pool(poo).Endpoints[0].Leaving)
}
