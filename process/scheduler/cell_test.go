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

// scriptedCell runs the commands of a data file on one cell.
type scriptedCell struct {
	cell Cell
	now  time.Time
}

// TestCell runs the scripts of testdata/cell: faults, groups, moves, and short prompts
// beside long prompts.
func TestCell(t *testing.T) {
	datadriven.Walk(t, "testdata/cell", func(t *testing.T, path string) {
		scr := &scriptedCell{now: epoch}
		datadriven.RunTest(t, path, func(t *testing.T, dat *datadriven.TestData) string {
			return scr.run(t, dat)
		})
	})
}

func (scr *scriptedCell) run(t *testing.T, dat *datadriven.TestData) string {
	switch dat.Cmd {
	case "engines":
		return scr.engines(dat)
	case "limits":
		limits := Limits{MaxOutstanding: intArg(dat, "outstanding", 0), MaxWaiting: intArg(dat, "waiting", 0), LongShare: float64(intArg(dat, "long-percent", 0)) / 100}
		return scr.next(limits)
	case "ask":
		return scr.submit(dat)
	case "prefilled":
		return scr.eachID(dat, func(id string) Event { return Prefilled{id} })
	case "release":
		return scr.eachID(dat, func(id string) Event { return Release{id} })
	case "move":
		return scr.eachID(dat, func(id string) Event { return Move{id} })
	case "moved":
		return scr.eachID(dat, func(id string) Event { return Moved{id} })
	case "stayed":
		return scr.eachID(dat, func(id string) Event { return Stayed{id} })
	case "cancel":
		return scr.eachID(dat, func(id string) Event { return Cancel{id} })
	case "report":
		return scr.report(dat)
	case "unreachable":
		return scr.next(Unreachable{stringArg(dat, "engine", "e0")})
	case "owner-gone":
		return scr.next(OwnerRemoved{Host: stringArg(dat, "host", "h"), Incarnation: uint64(intArg(dat, "inc", 1))})
	case "wait":
		scr.now = scr.now.Add(time.Duration(intArg(dat, "ms", 0)) * time.Millisecond)
		return scr.next(Tick{})
	case "state":
		return scr.state()
	default:
		require.Failf(t, "unknown command", dat.Cmd)
		return ""
	}
}

func intArg(dat *datadriven.TestData, key string, def int) int {
	for _, text := range stringArgs(dat, key) {
		_, _ = fmt.Sscan(text, &def)
	}
	return def
}

func stringArg(dat *datadriven.TestData, key, def string) string {
	for _, text := range stringArgs(dat, key) {
		return text
	}
	return def
}

func stringArgs(dat *datadriven.TestData, key string) []string {
	for _, arg := range dat.CmdArgs {
		if arg.Key == key {
			return arg.Vals
		}
	}
	return nil
}

// engines lists a number of engines and sends a report of each, unless silent=all.
func (scr *scriptedCell) engines(dat *datadriven.TestData) string {
	var lis Listing
	for i := range intArg(dat, "count", 1) {
		id := fmt.Sprintf("e%d", i)
		lis.Engines = append(lis.Engines, placer.Endpoint{ID: id, Address: id, Models: []string{"m"}, Leaving: stringArg(dat, "leaving", "") == id})
	}
	out := scr.next(lis)
	for _, end := range lis.Engines {
		if stringArg(dat, "silent", "") != "all" {
			out += scr.next(Report{end.ID, load(dat)})
		}
	}
	return normalize(out)
}

func load(dat *datadriven.TestData) invoker.Load {
	return invoker.Load{MemoryTokens: int64(intArg(dat, "memory", 400_000)), PrefillRate: 200_000, StepMs: 10}
}

// report sends reports of engines with the given sequences.
func (scr *scriptedCell) report(dat *datadriven.TestData) string {
	out := ""
	loa := load(dat)
	for _, text := range strings.Fields(dat.Input) {
		name, tokens, _ := strings.Cut(text, "=")
		seq := invoker.MemoryHolder{RequestID: name}
		_, _ = fmt.Sscan(tokens, &seq.Tokens)
		loa.Sequences = append(loa.Sequences, seq)
		loa.Running++
	}
	loa.QueuedPromptTokens = int64(intArg(dat, "queued", 0))
	for _, eng := range scr.cell.engines {
		if id := stringArg(dat, "engine", eng.id); id == eng.id {
			out += scr.next(Report{eng.id, loa})
		}
	}
	return normalize(out)
}

func (scr *scriptedCell) submit(dat *datadriven.TestData) string {
	out := ""
	for _, id := range stringArgs(dat, "ids") {
		out += scr.next(Request{ID: id, Host: stringArg(dat, "host", "h"), Incarnation: 1, Request: placer.Request{
			ID: "r-" + id, Team: stringArg(dat, "team", "t"), Share: float64(intArg(dat, "share", 1)), Model: stringArg(dat, "model", "m"),
			PromptTokens: int64(intArg(dat, "prompt", 1000)), MaxTokens: int64(intArg(dat, "answer", 10)), Priority: intArg(dat, "priority", 0),
			Deadline: scr.now.Add(time.Duration(intArg(dat, "limit", 30_000)) * time.Millisecond), Excluded: stringArgs(dat, "excluded"),
			Prefix: blocks(id, intArg(dat, "prompt", 1000)),
		}})
	}
	return normalize(out)
}

// blocks returns the complete blocks of a prompt that shares no block with the prompts
// of other IDs.
func blocks(id string, tokens int) []uint64 {
	return hasher.Blocks(strings.Repeat(id, tokens*hasher.BytesPerToken/len(id)))
}

func (scr *scriptedCell) eachID(dat *datadriven.TestData, eve func(id string) Event) string {
	out := ""
	for _, id := range strings.Fields(dat.Input) {
		out += scr.next(eve(id))
	}
	return normalize(out)
}

func (scr *scriptedCell) next(eve Event) string {
	out := ""
	for _, act := range scr.cell.Next(eve, scr.now) {
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
	return normalize(out)
}

func (scr *scriptedCell) state() string {
	out := fmt.Sprintf("waiting %d granted %d promise %t\n", scr.cell.Waiting(), scr.cell.Granted(), scr.cell.promise != nil)
	for _, eng := range scr.cell.engines {
		out += fmt.Sprintf("%s used %d running %d foreign %d\n", eng.id, eng.used, eng.running, eng.foreign)
	}
	return out
}

// normalize removes the - of events without actions, unless no output is left.
func normalize(out string) string {
	if out = strings.ReplaceAll(out, "-\n", ""); out == "" {
		return "-\n"
	}
	return out
}
