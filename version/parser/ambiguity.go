package parser

import (
	"fmt"
	"slices"
	"strings"
)

// bucket is the key of an index of routes that can overlap. Each route is in four
// buckets: with its model and team, and with wildcard in place of either or both. A
// bucket with a wildcard holds the routes of every model or team.
type bucket struct {
	kind              PoolKind
	path, model, team string
}

// wildcard stands for every model or team in a bucket. An empty text stands for the
// routes that require none. Names contain no NUL byte.
const wildcard = "\x00"

// pair holds the positions of two ambiguous routes in the table; later is the greater.
type pair struct{ later, earlier int }

// ambiguityFaults returns a fault for each ambiguous pair of routes to pools of the
// same kind. Two routes overlap only if the path prefix of one contains that of the
// other. Therefore each route is compared only with the routes in the
// buckets of its own path prefix and of the shorter prefixes that contain it.
func ambiguityFaults(rous []Route, kinds map[string]PoolKind) []string {
	bucs := map[bucket][]int{}
	for i, rou := range rous {
		for _, buc := range bucketsOf(rou, kinds[rou.Pool]) {
			bucs[buc] = append(bucs[buc], i)
		}
	}
	found := map[pair]bool{}
	for i, rou := range rous {
		for _, buc := range candidates(rou, kinds[rou.Pool]) {
			for _, other := range bucs[buc] {
				if other != i && rou.Match.Ambiguous(rous[other].Match) {
					found[pair{max(i, other), min(i, other)}] = true
				}
			}
		}
	}
	return formatAmbiguities(rous, found)
}

func formatAmbiguities(rous []Route, found map[pair]bool) []string {
	pais := make([]pair, 0, len(found))
	for pai := range found {
		pais = append(pais, pai)
	}
	slices.SortFunc(pais, func(a, b pair) int {
		if a.later != b.later {
			return a.later - b.later
		}
		return a.earlier - b.earlier
	})
	var faults []string
	for _, pai := range pais {
		faults = append(faults, fmt.Sprintf("route %q: overlaps route %q and neither lies within the other", rous[pai.later].Name, rous[pai.earlier].Name))
	}
	return faults
}

// bucketsOf returns the buckets that hold a route.
func bucketsOf(rou Route, kin PoolKind) []bucket {
	mat := rou.Match
	path := trimPath(mat.PathPrefix)
	return []bucket{
		{kin, path, mat.Model, mat.Team},
		{kin, path, wildcard, mat.Team},
		{kin, path, mat.Model, wildcard},
		{kin, path, wildcard, wildcard},
	}
}

// candidates returns the buckets that together hold every route that can overlap
// rou and whose path prefix is the same as that of rou or contains it.
func candidates(rou Route, kin PoolKind) []bucket {
	var out []bucket
	for _, path := range ancestors(rou.Match.PathPrefix) {
		for _, model := range compatibleKeys(rou.Match.Model) {
			for _, team := range compatibleKeys(rou.Match.Team) {
				out = append(out, bucket{kin, path, model, team})
			}
		}
	}
	return out
}

// compatibleKeys returns the model or team keys of the buckets to search for routes
// that can overlap a route with the given model or team. A route without a model or
// team can overlap the routes of every model or team.
func compatibleKeys(text string) []string {
	if text == "" {
		return []string{wildcard}
	}
	return []string{text, ""}
}

// trimPath removes a trailing slash, because /a/ and /a match the same paths below /a.
// Only /a matches /a itself.
func trimPath(path string) string { return strings.TrimSuffix(path, "/") }

// ancestors returns a path prefix and all shorter prefixes that contain it.
func ancestors(path string) []string {
	trimmed := trimPath(path)
	out := []string{trimmed}
	for trimmed != "" {
		trimmed = trimmed[:strings.LastIndexByte(trimmed, '/')+1]
		trimmed = trimPath(trimmed)
		out = append(out, trimmed)
	}
	return out
}
