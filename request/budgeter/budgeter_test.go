package budgeter

import (
	"flag"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0)

func take(bud *Budget, n int, now time.Time) int {
	granted := 0
	for range n {
		if bud.Take(now) {
			granted++
		}
	}
	return granted
}

func TestBudget(t *testing.T) {
	var bud Budget
	require.Equal(t, int(Burst), take(&bud, 1000, start))
	for range 100 {
		bud.Earn(start)
	}
	require.Equal(t, 20, take(&bud, 1000, start))
	require.Equal(t, 5, take(&bud, 1000, start.Add(5*time.Second)))
	bud.Return()
	require.Equal(t, 1, take(&bud, 2, start.Add(5*time.Second)))
	dig := bud.Digest(start.Add(5 * time.Second))
	require.Equal(t, int64(100), dig.Requests)
	require.Equal(t, int64(153), dig.Retries)
}

// TestBudgetBounds checks that no sequence of requests, retries and pauses exceeds the
// bound on retries.
func TestBudgetBounds(t *testing.T) {
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		require.NoError(t, flag.Set("rapid.seed", "20261204"))
	}
	rapid.Check(t, func(rt *rapid.T) {
		var bud Budget
		now := start
		requests, retries := 0, 0
		for range rapid.IntRange(1, 300).Draw(rt, "steps") {
			switch rapid.IntRange(0, 2).Draw(rt, "step") {
			case 0:
				bud.Earn(now)
				requests++
			case 1:
				retries += take(&bud, rapid.IntRange(1, 50).Draw(rt, "tries"), now)
			case 2:
				now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(rt, "ms")) * time.Millisecond)
			}
		}
		limit := Burst + Share*float64(requests) + FloorRate*now.Sub(start).Seconds()
		require.LessOrEqual(rt, float64(retries), limit+1e-6)
	})
}

// TestFleet checks the burst when the other hosts have no retries left, and when the
// digests that show it are out of date.
func TestFleet(t *testing.T) {
	var bud Budget
	require.Equal(t, 10, take(&bud, 10, start))
	bud.SetFleet(NewFleet([]Digest{{Available: 0}, {Available: -3}}, start))
	require.Equal(t, int(MinBurst)-10, take(&bud, 1000, start))
	require.False(t, bud.TakeSpare(start))
	bud.SetFleet(NewFleet([]Digest{{Available: Burst}, {Available: 0}}, start))
	require.Equal(t, int(Burst/2-MinBurst), take(&bud, 1000, start))
	// The budget earns FloorRate retries a second meanwhile.
	require.Equal(t, int(Burst/2+MaxFleetAge.Seconds()*FloorRate), take(&bud, 1000, start.Add(MaxFleetAge)))
	require.Equal(t, Fleet{}, NewFleet(nil, start))
}

// TestPeers checks that the newest digest of each host is kept for a limited time.
func TestPeers(t *testing.T) {
	var pee Peers
	require.Equal(t, Fleet{Left: 0, AsOf: start}, pee.Record("a", Digest{}, start))
	require.Equal(t, Fleet{Left: 0.5, AsOf: start}, pee.Record("b", Digest{Available: Burst}, start.Add(time.Second)))
	require.Equal(t, Fleet{Left: 1, AsOf: start.Add(time.Second)}, pee.Record("a", Digest{Available: Burst}, start.Add(2*time.Second)))
	later := start.Add(MaxFleetAge)
	require.Equal(t, Fleet{Left: 0, AsOf: later}, pee.Record("c", Digest{}, later))
}
