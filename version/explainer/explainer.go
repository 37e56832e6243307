// Package explainer reports for every route of the tables why a request is or is
// not served by it.
package explainer

import (
	"fmt"

	"hemlockpin/version/matcher"
	"hemlockpin/version/parser"
)

// Candidate is a route and either the mark that it is chosen or the reasons why it
// is not.
type Candidate struct {
	Route  string
	Pool   string
	Chosen bool
	// Reasons is empty for the chosen route.
	Reasons []string `json:",omitempty"`
}

// Explanation is the result of matching a request with one revision of the tables.
type Explanation struct {
	Revision uint64
	// Route and Pool are nil if no route matches the request.
	Route      *parser.Route `json:",omitempty"`
	Pool       *parser.Pool  `json:",omitempty"`
	Candidates []Candidate
}

// Explain returns the route that the matcher chooses for the query, and for every
// other route the reasons against it.
func Explain(mat *matcher.Matcher, que matcher.Query) Explanation {
	tab := mat.Tables()
	exp := Explanation{Revision: tab.Revision, Candidates: []Candidate{}}
	chosen, poo, ok := mat.Route(que)
	if ok {
		exp.Route = &chosen
		exp.Pool = &poo
	}
	for _, rou := range tab.Routes {
		can := Candidate{Route: rou.Name, Pool: rou.Pool, Chosen: ok && rou.Name == chosen.Name}
		if !can.Chosen {
			poo, _ := mat.Pool(rou.Pool)
			can.Reasons = reasons(rou, poo, que, chosen.Name)
		}
		exp.Candidates = append(exp.Candidates, can)
	}
	return exp
}

// reasons lists why rou does not serve the query. If rou differs from the query in
// none of the compared properties, the reason is that the chosen route is nested in
// rou. Match.Host is not compared.
func reasons(rou parser.Route, poo parser.Pool, que matcher.Query, chosen string) []string {
	var out []string
	mat := rou.Match
	if poo.Kind != que.Kind {
		out = append(out, fmt.Sprintf("its pool holds endpoints of kind %s, the request needs %s", poo.Kind, que.Kind))
	}
	if mat.Model != "" && mat.Model != que.Model {
		out = append(out, fmt.Sprintf("it takes model %q only", mat.Model))
	}
	if mat.Team != "" && mat.Team != que.Team {
		out = append(out, fmt.Sprintf("it takes team %q only", mat.Team))
	}
	pathMatch := parser.Match{PathPrefix: mat.PathPrefix}
	if !pathMatch.Matches(que.Model, que.Team, que.Host, que.Path, que.PromptTokens) {
		out = append(out, fmt.Sprintf("it takes paths under %s only", mat.PathPrefix))
	}
	if que.PromptTokens < mat.MinPromptTokens {
		out = append(out, fmt.Sprintf("it takes prompts of at least %d tokens", mat.MinPromptTokens))
	}
	if mat.MaxPromptTokens > 0 && que.PromptTokens > mat.MaxPromptTokens {
		out = append(out, fmt.Sprintf("it takes prompts of at most %d tokens", mat.MaxPromptTokens))
	}
	if len(out) == 0 {
		out = append(out, fmt.Sprintf("route %q lies within it and goes first", chosen))
	}
	return out
}
