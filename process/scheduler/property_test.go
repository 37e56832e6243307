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
	worldStep    = 25 * time.Millisecond
	worldMemory  = 400_000
	worldRate    = 200_000
	reportEvery  = 250 * time.Millisecond
	repeatEvery  = time.Second
	worldArrival = 5 * time.Second
	settleSteps  = 35 * 40
	answerTime   = 200 * time.Millisecond
)

// world runs a cell against engines that do what they are granted. Notices of
// first tokens and of ends get lost at random.
type world struct {
	t    *rapid.T
	cel  *Cell
	now  time.Time
	live []bool
	asks map[string]*worldAsk
	ids  []string
}

type worldAsk struct {
	eve      Request
	asked    time.Time
	parts    []placer.Part
	group    []placer.Part
	doneAt   time.Time
	outcome  string
	lost     bool
	released bool
	// move is whether the answer moves: "", "asked", "moved", "stayed" or "lost".
	move string
}

func TestCellProperties(t *testing.T) {
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		require.NoError(t, flag.Set("rapid.seed", "20260104"))
	}
	rapid.Check(t, func(t *rapid.T) {
		cou := rapid.IntRange(1, 6).Draw(t, "Engines")
		wor := &world{t: t, cel: newCell(cou, epoch), now: epoch, live: make([]bool, cou), asks: map[string]*worldAsk{}}
		for ind := range wor.live {
			wor.live[ind] = true
		}
		for wor.now.Sub(epoch) < worldArrival {
			wor.arrive()
			for range 2 {
				wor.step()
			}
		}
		for range settleSteps {
			wor.step()
		}
		wor.settled()
	})
}

func (wor *world) arrive() {
	if rapid.IntRange(0, 9).Draw(wor.t, "Arrival") > 5 {
		return
	}
	tok := rapid.SampledFrom([]int64{500, 1000, 4000, 20_000, 120_000, 380_000, 900_000}).Draw(wor.t, "Tokens")
	id := fmt.Sprintf("a%d", len(wor.ids))
	wor.ids = append(wor.ids, id)
	wor.asks[id] = &worldAsk{lost: rapid.IntRange(0, 9).Draw(wor.t, "Lost") == 0, asked: wor.now, eve: Request{ID: id, Host: "h", Incarnation: 1, Request: placer.Request{
		ID: "r" + id, Team: rapid.SampledFrom([]string{"t", "u"}).Draw(wor.t, "Team"), Model: "m", PromptTokens: tok, MaxTokens: 10,
		Priority: rapid.IntRange(0, 2).Draw(wor.t, "Priority"), Deadline: wor.now.Add(time.Duration(rapid.IntRange(1, 30).Draw(wor.t, "Limit")) * time.Second),
	}}}
	wor.take(wor.cel.Next(wor.asks[id].eve, wor.now))
}

// fault stops the reports of an engine, or lets it report again.
func (wor *world) fault() {
	if rapid.IntRange(0, 9).Draw(wor.t, "Fault") == 0 {
		ind := rapid.IntRange(0, len(wor.live)-1).Draw(wor.t, "Engine")
		wor.live[ind] = !wor.live[ind]
	}
}

func (wor *world) step() {
	wor.now = wor.now.Add(worldStep)
	for _, id := range wor.ids {
		one := wor.asks[id]
		switch {
		case one.outcome == "" && wor.now.Sub(one.asked) >= repeatEvery:
			one.asked = wor.now
			wor.take(wor.cel.Next(one.eve, wor.now))
		case one.outcome == "granted" && !one.released && wor.now.Before(one.doneAt):
			wor.move(one)
		case one.outcome == "granted" && !one.released:
			one.released = true
			if !one.lost {
				wor.take(wor.cel.Next(Prefilled{id}, wor.now))
				wor.take(wor.cel.Next(Release{id}, wor.now))
			}
		}
	}
	if wor.now.Sub(epoch)%reportEvery == 0 {
		if wor.now.Sub(epoch) < worldArrival {
			wor.fault()
		}
		wor.report()
	}
	wor.take(wor.cel.Next(Tick{}, wor.now))
	for _, id := range wor.ids {
		one := wor.asks[id]
		if one.outcome == "" && wor.now.After(one.eve.Request.Deadline.Add(sweepInterval)) {
			wor.t.Fatalf("%s has no answer by its deadline", id)
		}
	}
}

// move asks, once the first token is there, and tells or loses the outcome a
// step later. The request holds memory on both engines meanwhile.
func (wor *world) move(one *worldAsk) {
	switch {
	case one.move == "" && wor.now.Add(answerTime).After(one.doneAt):
		one.move = rapid.SampledFrom([]string{"asked", "stayed"}).Draw(wor.t, "Move")
		if one.move == "asked" {
			wor.take(wor.cel.Next(Move{one.eve.ID}, wor.now))
		}
	case one.move == "asked":
		one.move = rapid.SampledFrom([]string{"moved", "stayed", "lost"}).Draw(wor.t, "Outcome")
		tar := one.parts[1:]
		switch {
		case len(one.group) > 0 || len(tar) == 0:
		case one.move == "moved":
			one.parts = tar
			wor.take(wor.cel.Next(Moved{one.eve.ID}, wor.now))
		case one.move == "stayed":
			one.parts = one.parts[:1]
			wor.take(wor.cel.Next(Stayed{one.eve.ID}, wor.now))
		}
	}
}

func (wor *world) report() {
	for ind, liv := range wor.live {
		if !liv {
			continue
		}
		loa := invoker.Load{MemoryTokens: worldMemory, PrefillRate: worldRate, StepMs: 10}
		for _, id := range wor.ids {
			one := wor.asks[id]
			if one.outcome != "granted" || one.released {
				continue
			}
			for _, par := range one.parts {
				if par.Endpoint == fmt.Sprintf("e%d", ind) {
					loa.Sequences = append(loa.Sequences, invoker.Sequence{RequestID: one.eve.Request.ID, Tokens: par.Tokens})
				}
			}
		}
		wor.take(wor.cel.Next(Report{fmt.Sprintf("e%d", ind), loa}, wor.now))
	}
}

// take carries actions out and checks them against the engines' true memory.
func (wor *world) take(acts []Action) {
	for _, act := range slices.Clone(acts) {
		switch act := act.(type) {
		case MoveTo:
			one := wor.asks[act.ID]
			one.parts = append(one.parts, placer.Part{Endpoint: act.Endpoint, Tokens: one.parts[0].Tokens})
			continue
		case Stay:
			continue
		}
		one := wor.asks[askOf(act)]
		if one.outcome != "" {
			wor.t.Fatalf("%s is answered again after %s", one.eve.ID, one.outcome)
		}
		switch act := act.(type) {
		case Refuse:
			one.outcome = "refused"
		case Grant:
			one.grant(wor, []placer.Part{{Endpoint: act.Endpoint, Tokens: one.eve.Request.Need()}})
		case GrantGroup:
			one.grant(wor, act.Parts)
		}
	}
	if len(acts) > 0 {
		wor.checkMemory()
	}
}

func (wor *world) checkMemory() {
	for _, eng := range wor.cel.engines {
		var tru int64
		for _, oth := range wor.asks {
			for _, par := range oth.parts {
				if par.Endpoint == eng.id && !oth.released {
					tru += par.Tokens
				}
			}
		}
		if tru > worldMemory {
			wor.t.Fatalf("%s holds %d tokens", eng.id, tru)
		}
	}
}

func (one *worldAsk) grant(wor *world, pars []placer.Part) {
	var sum int64
	for _, par := range pars {
		sum += par.Tokens
	}
	if sum != one.eve.Request.Need() || wor.now.After(one.eve.Request.Deadline) {
		wor.t.Fatalf("%s got %d tokens of %d at %s", one.eve.ID, sum, one.eve.Request.Need(), wor.now)
	}
	one.outcome = "granted"
	one.parts = pars
	one.group = pars[1:]
	pre := time.Duration(one.eve.Request.PromptTokens) * time.Second / worldRate / time.Duration(len(pars))
	one.doneAt = wor.now.Add(pre + answerTime)
	if one.doneAt.After(one.eve.Request.Deadline) {
		one.doneAt = one.eve.Request.Deadline
	}
}

// settled checks that nothing is left behind once all requests have ended.
func (wor *world) settled() {
	require.Zero(wor.t, wor.cel.Waiting())
	require.Zero(wor.t, wor.cel.Granted())
	require.Nil(wor.t, wor.cel.promise)
	for _, eng := range wor.cel.engines {
		require.Zero(wor.t, eng.used)
		require.Zero(wor.t, eng.shortUsed)
		require.Empty(wor.t, eng.prefills)
		require.Zero(wor.t, eng.running)
		require.Zero(wor.t, eng.moves)
	}
}
