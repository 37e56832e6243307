package testkit

import (
	"time"

	"hemlockpin/version/parser"
)

const (
	// Model is the name of the model in the sample tables.
	Model = "pedal-model"
	// Key is the bearer key of the team tailors in the sample tables.
	Key = "key-tailors"
	// OtherKey is the bearer key of the team seamstresses in the sample tables.
	OtherKey = "key-seamstresses"
)

// SampleTables returns tables with one engine pool, one service pool and two teams.
func SampleTables() parser.Tables {
	return parser.Tables{
		Routes: []parser.Route{
			{Name: "questions", Match: parser.Match{Model: Model, MaxPromptTokens: 4000}, Pool: "pedal", TimeLimit: parser.Duration(30 * time.Second), Priority: 10},
			{Name: "histories", Match: parser.Match{Model: Model, MinPromptTokens: 4001}, Pool: "pedal", TimeLimit: parser.Duration(2 * time.Minute)},
			{Name: "bookings", Match: parser.Match{PathPrefix: "/bookings"}, Pool: "counter", TimeLimit: parser.Duration(10 * time.Second)},
			{Name: "slots", Match: parser.Match{PathPrefix: "/slots"}, Pool: "counter", TimeLimit: parser.Duration(10 * time.Second), Repeatable: true},
		},
		Pools: []parser.Pool{
			{Name: "pedal", Kind: parser.PoolEngine, Selector: parser.Selector{Service: Model}, ChecksFencing: true},
			{Name: "counter", Kind: parser.PoolService, Selector: parser.Selector{Service: "counter"}},
		},
		Teams: []parser.Team{
			{Name: "tailors", KeyDigests: []string{parser.DigestKey(Key)}},
			{Name: "seamstresses", KeyDigests: []string{parser.DigestKey(OtherKey)}},
		},
	}
}
