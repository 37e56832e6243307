package scheduler

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"hemlockpin/connection/invoker"
	"hemlockpin/request/placer"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
)

const (
	stageLimit = 20 * time.Second
	stageStep  = 250 * time.Millisecond
)

var (
	stageStates = []string{"waiting", "promised", "granted", "prefilled", "released", "group-waiting", "group-granted", "moving", "moved"}
	stageFaults = []string{
		"nothing", "grant-lost", "cancel", "host-silent", "prefilled", "prefilled-twice", "release", "release-lost", "engine-silent",
		"engine-leaving", "engine-unlisted", "owner-gone", "owner-older", "deadline", "second-scheduler", "fillers-end", "limits", "late-report",
		"move", "moved", "stayed", "moved-lost",
	}
)

// stage is one cell with its engines, the ask x and two fillers of the memory.
type stage struct {
	bench
	engines  []string
	ask      Request
	silent   bool
	quiet    string
	unlisted string
	leaving  string
	foreign  int64
	// holds are the tokens that engines truly hold, by request and engine.
	holds map[string]map[string]int64
	heard []string
}

// TestMatrix takes every state through every pair of faults. The data file has
// one line for each cell of the matrix, so a missing cell is a difference. Each
// cell ends with an empty account.
func TestMatrix(t *testing.T) {
	datadriven.RunTest(t, "testdata/matrix", func(t *testing.T, dat *datadriven.TestData) string {
		require.Equal(t, "state", dat.Cmd)
		require.Contains(t, stageStates, dat.CmdArgs[0].Key)
		var out strings.Builder
		for _, one := range stageFaults {
			for _, two := range stageFaults {
				fmt.Fprintf(&out, "%s, %s: %s\n", one, two, runStage(t, dat.CmdArgs[0].Key, one, two))
			}
		}
		return out.String()
	})
}

// TestMatrixStates checks that the data file has every state.
func TestMatrixStates(t *testing.T) {
	var see []string
	datadriven.RunTest(t, "testdata/matrix", func(_ *testing.T, dat *datadriven.TestData) string {
		see = append(see, dat.CmdArgs[0].Key)
		return dat.Expected
	})
	require.Equal(t, stageStates, see)
}

func runStage(t *testing.T, state, one, two string) string {
	sta := newStage(state)
	sta.heard = nil
	sta.fault(one)
	fir := sta.told()
	sta.fault(two)
	sec := sta.told()
	sta.finish()
	thi := sta.told()
	nam := state + " " + one + " " + two
	require.Zero(t, sta.cel.Waiting(), nam)
	require.Zero(t, sta.cel.Granted(), nam)
	require.Nil(t, sta.cel.promise, nam)
	for _, eng := range sta.cel.engines {
		require.Zero(t, eng.used, nam)
	}
	return fmt.Sprintf("%s | %s | %s", fir, sec, thi)
}

func newStage(state string) *stage {
	sta := &stage{bench: bench{now: epoch}, engines: []string{"e0", "e1"}, holds: map[string]map[string]int64{}}
	moves := state == "moving" || state == "moved"
	if moves {
		sta.engines = []string{"e0", "e1", "e2", "e3"}
	}
	tok := map[string]int64{"waiting": 15_000, "promised": 50_000, "group-waiting": 600_000, "group-granted": 600_000}[state]
	if tok == 0 {
		tok = 15_000
	}
	sta.ask = sta.newAsk("x", "h", tok, stageLimit)
	sta.list()
	sta.reports()
	if moves || state == "waiting" || state == "promised" || state == "group-waiting" {
		for _, id := range []string{"f0", "f1"} {
			sta.send(sta.newAsk(id, "o", 390_000, 2*stageLimit))
			sta.send(Prefilled{id})
		}
	}
	if moves {
		// The first question sets the decoder e0 apart.
		sta.send(Move{"f0"})
		sta.send(Release{"f0"})
		delete(sta.holds, "f0")
	}
	sta.send(sta.ask)
	switch state {
	case "prefilled":
		sta.fault("prefilled")
	case "released":
		sta.fault("release")
	case "moving":
		sta.fault("move")
	case "moved":
		sta.fault("move")
		sta.fault("moved")
	}
	return sta
}

func (sta *stage) newAsk(id, host string, tokens int64, limit time.Duration) Request {
	return Request{ID: id, Host: host, Incarnation: 1, Request: placer.Request{ID: id, Team: host, Model: "m", PromptTokens: tokens, MaxTokens: 10, Prefix: blocks(id, int(tokens)), Deadline: sta.now.Add(limit)}}
}

func (sta *stage) send(eve Event) {
	for _, act := range slices.Clone(sta.cel.Next(eve, sta.now)) {
		id := askOf(act)
		txt := "refuse"
		if mov, ok := act.(MoveTo); ok {
			id, txt = mov.ID, "move to "+mov.Endpoint
		}
		if sty, ok := act.(Stay); ok {
			id, txt = sty.ID, "stay"
		}
		switch act := act.(type) {
		case Grant:
			txt = "grant"
			sta.hold(id, act.Endpoint, 1)
		case GrantGroup:
			txt = "group"
			for _, par := range act.Parts {
				sta.hold(id, par.Endpoint, par.Tokens)
			}
		case Refuse:
			txt += " " + act.Code
		}
		if id == "x" {
			sta.heard = append(sta.heard, txt)
		}
	}
}

func (sta *stage) hold(id, engine string, tokens int64) {
	if sta.holds[id] == nil {
		sta.holds[id] = map[string]int64{}
	}
	sta.holds[id][engine] = tokens
}

// switchTo lets an engine alone hold x, if x is on any.
func (sta *stage) switchTo(engine string) {
	if len(sta.holds["x"]) == 1 {
		sta.holds["x"] = map[string]int64{engine: 1}
	}
}

// told returns what x heard since the last call.
func (sta *stage) told() string {
	out := strings.Join(slices.Compact(sta.heard), ", ")
	sta.heard = nil
	if out == "" {
		out = "-"
	}
	var use int64
	for _, eng := range sta.cel.engines {
		use += eng.used
	}
	return fmt.Sprintf("%s (%d waiting, %d granted, %d used)", out, sta.cel.Waiting(), sta.cel.Granted(), use)
}

func (sta *stage) list() {
	var lis Listing
	for _, id := range sta.engines {
		if id != sta.unlisted {
			lis.Engines = append(lis.Engines, placer.Endpoint{ID: id, Address: id, Models: []string{"m"}, Leaving: id == sta.leaving})
		}
	}
	sta.send(lis)
}

func (sta *stage) reports() {
	for _, id := range sta.engines {
		if id == sta.quiet {
			sta.send(Unreachable{id})
			continue
		}
		loa := invoker.Load{MemoryTokens: 400_000, PrefillRate: 200_000, StepMs: 10}
		for req, ons := range sta.holds {
			if ons[id] > 0 {
				loa.Sequences = append(loa.Sequences, invoker.Sequence{RequestID: req, Tokens: ons[id]})
			}
		}
		if sta.foreign > 0 && id == "e0" {
			loa.Sequences = append(loa.Sequences, invoker.Sequence{RequestID: "foreign", Tokens: sta.foreign})
		}
		sta.send(Report{id, loa})
	}
}

// pass lets time go by, with reports and with hosts that repeat their asks.
func (sta *stage) pass(dur time.Duration) {
	for end := sta.now.Add(dur); sta.now.Before(end); {
		sta.now = sta.now.Add(stageStep)
		sta.reports()
		if sta.cel.asks["x"] != nil && !sta.silent {
			sta.send(sta.ask)
		}
		sta.send(Tick{})
	}
}

func (sta *stage) fault(nam string) {
	switch nam {
	case "grant-lost":
		sta.send(sta.ask)
	case "cancel":
		sta.send(Cancel{"x"})
		delete(sta.holds, "x")
	case "host-silent":
		sta.silent = true
		sta.pass(4 * time.Second)
	case "prefilled", "prefilled-twice":
		sta.send(Prefilled{"x"})
		sta.send(Prefilled{"x"})
	case "release":
		sta.send(Release{"x"})
		delete(sta.holds, "x")
	case "release-lost":
		delete(sta.holds, "x")
		sta.pass(8 * time.Second)
	case "engine-silent":
		sta.quiet = "e0"
		sta.pass(4 * time.Second)
	case "engine-leaving":
		sta.leaving = "e0"
		sta.list()
	case "engine-unlisted":
		sta.unlisted = "e0"
		sta.list()
	case "owner-gone":
		sta.send(OwnerRemoved{"h", 1})
		delete(sta.holds, "x")
		sta.silent = true
	case "owner-older":
		sta.send(OwnerRemoved{"h", 0})
	case "deadline":
		sta.pass(stageLimit)
	case "second-scheduler":
		sta.foreign = 300_000
		sta.reports()
	case "fillers-end":
		for _, id := range []string{"f0", "f1"} {
			sta.send(Release{id})
			delete(sta.holds, id)
		}
	case "limits":
		sta.send(Limits{MaxOutstanding: 1, MaxWaiting: 1, LongShare: 0.5})
	case "late-report":
		old := sta.holds
		sta.holds = map[string]map[string]int64{}
		sta.reports()
		sta.holds = old
	default:
		sta.moveFault(nam)
	}
}

func (sta *stage) moveFault(nam string) {
	switch nam {
	case "move":
		sta.send(Move{"x"})
		sta.send(Move{"x"})
	case "moved":
		sta.send(Moved{"x"})
		sta.switchTo("e0")
	case "moved-lost":
		sta.switchTo("e0")
		sta.pass(8 * time.Second)
	case "stayed":
		sta.send(Stayed{"x"})
	}
}

// finish lets every deadline pass. What the host still holds it gives back.
func (sta *stage) finish() {
	sta.pass(2 * stageLimit)
	sta.pass(grantGrace + time.Second)
}
