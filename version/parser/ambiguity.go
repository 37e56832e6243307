package parser

import (
	"fmt"
	"slices"
	"strings"
)

// bucket groups routes that can overlap. anyText stands for all models or teams.
type bucket struct {
	kind              PoolKind
	path, model, team string
}

// anyText is no name of a model or team, for names hold no such byte.
const anyText = "\x00"

// pair holds the indexes of two routes, the later one first.
type pair struct{ one, two int }

// ambiguities lists the routes that overlap without nesting. Two routes overlap
// only if the path of one lies within that of the other, so each pair is found
// from the side of the longer path, among the buckets of its ancestors.
func ambiguities(rous []Route, kinds map[string]PoolKind) []string {
	bucs := map[bucket][]int{}
	for ind, rou := range rous {
		for _, buc := range bucketsOf(rou, kinds[rou.Pool]) {
			bucs[buc] = append(bucs[buc], ind)
		}
	}
	see := map[pair]bool{}
	for ind, rou := range rous {
		for _, buc := range candidates(rou, kinds[rou.Pool]) {
			for _, oth := range bucs[buc] {
				if oth != ind && rou.Match.Ambiguous(rous[oth].Match) {
					see[pair{max(ind, oth), min(ind, oth)}] = true
				}
			}
		}
	}
	return describe(rous, see)
}

func describe(rous []Route, see map[pair]bool) []string {
	pais := make([]pair, 0, len(see))
	for pai := range see {
		pais = append(pais, pai)
	}
	slices.SortFunc(pais, func(one, two pair) int {
		if one.one != two.one {
			return one.one - two.one
		}
		return one.two - two.two
	})
	var fas []string
	for _, pai := range pais {
		fas = append(fas, fmt.Sprintf("route %q: overlaps route %q and neither lies within the other", rous[pai.one].Name, rous[pai.two].Name))
	}
	return fas
}

// bucketsOf returns the buckets that hold a route.
func bucketsOf(rou Route, kin PoolKind) []bucket {
	mat := rou.Match
	pat := trimPath(mat.PathPrefix)
	return []bucket{
		{kin, pat, mat.Model, mat.Team},
		{kin, pat, anyText, mat.Team},
		{kin, pat, mat.Model, anyText},
		{kin, pat, anyText, anyText},
	}
}

// candidates returns the buckets that hold every route that can overlap rou and
// whose path is the same or shorter.
func candidates(rou Route, kin PoolKind) []bucket {
	var out []bucket
	for _, pat := range ancestors(rou.Match.PathPrefix) {
		for _, mod := range compatible(rou.Match.Model) {
			for _, tea := range compatible(rou.Match.Team) {
				out = append(out, bucket{kin, pat, mod, tea})
			}
		}
	}
	return out
}

func compatible(txt string) []string {
	if txt == "" {
		return []string{anyText}
	}
	return []string{txt, ""}
}

func trimPath(path string) string { return strings.TrimSuffix(path, "/") }

// ancestors returns a path and all shorter ones that contain it.
func ancestors(path string) []string {
	pat := trimPath(path)
	out := []string{pat}
	for pat != "" {
		pat = pat[:strings.LastIndexByte(pat, '/')+1]
		pat = trimPath(pat)
		out = append(out, pat)
	}
	return out
}
