package gossiper

import (
	"math"
	"testing"
	"time"

	"hemlockpin/connection/messenger"

	"github.com/stretchr/testify/require"
)

// TestOddAges guards against a peer's age that puts a confirmation into the future: the host
// would then take its state as the store's newest for as long, and not read the store.
func TestOddAges(t *testing.T) {
	for _, age := range []int64{-1, -1_000_000, math.MinInt64, math.MaxInt64, math.MaxInt64 / 1_000_000, 1 << 62} {
		gos, _ := startPeer(t, "a", 7, nil)
		var endpointsAt time.Time
		gos.Payload.ObserveEndpoints = func(_ string, _ uint64, at time.Time) { endpointsAt = at }
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
