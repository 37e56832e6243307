package gossiper

import (
	"math"
	"testing"
	"time"

	"hemlockpin/connection/messenger"
	"hemlockpin/process/registrar"

	"github.com/stretchr/testify/require"
)

// TestInvalidAges guards against a peer's age that puts a confirmation into the future: the host
// would then take its state as the store's newest for as long, and not read the store.
func TestInvalidAges(t *testing.T) {
	for _, age := range []int64{-1, -1_000_000, math.MinInt64, math.MaxInt64, math.MaxInt64 / 1_000_000, 1 << 62} {
		gos, _ := startPeer(t, "a", 7, nil)
		var endpointsAt time.Time
		gos.Payload.ObserveEndpoints = func(_ string, _ registrar.Revision, at time.Time) { endpointsAt = at }
		from := &messenger.Member{Id: "b", Address: "127.0.0.1:1", Incarnation: 1}
		now := time.Now()
		gos.HandlePing(t.Context(), &messenger.Ping{From: from, Target: "a", TablesRevision: 7, TablesAgeMs: age, EndpointsRevision: 3, EndpointsAgeMs: age}, now)
		require.False(t, gos.Publisher.Confirmed().After(now), age)
		require.False(t, endpointsAt.IsZero())
		require.False(t, endpointsAt.After(now), age)
		gos.handlePong(t.Context(), &messenger.Pong{From: from, TablesRevision: 7, TablesAgeMs: age, EndpointsRevision: 3, EndpointsAgeMs: age}, "127.0.0.1:1")
		require.False(t, gos.Publisher.Confirmed().After(time.Now()), age)
		require.False(t, endpointsAt.After(time.Now()), age)
	}
}

// TestInvalidIncarnations guards against a report with an incarnation or a refutation so great
// that the host can't exceed it: peers would ignore the host from then on. Other reports of
// the same message must be kept.
func TestInvalidIncarnations(t *testing.T) {
	for name, invalid := range map[string]*messenger.Member{
		"dead with the greatest incarnation":    {Id: "a", Incarnation: math.MaxUint64, State: messenger.Member_STATE_DEAD},
		"suspect with the greatest refutation":  {Id: "a", Incarnation: 1, Refutation: math.MaxUint64, State: messenger.Member_STATE_SUSPECT},
		"started with the greatest incarnation": {Id: "a", Incarnation: 2, Started: math.MaxUint64, State: messenger.Member_STATE_DEAD},
	} {
		t.Run(name, func(t *testing.T) {
			gos, _ := startPeer(t, "a", 7, nil)
			sound := &messenger.Member{Id: "c", Address: "127.0.0.1:2", Incarnation: 1}
			rep := gos.HandlePing(t.Context(), &messenger.Ping{From: &messenger.Member{Id: "b", Address: "127.0.0.1:1", Incarnation: 1}, Target: "a", Updates: []*messenger.Member{invalid, sound}}, time.Now())
			self := rep.GetPong().GetFrom()
			require.Equal(t, messenger.Member_STATE_ALIVE, self.GetState())
			require.Positive(t, self.GetIncarnation())
			require.Less(t, self.GetIncarnation(), uint64(math.MaxInt64))
			require.Less(t, self.GetRefutation(), uint64(math.MaxInt64))
			var ids []string
			for _, per := range gos.Peers() {
				ids = append(ids, per.ID)
			}
			require.Equal(t, []string{"b", "c"}, ids)
		})
	}
}

// TestInvalidCapacity guards against a peer with an absurd capacity, beside which no other host
// seems to have enough to watch the store or to plan.
func TestInvalidCapacity(t *testing.T) {
	invalid, ok := PeerOf(&messenger.Member{Id: "invalid", CapacityMilli: math.MaxUint32})
	require.True(t, ok)
	require.Len(t, WithEnoughCapacity([]Peer{invalid, {ID: "a", CapacityMilli: 800}, {ID: "b", CapacityMilli: 800}}), 2)
}
