// Package explainer tells why a request takes one route of the tables and not
// another.
package explainer

import (
	"fmt"

	"hemlockpin/version/matcher"
	"hemlockpin/version/parser"
)

// Candidate is one route with the reasons that keep the request off it.
type Candidate struct {
	Route  string
	Pool   string
	Chosen bool
	// Reasons is empty for the chosen route.
	Reasons []string `json:",omitempty"`
}

// Explanation is the way of a request through one version of the tables.
type Explanation struct {
	Revision uint64
	// Route and Pool are nil if no route takes the request.
	Route      *parser.Route `json:",omitempty"`
	Pool       *parser.Pool  `json:",omitempty"`
	Candidates []Candidate
}

// Explain examines every route.
func Explain(mat *matcher.Matcher, que matcher.Query) Explanation {
	tab := mat.Tables()
	exp := Explanation{Revision: tab.Revision, Candidates: []Candidate{}}
	cho, poo, ok := mat.Route(que)
	if ok {
		exp.Route = &cho
		exp.Pool = &poo
	}
	for _, rou := range tab.Routes {
		can := Candidate{Route: rou.Name, Pool: rou.Pool, Chosen: ok && rou.Name == cho.Name}
		if !can.Chosen {
			poo, _ := mat.Pool(rou.Pool)
			can.Reasons = reasons(rou, poo, que, cho.Name)
		}
		exp.Candidates = append(exp.Candidates, can)
	}
	return exp
}

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
	pat := parser.Match{PathPrefix: mat.PathPrefix}
	if !pat.Matches(que.Model, que.Team, que.Host, que.Path, que.PromptTokens) {
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
