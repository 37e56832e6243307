package budgeter

import (
	"flag"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0)

func take(bud *Budget, cou int, now time.Time) int {
	got := 0
	for range cou {
		if bud.Take(now) {
			got++
		}
	}
	return got
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

// TestBudgetBounds checks the bound on retries over any history.
func TestBudgetBounds(t *testing.T) {
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		require.NoError(t, flag.Set("rapid.seed", "20261204"))
	}
	rapid.Check(t, func(rap *rapid.T) {
		var bud Budget
		now := start
		requests, retries := 0, 0
		for range rapid.IntRange(1, 300).Draw(rap, "steps") {
			switch rapid.IntRange(0, 2).Draw(rap, "step") {
			case 0:
				bud.Earn(now)
				requests++
			case 1:
				retries += take(&bud, rapid.IntRange(1, 50).Draw(rap, "tries"), now)
			case 2:
				now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(rap, "ms")) * time.Millisecond)
			}
		}
		lim := Burst + Share*float64(requests) + FloorRate*now.Sub(start).Seconds()
		require.LessOrEqual(rap, float64(retries), lim+1e-6)
	})
}

// TestFleet has a host learn that the others have nothing left, and forget it.
func TestFleet(t *testing.T) {
	var bud Budget
	require.Equal(t, 10, take(&bud, 10, start))
	bud.SetFleet(NewFleet([]Digest{{Available: 0}, {Available: -3}}, start))
	require.Equal(t, int(MinBurst)-10, take(&bud, 1000, start))
	require.False(t, bud.TakeSpare(start))
	bud.SetFleet(NewFleet([]Digest{{Available: Burst}, {Available: 0}}, start))
	require.Equal(t, int(Burst/2-MinBurst), take(&bud, 1000, start))
	// The bucket earns FloorRate a second meanwhile.
	require.Equal(t, int(Burst/2+MaxFleetAge.Seconds()*FloorRate), take(&bud, 1000, start.Add(MaxFleetAge)))
	require.Equal(t, Fleet{}, NewFleet(nil, start))
}

// Peers keep the newest digest of a host for a time.
func TestPeers(t *testing.T) {
	var pee Peers
	require.Equal(t, Fleet{Left: 0, AsOf: start}, pee.Record("a", Digest{}, start))
	require.Equal(t, Fleet{Left: 0.5, AsOf: start}, pee.Record("b", Digest{Available: Burst}, start.Add(time.Second)))
	require.Equal(t, Fleet{Left: 1, AsOf: start.Add(time.Second)}, pee.Record("a", Digest{Available: Burst}, start.Add(2*time.Second)))
	lat := start.Add(MaxFleetAge)
	require.Equal(t, Fleet{Left: 0, AsOf: lat}, pee.Record("c", Digest{}, lat))
}
