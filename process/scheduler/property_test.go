package scheduler

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"hemlockpin/connection/invoker"
	"hemlockpin/request/placer"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const (
	simStep = 25 * time.Millisecond
	// simEngineMemory is in tokens, simPrefillRate in tokens a second.
	simEngineMemory = 400_000
	simPrefillRate  = 200_000
	reportInterval  = 250 * time.Millisecond
	repeatInterval  = time.Second
	arrivalPeriod   = 5 * time.Second
	// settleSteps are 35 s of steps, longer than every deadline and grantGrace.
	settleSteps = 35 * 40
	decodeTime  = 200 * time.Millisecond
)

// simulation runs a cell with engines that run what is granted. Notices of first
// tokens and of ends are lost at random.
type simulation struct {
	t         *rapid.T
	cell      *Cell
	now       time.Time
	reporting []bool
	requests  map[string]*simRequest
	ids       []string
}

type simRequest struct {
	event       Request
	submittedAt time.Time
	parts       []placer.Part
	// groupRest has the parts of a group after the first; the answer of a group
	// does not move.
	groupRest    []placer.Part
	doneAt       time.Time
	outcome      string
	losesNotices bool
	released     bool
	// move is the state of the answer's move: "", "asked", "moved", "stayed" or
	// "lost".
	move string
}

// TestCellProperties sends random requests to a cell whose engines stop and resume
// their reports at random. Each request must get one reply by its deadline, no engine
// may be granted more than its memory, and no state may be left at the end.
func TestCellProperties(t *testing.T) {
	// A fixed seed makes the run repeatable, unless rapid.seed is set.
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		require.NoError(t, flag.Set("rapid.seed", "20260104"))
	}
	rapid.Check(t, func(t *rapid.T) {
		engines := rapid.IntRange(1, 6).Draw(t, "Engines")
		sim := &simulation{t: t, cell: newCell(engines, epoch), now: epoch, reporting: make([]bool, engines), requests: map[string]*simRequest{}}
		for i := range sim.reporting {
			sim.reporting[i] = true
		}
		for sim.now.Sub(epoch) < arrivalPeriod {
			sim.submitAtRandom()
			for range 2 {
				sim.step()
			}
		}
		for range settleSteps {
			sim.step()
		}
		sim.requireSettled()
	})
}

// submitAtRandom submits a random request with a probability of 0.6.
func (sim *simulation) submitAtRandom() {
	if rapid.IntRange(0, 9).Draw(sim.t, "Arrival") > 5 {
		return
	}
	tokens := rapid.SampledFrom([]int64{500, 1000, 4000, 20_000, 120_000, 380_000, 900_000}).Draw(sim.t, "Tokens")
	id := fmt.Sprintf("a%d", len(sim.ids))
	sim.ids = append(sim.ids, id)
	sim.requests[id] = &simRequest{losesNotices: rapid.IntRange(0, 9).Draw(sim.t, "Lost") == 0, submittedAt: sim.now, event: Request{ID: id, Host: "h", Incarnation: 1, Request: placer.Request{
		ID: "r" + id, Team: rapid.SampledFrom([]string{"t", "u"}).Draw(sim.t, "Team"), Model: "m", PromptTokens: tokens, MaxTokens: 10,
		Priority: rapid.IntRange(0, 2).Draw(sim.t, "Priority"), Deadline: sim.now.Add(time.Duration(rapid.IntRange(1, 30).Draw(sim.t, "Limit")) * time.Second),
	}}}
	sim.apply(sim.cell.Next(sim.requests[id].event, sim.now))
}

// toggleReports stops or resumes the reports of a random engine, with a probability of
// 0.1.
func (sim *simulation) toggleReports() {
	if rapid.IntRange(0, 9).Draw(sim.t, "Fault") == 0 {
		i := rapid.IntRange(0, len(sim.reporting)-1).Draw(sim.t, "Engine")
		sim.reporting[i] = !sim.reporting[i]
	}
}

func (sim *simulation) step() {
	sim.now = sim.now.Add(simStep)
	for _, id := range sim.ids {
		req := sim.requests[id]
		switch {
		case req.outcome == "" && sim.now.Sub(req.submittedAt) >= repeatInterval:
			req.submittedAt = sim.now
			sim.apply(sim.cell.Next(req.event, sim.now))
		case req.outcome == "granted" && !req.released && sim.now.Before(req.doneAt):
			sim.move(req)
		case req.outcome == "granted" && !req.released:
			req.released = true
			if !req.losesNotices {
				sim.apply(sim.cell.Next(Prefilled{id}, sim.now))
				sim.apply(sim.cell.Next(Release{id}, sim.now))
			}
		}
	}
	if sim.now.Sub(epoch)%reportInterval == 0 {
		if sim.now.Sub(epoch) < arrivalPeriod {
			sim.toggleReports()
		}
		sim.report()
	}
	sim.apply(sim.cell.Next(Tick{}, sim.now))
	for _, id := range sim.ids {
		req := sim.requests[id]
		if req.outcome == "" && sim.now.After(req.event.Request.Deadline.Add(sweepInterval)) {
			sim.t.Fatalf("request %s has no reply by its deadline", id)
		}
	}
}

// move sends a Move event after the first token, and one step later reports or loses
// the outcome. Meanwhile the request uses memory on both engines.
func (sim *simulation) move(req *simRequest) {
	switch {
	case req.move == "" && sim.now.Add(decodeTime).After(req.doneAt):
		req.move = rapid.SampledFrom([]string{"asked", "stayed"}).Draw(sim.t, "Move")
		if req.move == "asked" {
			sim.apply(sim.cell.Next(Move{req.event.ID}, sim.now))
		}
	case req.move == "asked":
		req.move = rapid.SampledFrom([]string{"moved", "stayed", "lost"}).Draw(sim.t, "Outcome")
		target := req.parts[1:]
		switch {
		case len(req.groupRest) > 0 || len(target) == 0:
		case req.move == "moved":
			req.parts = target
			sim.apply(sim.cell.Next(Moved{req.event.ID}, sim.now))
		case req.move == "stayed":
			req.parts = req.parts[:1]
			sim.apply(sim.cell.Next(Stayed{req.event.ID}, sim.now))
		}
	}
}

func (sim *simulation) report() {
	for i, reporting := range sim.reporting {
		if !reporting {
			continue
		}
		loa := invoker.Load{MemoryTokens: simEngineMemory, PrefillRate: simPrefillRate, StepMs: 10}
		for _, id := range sim.ids {
			req := sim.requests[id]
			if req.outcome != "granted" || req.released {
				continue
			}
			for _, par := range req.parts {
				if par.Endpoint == fmt.Sprintf("e%d", i) {
					loa.Sequences = append(loa.Sequences, invoker.MemoryHolder{RequestID: req.event.Request.ID, Tokens: par.Tokens})
				}
			}
		}
		sim.apply(sim.cell.Next(Report{fmt.Sprintf("e%d", i), loa}, sim.now))
	}
}

// apply carries out actions and checks that they do not exceed the memory of an
// engine.
func (sim *simulation) apply(acts []Action) {
	for _, act := range slices.Clone(acts) {
		switch act := act.(type) {
		case MoveTo:
			req := sim.requests[act.ID]
			req.parts = append(req.parts, placer.Part{Endpoint: act.Endpoint, Tokens: req.parts[0].Tokens})
			continue
		case Stay:
			continue
		}
		req := sim.requests[requestIDOf(act)]
		if req.outcome != "" {
			sim.t.Fatalf("request %s got another reply after it was %s", req.event.ID, req.outcome)
		}
		switch act := act.(type) {
		case Refuse:
			req.outcome = "refused"
		case Grant:
			req.grant(sim, []placer.Part{{Endpoint: act.Endpoint, Tokens: req.event.Request.Need()}})
		case GrantGroup:
			req.grant(sim, act.Parts)
		}
	}
	if len(acts) > 0 {
		sim.checkMemory()
	}
}

func (sim *simulation) checkMemory() {
	for _, eng := range sim.cell.engines {
		var actual int64
		for _, req := range sim.requests {
			for _, par := range req.parts {
				if par.Endpoint == eng.id && !req.released {
					actual += par.Tokens
				}
			}
		}
		if actual > simEngineMemory {
			sim.t.Fatalf("engine %s has %d tokens of memory in use, more than its memory", eng.id, actual)
		}
	}
}

func (req *simRequest) grant(sim *simulation, parts []placer.Part) {
	var sum int64
	for _, par := range parts {
		sum += par.Tokens
	}
	if sum != req.event.Request.Need() || sim.now.After(req.event.Request.Deadline) {
		sim.t.Fatalf("request %s was granted %d of %d tokens at %s, want all by its deadline", req.event.ID, sum, req.event.Request.Need(), sim.now)
	}
	req.outcome = "granted"
	req.parts = parts
	req.groupRest = parts[1:]
	prefill := time.Duration(req.event.Request.PromptTokens) * time.Second / simPrefillRate / time.Duration(len(parts))
	req.doneAt = sim.now.Add(prefill + decodeTime)
	if req.doneAt.After(req.event.Request.Deadline) {
		req.doneAt = req.event.Request.Deadline
	}
}

// requireSettled checks that no state is left once all requests have ended.
func (sim *simulation) requireSettled() {
	require.Zero(sim.t, sim.cell.Waiting())
	require.Zero(sim.t, sim.cell.Granted())
	require.Nil(sim.t, sim.cell.promise)
	for _, eng := range sim.cell.engines {
		require.Zero(sim.t, eng.used)
		require.Zero(sim.t, eng.shortUsed)
		require.Empty(sim.t, eng.prefills)
		require.Zero(sim.t, eng.running)
		require.Zero(sim.t, eng.incomingMoves)
	}
}
