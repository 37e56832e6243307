// Command placing uses routing and placement as a library, without the daemon: it
// finds the route and the pool of a request and chooses an endpoint.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"time"

	"hemlockpin/request/placer"
	"hemlockpin/version/matcher"
	"hemlockpin/version/parser"
)

const tables = `{
  "Routes": [
    {"Name": "questions", "Match": {"Model": "pedal-model", "MaxPromptTokens": 4000}, "Pool": "pedal", "TimeLimit": "5s"},
    {"Name": "ledgers", "Match": {"Model": "pedal-model", "MinPromptTokens": 4001}, "Pool": "pedal", "TimeLimit": "2m"}
  ],
  "Pools": [{"Name": "pedal", "Kind": "Engine", "Selector": {"Service": "pedal-model"}}],
  "Teams": []
}`

func main() {
	tab, err := parser.Parse([]byte(tables))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	mat := matcher.New(tab)
	rou, poo, ok := mat.Route(matcher.Query{Kind: parser.PoolEngine, Model: "pedal-model", Team: "tailors", PromptTokens: 1200})
	fmt.Println(ok, rou.Name, poo.Name)

	// The current time and the random source are arguments of the decision, so
	// that it is reproducible.
	now := time.Unix(0, 0)
	vie := placer.View{Endpoints: []placer.Endpoint{
		{ID: "engine-0", Models: []string{"pedal-model"}, ReportedAt: now, MemoryTokens: 500_000, QueuedTokens: 90_000, PrefillRate: 100_000},
		{ID: "engine-1", Models: []string{"pedal-model"}, ReportedAt: now, MemoryTokens: 500_000, QueuedTokens: 2_000, PrefillRate: 100_000},
		{ID: "engine-2", Models: []string{"pedal-model"}, Leaving: true},
	}}
	req := placer.Request{Model: "pedal-model", PromptTokens: 1200, MaxTokens: 256, Deadline: now.Add(time.Duration(rou.TimeLimit))}
	switch dec := placer.Decide(placer.PolicyWork, req, vie, now, rand.New(rand.NewPCG(1, 1))).(type) {
	case placer.Place:
		fmt.Println("place on", dec.Endpoint)
	case placer.PlaceGroup:
		fmt.Println("reserve", len(dec.Parts), "engines together")
	case placer.Refuse:
		fmt.Println("refuse:", dec.Message)
	}
}
