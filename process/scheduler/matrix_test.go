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
	requestTimeout = 20 * time.Second
	scenarioStep   = 250 * time.Millisecond
)

var (
	matrixStates = []string{"waiting", "promised", "granted", "prefilled", "released", "group-waiting", "group-granted", "moving", "moved"}
	matrixFaults = []string{
		"nothing", "grant-lost", "cancel", "host-silent", "prefilled", "prefilled-twice", "release", "release-lost", "engine-silent",
		"engine-leaving", "engine-unlisted", "owner-gone", "owner-older", "deadline", "second-scheduler", "fillers-end", "limits", "late-report",
		"move", "moved", "stayed", "moved-lost",
	}
)

// scenario is one cell with its engines, the request x and two requests f0 and f1
// that fill the memory.
type scenario struct {
	scriptedCell
	engines []string
	request Request
	// hostStopped reports whether x's host no longer repeats the request.
	hostStopped bool
	// unreachable, unlisted and leaving are the IDs of engines, empty for none.
	unreachable string
	unlisted    string
	leaving     string
	foreign     int64
	// held is the memory that the load reports show, in tokens, by request and
	// engine. A grant on one engine is recorded as 1 token.
	held    map[string]map[string]int64
	replies []string
}

// TestFaultMatrix injects every pair of faults in every state. The data file has a line
// for each combination, so that a missing combination fails the test. At the end of
// each combination no request, grant, promise or used memory may be left.
func TestFaultMatrix(t *testing.T) {
	datadriven.RunTest(t, "testdata/matrix", func(t *testing.T, dat *datadriven.TestData) string {
		require.Equal(t, "state", dat.Cmd)
		require.Contains(t, matrixStates, dat.CmdArgs[0].Key)
		var out strings.Builder
		for _, first := range matrixFaults {
			for _, second := range matrixFaults {
				fmt.Fprintf(&out, "%s, %s: %s\n", first, second, runScenario(t, dat.CmdArgs[0].Key, first, second))
			}
		}
		return out.String()
	})
}

// TestFaultMatrixStates checks that the data file contains all states.
func TestFaultMatrixStates(t *testing.T) {
	var seen []string
	datadriven.RunTest(t, "testdata/matrix", func(_ *testing.T, dat *datadriven.TestData) string {
		seen = append(seen, dat.CmdArgs[0].Key)
		return dat.Expected
	})
	require.Equal(t, matrixStates, seen)
}

func runScenario(t *testing.T, state, firstFault, secondFault string) string {
	sce := newScenario(state)
	sce.replies = nil
	sce.inject(firstFault)
	first := sce.takeOutput()
	sce.inject(secondFault)
	second := sce.takeOutput()
	sce.expireAll()
	third := sce.takeOutput()
	name := state + " " + firstFault + " " + secondFault
	require.Zero(t, sce.cell.Waiting(), name)
	require.Zero(t, sce.cell.Granted(), name)
	require.Nil(t, sce.cell.promise, name)
	for _, eng := range sce.cell.engines {
		require.Zero(t, eng.used, name)
	}
	return fmt.Sprintf("%s | %s | %s", first, second, third)
}

func newScenario(state string) *scenario {
	sce := &scenario{scriptedCell: scriptedCell{now: epoch}, engines: []string{"e0", "e1"}, held: map[string]map[string]int64{}}
	moves := state == "moving" || state == "moved"
	if moves {
		sce.engines = []string{"e0", "e1", "e2", "e3"}
	}
	tokens := map[string]int64{"waiting": 15_000, "promised": 50_000, "group-waiting": 600_000, "group-granted": 600_000}[state]
	if tokens == 0 {
		tokens = 15_000
	}
	sce.request = sce.newRequest("x", "h", tokens, requestTimeout)
	sce.sendListing()
	sce.sendReports()
	if moves || state == "waiting" || state == "promised" || state == "group-waiting" {
		for _, id := range []string{"f0", "f1"} {
			sce.send(sce.newRequest(id, "o", 390_000, 2*requestTimeout))
			sce.send(Prefilled{id})
		}
	}
	if moves {
		// The first Move event makes e0 a decoder.
		sce.send(Move{"f0"})
		sce.send(Release{"f0"})
		delete(sce.held, "f0")
	}
	sce.send(sce.request)
	switch state {
	case "prefilled":
		sce.inject("prefilled")
	case "released":
		sce.inject("release")
	case "moving":
		sce.inject("move")
	case "moved":
		sce.inject("move")
		sce.inject("moved")
	}
	return sce
}

func (sce *scenario) newRequest(id, host string, tokens int64, limit time.Duration) Request {
	return Request{ID: id, Host: host, Incarnation: 1, Request: placer.Request{ID: id, Team: host, Model: "m", PromptTokens: tokens, MaxTokens: 10, Prefix: blocks(id, int(tokens)), Deadline: sce.now.Add(limit)}}
}

func (sce *scenario) send(eve Event) {
	for _, act := range slices.Clone(sce.cell.Next(eve, sce.now)) {
		id := requestIDOf(act)
		text := "refuse"
		if move, ok := act.(MoveTo); ok {
			id, text = move.ID, "move to "+move.Endpoint
		}
		if stay, ok := act.(Stay); ok {
			id, text = stay.ID, "stay"
		}
		switch act := act.(type) {
		case Grant:
			text = "grant"
			sce.recordHeld(id, act.Endpoint, 1)
		case GrantGroup:
			text = "group"
			for _, par := range act.Parts {
				sce.recordHeld(id, par.Endpoint, par.Tokens)
			}
		case Refuse:
			text += " " + act.Code
		}
		if id == "x" {
			sce.replies = append(sce.replies, text)
		}
	}
}

func (sce *scenario) recordHeld(id, engine string, tokens int64) {
	if sce.held[id] == nil {
		sce.held[id] = map[string]int64{}
	}
	sce.held[id][engine] = tokens
}

// holdOnlyOn moves the memory of x to the given engine, unless x runs on several
// engines or on none.
func (sce *scenario) holdOnlyOn(engine string) {
	if len(sce.held["x"]) == 1 {
		sce.held["x"] = map[string]int64{engine: 1}
	}
}

// takeOutput returns the replies to x since the last call, and the cell's counts.
func (sce *scenario) takeOutput() string {
	out := strings.Join(slices.Compact(sce.replies), ", ")
	sce.replies = nil
	if out == "" {
		out = "-"
	}
	var used int64
	for _, eng := range sce.cell.engines {
		used += eng.used
	}
	return fmt.Sprintf("%s (%d waiting, %d granted, %d used)", out, sce.cell.Waiting(), sce.cell.Granted(), used)
}

func (sce *scenario) sendListing() {
	var lis Listing
	for _, id := range sce.engines {
		if id != sce.unlisted {
			lis.Engines = append(lis.Engines, placer.Endpoint{ID: id, Address: id, Models: []string{"m"}, Leaving: id == sce.leaving})
		}
	}
	sce.send(lis)
}

func (sce *scenario) sendReports() {
	for _, id := range sce.engines {
		if id == sce.unreachable {
			sce.send(Unreachable{id})
			continue
		}
		loa := invoker.Load{MemoryTokens: 400_000, PrefillRate: 200_000, StepMs: 10}
		for req, byEngine := range sce.held {
			if byEngine[id] > 0 {
				loa.Sequences = append(loa.Sequences, invoker.MemoryHolder{RequestID: req, Tokens: byEngine[id]})
			}
		}
		if sce.foreign > 0 && id == "e0" {
			loa.Sequences = append(loa.Sequences, invoker.MemoryHolder{RequestID: "foreign", Tokens: sce.foreign})
		}
		sce.send(Report{id, loa})
	}
}

// advance moves the time forward in steps, with load reports and with a host that
// repeats its request.
func (sce *scenario) advance(period time.Duration) {
	for end := sce.now.Add(period); sce.now.Before(end); {
		sce.now = sce.now.Add(scenarioStep)
		sce.sendReports()
		if sce.cell.pending["x"] != nil && !sce.hostStopped {
			sce.send(sce.request)
		}
		sce.send(Tick{})
	}
}

func (sce *scenario) inject(name string) {
	switch name {
	case "grant-lost":
		// The host repeats the request as if the reply was lost.
		sce.send(sce.request)
	case "cancel":
		sce.send(Cancel{"x"})
		delete(sce.held, "x")
	case "host-silent":
		sce.hostStopped = true
		sce.advance(4 * time.Second)
	case "prefilled", "prefilled-twice":
		sce.send(Prefilled{"x"})
		sce.send(Prefilled{"x"})
	case "release":
		sce.send(Release{"x"})
		delete(sce.held, "x")
	case "release-lost":
		// The request ends without a notice.
		delete(sce.held, "x")
		sce.advance(8 * time.Second)
	case "engine-silent":
		sce.unreachable = "e0"
		sce.advance(4 * time.Second)
	case "engine-leaving":
		sce.leaving = "e0"
		sce.sendListing()
	case "engine-unlisted":
		sce.unlisted = "e0"
		sce.sendListing()
	case "owner-gone":
		sce.send(OwnerRemoved{"h", 1})
		delete(sce.held, "x")
		sce.hostStopped = true
	case "owner-older":
		sce.send(OwnerRemoved{"h", 0})
	case "deadline":
		sce.advance(requestTimeout)
	case "second-scheduler":
		// Requests of another scheduler use memory on e0.
		sce.foreign = 300_000
		sce.sendReports()
	case "fillers-end":
		for _, id := range []string{"f0", "f1"} {
			sce.send(Release{id})
			delete(sce.held, id)
		}
	case "limits":
		sce.send(Limits{MaxOutstanding: 1, MaxWaiting: 1, LongShare: 0.5})
	case "late-report":
		// A report from before all grants arrives.
		old := sce.held
		sce.held = map[string]map[string]int64{}
		sce.sendReports()
		sce.held = old
	default:
		sce.injectMove(name)
	}
}

func (sce *scenario) injectMove(name string) {
	switch name {
	case "move":
		sce.send(Move{"x"})
		sce.send(Move{"x"})
	case "moved":
		sce.send(Moved{"x"})
		sce.holdOnlyOn("e0")
	case "moved-lost":
		sce.holdOnlyOn("e0")
		sce.advance(8 * time.Second)
	case "stayed":
		sce.send(Stayed{"x"})
	}
}

// expireAll advances past every deadline, so that all grants expire.
func (sce *scenario) expireAll() {
	sce.advance(2 * requestTimeout)
	sce.advance(grantGrace + time.Second)
}
