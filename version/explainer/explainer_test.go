package explainer

import (
	"flag"
	"strings"
	"testing"

	"hemlockpin/version/matcher"
	"hemlockpin/version/parser"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// seed makes the random cases repeatable.
const seed = "20261204"

func drawMatch(t *rapid.T) parser.Match {
	mat := parser.Match{
		Model:      rapid.SampledFrom([]string{"", "m", "n"}).Draw(t, "model"),
		Team:       rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "team"),
		PathPrefix: rapid.SampledFrom([]string{"", "/p", "/p/q", "/r"}).Draw(t, "path"),
	}
	if rapid.Bool().Draw(t, "bounded") {
		mat.MinPromptTokens = rapid.Int64Range(0, 20).Draw(t, "min")
		mat.MaxPromptTokens = mat.MinPromptTokens + rapid.Int64Range(1, 20).Draw(t, "span")
	}
	return mat
}

// drawTables draws tables without ambiguous routes: a route that would be ambiguous
// is left out.
func drawTables(t *rapid.T) parser.Tables {
	tab := parser.Tables{Pools: []parser.Pool{{Name: "e", Kind: parser.PoolEngine}, {Name: "s", Kind: parser.PoolService}}}
	for _, name := range strings.Split("r0 r1 r2 r3 r4 r5", " ") {
		rou := parser.Route{Name: name, Match: drawMatch(t), Pool: rapid.SampledFrom([]string{"e", "s"}).Draw(t, "pool")}
		valid := true
		for _, other := range tab.Routes {
			valid = valid && (other.Pool != rou.Pool || !rou.Match.Ambiguous(other.Match))
		}
		if valid {
			tab.Routes = append(tab.Routes, rou)
		}
	}
	return tab
}

// TestExplain checks that explanations agree with the matcher: the chosen route
// has no reasons, every other route has at least one, and a route for
// which a nested route is chosen contains the chosen route.
func TestExplain(t *testing.T) {
	require.NoError(t, flag.Set("rapid.seed", seed))
	rapid.Check(t, func(t *rapid.T) {
		mat := matcher.New(drawTables(t))
		que := matcher.Query{
			Kind: parser.PoolEngine, Model: "m", Team: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "by"),
			Path: rapid.SampledFrom([]string{"/p", "/p/q/x", "/other"}).Draw(t, "to"), PromptTokens: rapid.Int64Range(0, 40).Draw(t, "tokens"),
		}
		if rapid.Bool().Draw(t, "service") {
			que.Kind, que.Model, que.PromptTokens = parser.PoolService, "", 0
		}
		exp := Explain(mat, que)
		want, _, ok := mat.Route(que)
		require.Equal(t, ok, exp.Route != nil)
		for i, can := range exp.Candidates {
			rou := mat.Tables().Routes[i]
			require.Equal(t, ok && rou.Name == want.Name, can.Chosen)
			require.Equal(t, can.Chosen, len(can.Reasons) == 0)
			if !can.Chosen && strings.Contains(can.Reasons[0], "lies within it") {
				require.True(t, ok && rou.Match.Contains(want.Match))
			}
		}
	})
}
