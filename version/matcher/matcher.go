// Package matcher finds the route, pool and team of a request in one accepted
// version of the tables.
package matcher

import "hemlockpin/version/parser"

// Matcher indexes one version of the tables. It is immutable; its zero value
// matches nothing.
type Matcher struct {
	tab   parser.Tables
	pools map[string]parser.Pool
	teams map[string]parser.Team
	// byModel holds the routes of each model; the empty model holds the rest.
	byModel map[string][]parser.Route
}

// Query describes a request to match. Model is empty for calls to services.
type Query struct {
	// Kind is the kind of pool that can serve the request.
	Kind         parser.PoolKind
	Model        string
	Team         string
	Path         string
	PromptTokens int64
}

// New indexes the tables.
func New(tab parser.Tables) *Matcher {
	mat := &Matcher{
		tab:     tab,
		pools:   map[string]parser.Pool{},
		teams:   map[string]parser.Team{},
		byModel: map[string][]parser.Route{},
	}
	for _, poo := range tab.Pools {
		mat.pools[poo.Name] = poo
	}
	for _, tea := range tab.Teams {
		for _, dig := range tea.KeyDigests {
			mat.teams[dig] = tea
		}
	}
	for _, rou := range tab.Routes {
		mat.byModel[rou.Match.Model] = append(mat.byModel[rou.Match.Model], rou)
	}
	return mat
}

// Tables returns the indexed tables.
func (mat *Matcher) Tables() parser.Tables { return mat.tab }

// Revision returns the revision of the tables.
func (mat *Matcher) Revision() uint64 { return mat.tab.Revision }

// Team finds the team of a bearer key.
func (mat *Matcher) Team(key string) (parser.Team, bool) {
	tea, ok := mat.teams[parser.DigestKey(key)]
	return tea, ok
}

// Pool finds a pool by name.
func (mat *Matcher) Pool(name string) (parser.Pool, bool) {
	poo, ok := mat.pools[name]
	return poo, ok
}

// Route finds the innermost route that takes the query, with its pool.
func (mat *Matcher) Route(que Query) (parser.Route, parser.Pool, bool) {
	var bes parser.Route
	fou := false
	for _, mod := range []string{que.Model, ""} {
		for _, rou := range mat.byModel[mod] {
			if mat.pools[rou.Pool].Kind != que.Kind {
				continue
			}
			if !rou.Match.Takes(que.Model, que.Team, que.Path, que.PromptTokens) {
				continue
			}
			if !fou || bes.Match.Contains(rou.Match) {
				bes = rou
				fou = true
			}
		}
		if que.Model == "" {
			break
		}
	}
	if !fou {
		return parser.Route{}, parser.Pool{}, false
	}
	return bes, mat.pools[bes.Pool], true
}

// Models lists the models that a team's routes name, without duplicates.
func (mat *Matcher) Models(team string) []string {
	var mods []string
	see := map[string]bool{"": true}
	for _, rou := range mat.tab.Routes {
		mod := rou.Match.Model
		if see[mod] || (rou.Match.Team != "" && rou.Match.Team != team) {
			continue
		}
		see[mod] = true
		mods = append(mods, mod)
	}
	return mods
}
