package scheduler

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"hemlockpin/connection/invoker"
	"hemlockpin/request/hasher"
	"hemlockpin/request/placer"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// bench drives one cell by a script.
type bench struct {
	cel Cell
	now time.Time
}

func TestCell(t *testing.T) {
	datadriven.Walk(t, "testdata/cell", func(t *testing.T, path string) {
		ben := &bench{now: epoch}
		datadriven.RunTest(t, path, func(t *testing.T, dat *datadriven.TestData) string {
			return ben.run(t, dat)
		})
	})
}

func (ben *bench) run(t *testing.T, dat *datadriven.TestData) string {
	switch dat.Cmd {
	case "engines":
		return ben.engines(dat)
	case "limits":
		lim := Limits{MaxOutstanding: number(dat, "outstanding", 0), MaxWaiting: number(dat, "waiting", 0), LongShare: float64(number(dat, "long-percent", 0)) / 100}
		return ben.next(lim)
	case "ask":
		return ben.ask(dat)
	case "prefilled":
		return ben.each(dat, func(id string) Event { return Prefilled{id} })
	case "release":
		return ben.each(dat, func(id string) Event { return Release{id} })
	case "move":
		return ben.each(dat, func(id string) Event { return Move{id} })
	case "moved":
		return ben.each(dat, func(id string) Event { return Moved{id} })
	case "stayed":
		return ben.each(dat, func(id string) Event { return Stayed{id} })
	case "cancel":
		return ben.each(dat, func(id string) Event { return Cancel{id} })
	case "report":
		return ben.report(dat)
	case "unreachable":
		return ben.next(Unreachable{word(dat, "engine", "e0")})
	case "owner-gone":
		return ben.next(OwnerRemoved{Host: word(dat, "host", "h"), Incarnation: uint64(number(dat, "inc", 1))})
	case "wait":
		ben.now = ben.now.Add(time.Duration(number(dat, "ms", 0)) * time.Millisecond)
		return ben.next(Tick{})
	case "state":
		return ben.state()
	default:
		require.Failf(t, "unknown command", dat.Cmd)
		return ""
	}
}

func number(dat *datadriven.TestData, key string, def int) int {
	for _, txt := range words(dat, key) {
		_, _ = fmt.Sscan(txt, &def)
	}
	return def
}

func word(dat *datadriven.TestData, key, def string) string {
	for _, txt := range words(dat, key) {
		return txt
	}
	return def
}

func words(dat *datadriven.TestData, key string) []string {
	for _, arg := range dat.CmdArgs {
		if arg.Key == key {
			return arg.Vals
		}
	}
	return nil
}

// engines lists a number of engines and lets each report.
func (ben *bench) engines(dat *datadriven.TestData) string {
	var lis Listing
	for ind := range number(dat, "count", 1) {
		id := fmt.Sprintf("e%d", ind)
		lis.Engines = append(lis.Engines, placer.Endpoint{ID: id, Address: id, Models: []string{"m"}, Leaving: word(dat, "leaving", "") == id})
	}
	out := ben.next(lis)
	for _, end := range lis.Engines {
		if word(dat, "silent", "") != "all" {
			out += ben.next(Report{end.ID, load(dat)})
		}
	}
	return clean(out)
}

func load(dat *datadriven.TestData) invoker.Load {
	return invoker.Load{MemoryTokens: int64(number(dat, "memory", 400_000)), PrefillRate: 200_000, StepMs: 10}
}

// report repeats the report of engines, with the sequences that they hold.
func (ben *bench) report(dat *datadriven.TestData) string {
	out := ""
	loa := load(dat)
	for _, txt := range strings.Fields(dat.Input) {
		nam, tok, _ := strings.Cut(txt, "=")
		seq := invoker.Sequence{RequestID: nam}
		_, _ = fmt.Sscan(tok, &seq.Tokens)
		loa.Sequences = append(loa.Sequences, seq)
		loa.Running++
	}
	loa.QueuedPromptTokens = int64(number(dat, "queued", 0))
	for _, eng := range ben.cel.engines {
		if id := word(dat, "engine", eng.id); id == eng.id {
			out += ben.next(Report{eng.id, loa})
		}
	}
	return clean(out)
}

func (ben *bench) ask(dat *datadriven.TestData) string {
	out := ""
	for _, id := range words(dat, "ids") {
		out += ben.next(Request{ID: id, Host: word(dat, "host", "h"), Incarnation: 1, Request: placer.Request{
			ID: "r-" + id, Team: word(dat, "team", "t"), Share: float64(number(dat, "share", 1)), Model: word(dat, "model", "m"),
			PromptTokens: int64(number(dat, "prompt", 1000)), MaxTokens: int64(number(dat, "answer", 10)), Priority: number(dat, "priority", 0),
			Deadline: ben.now.Add(time.Duration(number(dat, "limit", 30_000)) * time.Millisecond), Excluded: words(dat, "excluded"),
			Prefix: blocks(id, number(dat, "prompt", 1000)),
		}})
	}
	return clean(out)
}

// blocks returns the whole blocks of a prompt that shares none.
func blocks(id string, tokens int) []uint64 {
	return hasher.Blocks(strings.Repeat(id, tokens*hasher.BytesPerToken/len(id)))
}

func (ben *bench) each(dat *datadriven.TestData, eve func(id string) Event) string {
	out := ""
	for _, id := range strings.Fields(dat.Input) {
		out += ben.next(eve(id))
	}
	return clean(out)
}

func (ben *bench) next(eve Event) string {
	out := ""
	for _, act := range ben.cel.Next(eve, ben.now) {
		switch act := act.(type) {
		case Grant:
			out += fmt.Sprintf("grant %s %s\n", act.ID, act.Endpoint)
		case GrantGroup:
			out += "group " + act.ID
			for _, par := range act.Parts {
				out += fmt.Sprintf(" %s=%d", par.Endpoint, par.Tokens)
			}
			out += "\n"
		case MoveTo:
			out += fmt.Sprintf("move %s %s\n", act.ID, act.Endpoint)
		case Stay:
			out += fmt.Sprintf("stay %s\n", act.ID)
		case Refuse:
			out += fmt.Sprintf("refuse %s %s after %s\n", act.ID, act.Code, act.RetryAfter.Round(time.Second))
		}
	}
	return clean(out)
}

func (ben *bench) state() string {
	out := fmt.Sprintf("waiting %d granted %d promise %t\n", ben.cel.Waiting(), ben.cel.Granted(), ben.cel.promise != nil)
	for _, eng := range ben.cel.engines {
		out += fmt.Sprintf("%s used %d running %d foreign %d\n", eng.id, eng.used, eng.running, eng.foreign)
	}
	return out
}

func clean(out string) string {
	if out = strings.ReplaceAll(out, "-\n", ""); out == "" {
		return "-\n"
	}
	return out
}
