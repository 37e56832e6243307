package grouper

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"hemlockpin/connection/invoker"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1_700_000_000, 0)

// reservation is one reservation on simulated engines.
type reservation struct {
	state   State
	pending *Reserve
	done    bool
}

// TestReservationsDoNotDeadlock lets reservations compete for the memory of engines
// without any timeout. As long as a reservation is unfinished, at least one reservation
// must be able to proceed: a reservation that holds all its parts ends, and the waiting
// reservations hold parts in the order of the names of their engines.
func TestReservationsDoNotDeadlock(t *testing.T) {
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		require.NoError(t, flag.Set("rapid.seed", "20261204"))
	}
	rapid.Check(t, func(rt *rapid.T) {
		freeTokens := map[string]int64{}
		var names []string
		for i := range rapid.IntRange(2, 5).Draw(rt, "engines") {
			name := fmt.Sprintf("engine-%d", i)
			names = append(names, name)
			freeTokens[name] = 100
		}
		var ress []*reservation
		for range rapid.IntRange(2, 6).Draw(rt, "racers") {
			var pars []invoker.Part
			for _, name := range rapid.Permutation(names).Draw(rt, "plan")[:rapid.IntRange(2, len(names)).Draw(rt, "parts")] {
				pars = append(pars, invoker.Part{Endpoint: name, Tokens: rapid.Int64Range(40, 100).Draw(rt, "tokens")})
			}
			ress = append(ress, &reservation{state: New(pars, epoch.Add(time.Minute))})
		}
		for slices.ContainsFunc(ress, func(res *reservation) bool { return !res.done }) {
			ready := slices.DeleteFunc(slices.Clone(ress), func(res *reservation) bool { return res.done || !res.canProceed(freeTokens) })
			require.NotEmpty(rt, ready, "deadlock: all unfinished reservations wait for memory")
			rapid.SampledFrom(ready).Draw(rt, "turn").step(freeTokens)
		}
		for _, tokens := range freeTokens {
			require.Equal(rt, int64(100), tokens)
		}
	})
}

func (res *reservation) canProceed(freeTokens map[string]int64) bool {
	return res.pending == nil || freeTokens[res.pending.Part.Endpoint] >= res.pending.Part.Tokens
}

func (res *reservation) step(freeTokens map[string]int64) {
	var eve Event = Started{}
	if res.pending != nil {
		freeTokens[res.pending.Part.Endpoint] -= res.pending.Part.Tokens
		eve = Granted{}
	}
	sta, act := res.state.Next(eve, epoch)
	res.state = sta
	switch act := act.(type) {
	case Reserve:
		res.pending = &act
	case Complete:
		res.done = true
		for _, par := range sta.Parts {
			freeTokens[par.Endpoint] += par.Tokens
		}
	}
}

// TestGiveUpReleasesAllParts checks that a failed reservation releases all parts that are
// or may be reserved.
func TestGiveUpReleasesAllParts(t *testing.T) {
	tts := []struct {
		name string
		eve  Event
		want int
	}{{"denied", Denied{}, 1}, {"lost", NoAnswer{}, 2}, {"expired", RequestEnded{}, 2}}
	for _, tt := range tts {
		t.Run(tt.name, func(t *testing.T) {
			sta := New([]invoker.Part{{Endpoint: "c"}, {Endpoint: "a"}, {Endpoint: "b"}}, epoch.Add(time.Minute))
			sta, act := sta.Next(Started{}, epoch)
			require.Equal(t, Reserve{Part: invoker.Part{Endpoint: "a"}, Wait: MaxWait}, act)
			sta, _ = sta.Next(Granted{}, epoch)
			sta, act = sta.Next(tt.eve, epoch)
			require.Len(t, act.(GiveUp).Release, tt.want)
			require.Equal(t, tt.name == "lost", act.(GiveUp).NoAnswer)
			require.Zero(t, sta.Held)
		})
	}
}
