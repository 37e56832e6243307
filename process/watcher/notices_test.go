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
		for _, lea := range []bool{false, true} {
			for _, sec := range []time.Duration{0, 5, 30} {
				out = append(out, Notice{"engine", inc, lea, noticeEpoch.Add(sec * time.Second)})
			}
		}
	}
	return out
}

// What holds does not depend on the order or number of notices.
func TestNoticeMergeIsMonotone(t *testing.T) {
	for _, one := range noticeVariants() {
		require.Equal(t, one, one.Merge(one))
		for _, two := range noticeVariants() {
			both := one.Merge(two)
			require.Equal(t, both, two.Merge(one))
			require.Equal(t, both, both.Merge(one))
			require.GreaterOrEqual(t, both.Incarnation, max(one.Incarnation, two.Incarnation))
			for _, three := range noticeVariants() {
				require.Equal(t, both.Merge(three), one.Merge(two.Merge(three)))
			}
		}
	}
}

func TestNotices(t *testing.T) {
	now := noticeEpoch
	one, two := &Notices{}, &Notices{}
	leaving := Notice{Endpoint: "engine", Incarnation: 1, Leaving: true, At: now}

	require.Empty(t, one.Observe(Notice{Endpoint: "engine", Incarnation: 1, At: now}, now), "an endpoint that stays is no news")
	news := one.Observe(leaving, now)
	require.Len(t, news, 1)
	require.Empty(t, one.Observe(leaving, now), "a repetition is no news")
	require.Len(t, two.Merge(news, now), 1)
	require.Empty(t, two.Merge(news, now))
	require.True(t, two.Leaving("engine", now))

	for range noticeTransmits {
		require.Len(t, two.Outgoing(now), 1)
	}
	require.Empty(t, two.Outgoing(now), "a notice is passed on a bounded number of times")

	old := []*messenger.EndpointNotice{{Endpoint: "engine", Incarnation: 1}}
	require.Empty(t, two.Merge(old, now), "leaving is not taken back by the same process")
	require.True(t, two.Leaving("engine", now))

	restarted := Notice{Endpoint: "engine", Incarnation: 2, At: now}
	require.Len(t, two.Observe(restarted, now), 1)
	require.False(t, two.Leaving("engine", now))
	require.Empty(t, two.Merge(news, now), "a notice of the earlier process changes nothing")
	require.False(t, two.Leaving("engine", now))

	require.False(t, one.Leaving("engine", now.Add(noticeLife)), "a notice ends unless it is observed again")
	later := now.Add(noticeRefresh)
	require.Len(t, one.Observe(Notice{Endpoint: "engine", Incarnation: 1, Leaving: true, At: later}, later), 1)
	require.True(t, one.Leaving("engine", now.Add(noticeLife)))
	require.Empty(t, one.Merge([]*messenger.EndpointNotice{{Endpoint: "late", Leaving: true, AgeMs: noticeLife.Milliseconds()}}, now))
}

// A host that reads no report of an engine leaves it out because another did.
func TestNoticeOfAnotherHost(t *testing.T) {
	poo := parser.Pool{Kind: parser.PoolEngine, Selector: parser.Selector{Service: "s"}}
	ents := []persister.Entry{{ID: "engine", Kind: persister.KindEngine, Service: "s", Address: "10.0.0.1:1"}}
	one, two := &Watcher{entries: ents}, &Watcher{entries: ents}
	one.OnNotices = func(nots []*messenger.EndpointNotice) { two.Notices.Merge(nots, time.Now()) }
	require.False(t, two.Pool(poo).Endpoints[0].Leaving)
	version := two.Version()
	one.RecordLoad(invoker.Load{Engine: "engine", Incarnation: 1, Leaving: true}, time.Now())
	require.Greater(t, two.Version(), version, "copies of the view are renewed")
	require.True(t, two.Pool(poo).Endpoints[0].Leaving)
	one.RecordLoad(invoker.Load{Engine: "engine", Incarnation: 2}, time.Now())
	require.False(t, two.Pool(poo).Endpoints[0].Leaving)
}
