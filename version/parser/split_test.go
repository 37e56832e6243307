package parser_test

import (
	"math/rand/v2"
	"testing"

	"hemlockpin/version/parser"

	"github.com/stretchr/testify/require"
)

// TestSplitShares guards against shares of a split that get another part of the calls than their
// weights say, also for weights that have fractions, are very small, very large or 0.
func TestSplitShares(t *testing.T) {
	const calls = 200_000
	tests := map[string][]float64{
		"whole":           {90, 10},
		"half a per cent": {99.5, 0.5},
		"below 1":         {0.25, 0.5},
		"very small":      {1e-9, 3e-9},
		"very large":      {parser.MaxWeight, parser.MaxWeight / 3},
		"0 at the ends":   {0, 2, 1, 0},
	}
	for name, weights := range tests {
		t.Run(name, func(t *testing.T) {
			pools := []string{"a", "b", "c", "d"}
			var rou parser.Route
			sum := 0.0
			for i, weight := range weights {
				rou.Split = append(rou.Split, parser.Share{Pool: pools[i], Weight: weight})
				sum += weight
			}
			ran := rand.New(rand.NewPCG(1, 2))
			counts := map[string]int{}
			for range calls {
				counts[rou.PoolFor(ran.Uint64())]++
			}
			for i, weight := range weights {
				require.InDelta(t, weight/sum, float64(counts[pools[i]])/calls, 0.005)
				require.Equal(t, weight == 0, counts[pools[i]] == 0, "a share of 0 gets no calls")
			}
		})
	}
	require.Equal(t, "p", parser.Route{Pool: "p", Split: []parser.Share{{Pool: "a"}}}.PoolFor(7))
}
