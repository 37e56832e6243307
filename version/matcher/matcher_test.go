package matcher_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"hemlockpin/version/matcher"
	"hemlockpin/version/parser"

	"github.com/stretchr/testify/require"
)

var pools = []parser.Pool{
	{Name: "engines", Kind: parser.PoolEngine, Selector: parser.Selector{Service: "e"}},
	{Name: "services", Kind: parser.PoolService, Selector: parser.Selector{Service: "s"}},
}

func pick(ran *rand.Rand, choices ...string) string { return choices[ran.IntN(len(choices))] }

// randomTables returns valid tables: a random route is left out if it overlaps an
// earlier one without one containing the other.
func randomTables(ran *rand.Rand) parser.Tables {
	tab := parser.Tables{Pools: pools}.Defaults()
	for i := range 30 {
		rou := parser.Route{Name: fmt.Sprintf("r%d", i), Match: parser.Match{
			Team: pick(ran, "", "t", "u"), PathPrefix: pick(ran, "", "/a", "/a/b", "/c"),
		}, Pool: "services"}
		if ran.IntN(2) == 0 {
			rou.Pool = "engines"
			rou.Match.Model = pick(ran, "", "m", "n")
			rou.Match.MinPromptTokens = int64(ran.IntN(3) * 10)
			rou.Match.MaxPromptTokens = rou.Match.MinPromptTokens + int64(ran.IntN(3)*10)
		}
		next := tab
		next.Routes = append(append([]parser.Route{}, tab.Routes...), rou.Defaults())
		if next.Validate() == nil {
			tab = next
		}
	}
	return tab
}

// TestRouteAgreesWithLinearSearch checks that the index finds the same route as a
// search through all routes, so that Route looks up every key it needs.
func TestRouteAgreesWithLinearSearch(t *testing.T) {
	ran := rand.New(rand.NewPCG(1, 2))
	for range 300 {
		tab := randomTables(ran)
		mat := matcher.New(tab)
		for range 50 {
			que := matcher.Query{
				Kind: parser.PoolEngine, Model: pick(ran, "m", "n", "o"), Team: pick(ran, "t", "u", "v"),
				Path: pick(ran, "/", "/a", "/a/b/c", "/c"), PromptTokens: int64(ran.IntN(40)),
			}
			if ran.IntN(2) == 0 {
				que.Kind = parser.PoolService
				que.Model = ""
				que.PromptTokens = 0
			}
			var want *parser.Route
			for i, rou := range tab.Routes {
				poo, _ := mat.Pool(rou.Pool)
				if poo.Kind != que.Kind || !rou.Match.Matches(que.Model, que.Team, que.Host, que.Path, que.PromptTokens) {
					continue
				}
				if want == nil || want.Match.Contains(rou.Match) {
					want = &tab.Routes[i]
				}
			}
			got, poo, ok := mat.Route(que)
			require.Equal(t, want != nil, ok)
			if ok {
				require.Equal(t, *want, got)
				require.Equal(t, got.Pool, poo.Name)
			}
		}
	}
}

func BenchmarkRoute5000Routes980Teams(b *testing.B) {
	tab := parser.Tables{Pools: pools}
	for i := range 980 {
		tab.Teams = append(tab.Teams, parser.Team{Name: fmt.Sprintf("team-%d", i), KeyDigests: []string{parser.DigestKey(fmt.Sprint(i))}})
	}
	for i := range 5000 {
		mat := parser.Match{Model: fmt.Sprintf("model-%d", i%11), Team: fmt.Sprintf("team-%d", i/11*2%980)}
		if i >= 11*490 {
			mat.Team = ""
		}
		tab.Routes = append(tab.Routes, parser.Route{Name: fmt.Sprint(i), Match: mat, Pool: "engines", TimeLimit: parser.Duration(time.Second)})
	}
	mat := matcher.New(tab.Defaults())
	que := matcher.Query{Kind: parser.PoolEngine, Model: "model-3", Team: "team-4", Path: "/v1/chat/completions", PromptTokens: 5000}
	b.ReportAllocs()
	for b.Loop() {
		if _, _, ok := mat.Route(que); !ok {
			b.Fatal("no route")
		}
	}
}

func BenchmarkTeam(b *testing.B) {
	mat := matcher.New(parser.Tables{Teams: []parser.Team{{Name: "t", KeyDigests: []string{parser.DigestKey("key")}}}})
	for b.Loop() {
		if _, ok := mat.Team("key"); !ok {
			b.Fatal("no team")
		}
	}
}
