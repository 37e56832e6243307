package testkit

import (
	"fmt"
	"time"

	"hemlockpin/load/mixer"
	"hemlockpin/version/parser"
)

const loadTimeLimit = 2 * time.Minute

// TablesForMix returns tables whose routes match all requests of a load mix.
func TablesForMix(mix mixer.Mix) parser.Tables {
	tab := parser.Tables{
		Routes: []parser.Route{
			{Name: "short", Match: parser.Match{Model: mix.Model, MaxPromptTokens: mixer.ShortTokens}, Pool: "engines", TimeLimit: parser.Duration(loadTimeLimit), Priority: 10},
			{Name: "long", Match: parser.Match{Model: mix.Model, MinPromptTokens: mixer.ShortTokens + 1}, Pool: "engines", TimeLimit: parser.Duration(loadTimeLimit)},
			{Name: "once", Match: parser.Match{PathPrefix: mix.OncePath}, Pool: "services", TimeLimit: parser.Duration(10 * time.Second)},
			{Name: "repeatable", Match: parser.Match{PathPrefix: mix.RepeatablePath}, Pool: "services", TimeLimit: parser.Duration(10 * time.Second), Repeatable: true},
		},
		Pools: []parser.Pool{
			{Name: "engines", Kind: parser.PoolEngine, Selector: parser.Selector{Service: mix.Model}},
			{Name: "services", Kind: parser.PoolService, Selector: parser.Selector{Service: "counter"}},
		},
	}
	for i := range mixer.TeamCount {
		tab.Teams = append(tab.Teams, parser.Team{Name: fmt.Sprintf("team-%d", i), KeyDigests: []string{parser.DigestKey(mixer.TeamKey(i))}})
	}
	return tab
}
