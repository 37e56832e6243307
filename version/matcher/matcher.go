// Package matcher finds the route, pool and team of a request in one revision of
// the tables.
package matcher

import (
	"strings"

	"hemlockpin/version/parser"
)

// Matcher is an index of one revision of the tables. It is immutable; its zero
// value matches nothing.
type Matcher struct {
	tab    parser.Tables
	pools  map[string]parser.Pool
	teams  map[string]parser.Team
	routes map[routeKey][]*parser.Route
}

// routeKey is the key of the index: the kind of a route's pool and the model, team
// and host that the route requires. Empty fields mean any.
type routeKey struct {
	kind              parser.PoolKind
	model, team, host string
}

// Query describes a request to match. Model is empty for calls to plain services.
type Query struct {
	// Kind is the kind of pool that can serve the request.
	Kind  parser.PoolKind
	Model string
	Team  string
	// Host is the host name to which a forwarded call is addressed, in lower case.
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
		routes: map[routeKey][]*parser.Route{},
	}
	for _, poo := range tab.Pools {
		mat.pools[poo.Name] = poo
	}
	for _, tea := range tab.Teams {
		for _, digest := range tea.KeyDigests {
			mat.teams[digest] = tea
		}
	}
	for i := range tab.Routes {
		rou := &tab.Routes[i]
		key := routeKey{mat.kindOf(rou), rou.Match.Model, rou.Match.Team, strings.ToLower(rou.Match.Host)}
		mat.routes[key] = append(mat.routes[key], rou)
	}
	return mat
}

// kindOf returns the kind of a route's pool or, for a split route, of the first pool
// of the split.
func (mat *Matcher) kindOf(rou *parser.Route) parser.PoolKind {
	name := rou.Pool
	if name == "" && len(rou.Split) > 0 {
		name = rou.Split[0].Pool
	}
	return mat.pools[name].Kind
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

// Route finds the innermost route that matches the query, which is the one that all
// other matching routes contain, and its pool. The pool of a split route is empty.
// Routes that require a host are found only if they require no model and no team.
func (mat *Matcher) Route(que Query) (parser.Route, parser.Pool, bool) {
	keys := [...]routeKey{
		{que.Kind, que.Model, que.Team, ""},
		{que.Kind, que.Model, "", ""},
		{que.Kind, "", que.Team, ""},
		{que.Kind, "", "", ""},
	}
	var best *parser.Route
	for i, key := range keys {
		// Without a team or a model, this key equals an earlier one.
		if (i%2 == 1 && que.Team == "") || (i >= 2 && que.Model == "") {
			continue
		}
		best = innermost(best, mat.routes[key], que)
	}
	if que.Host != "" {
		best = innermost(best, mat.routes[routeKey{kind: que.Kind, host: que.Host}], que)
	}
	if best == nil {
		return parser.Route{}, parser.Pool{}, false
	}
	return *best, mat.pools[best.Pool], true
}

// innermost returns the innermost of best, which may be nil, and those of rous that
// match the query.
func innermost(best *parser.Route, rous []*parser.Route, que Query) *parser.Route {
	for _, rou := range rous {
		if !rou.Match.Matches(que.Model, que.Team, que.Host, que.Path, que.PromptTokens) {
			continue
		}
		if best == nil || best.Match.Contains(rou.Match) {
			best = rou
		}
	}
	return best
}

// Models lists the models of the routes that match any team or the given team,
// without duplicates and in the order of the routes.
func (mat *Matcher) Models(team string) []string {
	var models []string
	// Routes without a model are left out.
	listed := map[string]bool{"": true}
	for _, rou := range mat.tab.Routes {
		model := rou.Match.Model
		if listed[model] || (rou.Match.Team != "" && rou.Match.Team != team) {
			continue
		}
		listed[model] = true
		models = append(models, model)
	}
	return models
}
