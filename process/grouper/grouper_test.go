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

var start = time.Unix(1_700_000_000, 0)

// racer is one reservation against modelled engines.
type racer struct {
	state State
	wants *Reserve
	done  bool
}

// TestRacersNeverWaitInACircle lets reservations race for engines without any
// time passing: as long as one is unfinished, one can go on, because a holder
// of all its parts ends, and those that wait are in the order of the names.
func TestRacersNeverWaitInACircle(t *testing.T) {
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		require.NoError(t, flag.Set("rapid.seed", "20261204"))
	}
	rapid.Check(t, func(rap *rapid.T) {
		free := map[string]int64{}
		var names []string
		for ind := range rapid.IntRange(2, 5).Draw(rap, "engines") {
			nam := fmt.Sprintf("engine-%d", ind)
			names = append(names, nam)
			free[nam] = 100
		}
		var racs []*racer
		for range rapid.IntRange(2, 6).Draw(rap, "racers") {
			var pars []invoker.Part
			for _, nam := range rapid.Permutation(names).Draw(rap, "plan")[:rapid.IntRange(2, len(names)).Draw(rap, "parts")] {
				pars = append(pars, invoker.Part{Endpoint: nam, Tokens: rapid.Int64Range(40, 100).Draw(rap, "tokens")})
			}
			racs = append(racs, &racer{state: New(pars, start.Add(time.Minute))})
		}
		for slices.ContainsFunc(racs, func(rac *racer) bool { return !rac.done }) {
			able := slices.DeleteFunc(slices.Clone(racs), func(rac *racer) bool { return rac.done || !rac.able(free) })
			require.NotEmpty(rap, able, "all wait")
			rapid.SampledFrom(able).Draw(rap, "turn").turn(free)
		}
		for _, lef := range free {
			require.Equal(rap, int64(100), lef)
		}
	})
}

func (rac *racer) able(free map[string]int64) bool {
	return rac.wants == nil || free[rac.wants.Part.Endpoint] >= rac.wants.Part.Tokens
}

func (rac *racer) turn(free map[string]int64) {
	var eve Event = Started{}
	if rac.wants != nil {
		free[rac.wants.Part.Endpoint] -= rac.wants.Part.Tokens
		eve = Granted{}
	}
	sta, act := rac.state.Next(eve, start)
	rac.state = sta
	switch act := act.(type) {
	case Reserve:
		rac.wants = &act
	case Complete:
		rac.done = true
		for _, par := range sta.Parts {
			free[par.Endpoint] += par.Tokens
		}
	}
}

// TestNothingStaysHeld checks what each end gives back.
func TestNothingStaysHeld(t *testing.T) {
	tts := []struct {
		name string
		eve  Event
		want int
	}{{"denied", Denied{}, 1}, {"lost", NoAnswer{}, 2}, {"expired", Expired{}, 2}}
	for _, tt := range tts {
		t.Run(tt.name, func(t *testing.T) {
			sta := New([]invoker.Part{{Endpoint: "c"}, {Endpoint: "a"}, {Endpoint: "b"}}, start.Add(time.Minute))
			sta, act := sta.Next(Started{}, start)
			require.Equal(t, Reserve{Part: invoker.Part{Endpoint: "a"}, Wait: MaxWait}, act)
			sta, _ = sta.Next(Granted{}, start)
			sta, act = sta.Next(tt.eve, start)
			require.Len(t, act.(GiveUp).Release, tt.want)
			require.Equal(t, tt.name == "lost", act.(GiveUp).NoAnswer)
			require.Zero(t, sta.Held)
		})
	}
}
