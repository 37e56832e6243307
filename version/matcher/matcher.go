// Package matcher finds the route, pool and team of a request in one accepted
// version of the tables.
package matcher

import "hemlockpin/version/parser"

// Matcher indexes one version of the tables. It is immutable; its zero value
// matches nothing.
type Matcher struct {
	tab    parser.Tables
	pools  map[string]parser.Pool
	teams  map[string]parser.Team
	routes map[group][]*parser.Route
}

// group holds the routes of one kind that name a model, a team and a host, or
// none of them.
type group struct {
	kind              parser.PoolKind
	model, team, host string
}

// Query describes a request to match. Model is empty for calls to services.
type Query struct {
	// Kind is the kind of pool that can serve the request.
	Kind  parser.PoolKind
	Model string
	Team  string
	// Host is that of a forwarded call.
	Host         string
	Path         string
	PromptTokens int64
}

// New indexes the tables.
func New(tab parser.Tables) *Matcher {
	mat := &Matcher{
		tab:    tab,
		pools:  make(map[string]parser.Pool, len(tab.Pools)),
		teams:  make(map[string]parser.Team, len(tab.Teams)),
		routes: map[group][]*parser.Route{},
	}
	for _, poo := range tab.Pools {
		mat.pools[poo.Name] = poo
	}
	for _, tea := range tab.Teams {
		for _, dig := range tea.KeyDigests {
			mat.teams[dig] = tea
		}
	}
	for ind := range tab.Routes {
		rou := &tab.Routes[ind]
		gro := group{mat.kindOf(rou), rou.Match.Model, rou.Match.Team, rou.Match.Host}
		mat.routes[gro] = append(mat.routes[gro], rou)
	}
	return mat
}

// kindOf returns the kind of a route's pools.
func (mat *Matcher) kindOf(rou *parser.Route) parser.PoolKind {
	nam := rou.Pool
	if nam == "" && len(rou.Split) > 0 {
		nam = rou.Split[0].Pool
	}
	return mat.pools[nam].Kind
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
	gros := [...]group{
		{que.Kind, que.Model, que.Team, ""},
		{que.Kind, que.Model, "", ""},
		{que.Kind, "", que.Team, ""},
		{que.Kind, "", "", ""},
	}
	var bes *parser.Route
	for ind, gro := range gros {
		if (ind%2 == 1 && que.Team == "") || (ind >= 2 && que.Model == "") {
			continue
		}
		bes = innermost(bes, mat.routes[gro], que)
	}
	if que.Host != "" {
		bes = innermost(bes, mat.routes[group{kind: que.Kind, host: que.Host}], que)
	}
	if bes == nil {
		return parser.Route{}, parser.Pool{}, false
	}
	return *bes, mat.pools[bes.Pool], true
}

func innermost(bes *parser.Route, rous []*parser.Route, que Query) *parser.Route {
	for _, rou := range rous {
		if !rou.Match.Matches(que.Model, que.Team, que.Host, que.Path, que.PromptTokens) {
			continue
		}
		if bes == nil || bes.Match.Contains(rou.Match) {
			bes = rou
		}
	}
	return bes
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
