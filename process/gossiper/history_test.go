package gossiper

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// net joins rosters in memory. A call is lost if its pair is cut.
type net struct {
	rosters map[string]*Roster
	ids     []string
	cut     map[[2]string]bool
	now     time.Time
	notes   []Note
}

func newNet(regs map[string]int) *net {
	ner := &net{rosters: map[string]*Roster{}, cut: map[[2]string]bool{}, now: epoch}
	for _, reg := range []string{"r1", "r2", "r3"} {
		for ind := range regs[reg] {
			ner.start(fmt.Sprintf("%s-%d", reg, ind), reg)
		}
	}
	return ner
}

func (ner *net) start(id, reg string) {
	inc := uint64(1)
	if old := ner.rosters[id]; old != nil {
		inc = old.Self.Incarnation + 1
	} else {
		ner.ids = append(ner.ids, id)
	}
	ner.rosters[id] = &Roster{
		Self:   Peer{ID: id, Address: id, Region: reg, Incarnation: inc, State: StateAlive},
		Random: rand.New(rand.NewPCG(uint64(len(ner.ids)), inc)),
	}
}

// tick lets each roster probe once, and one second pass.
func (ner *net) tick() {
	var all []Peer
	for _, id := range ner.ids {
		all = append(all, Peer{ID: id, Address: id})
	}
	for _, id := range ner.ids {
		ner.step(id, Listed{all})
		ner.step(id, Tick{})
	}
	ner.now = ner.now.Add(time.Second)
}

func (ner *net) step(id string, eve Event) {
	for _, act := range ner.rosters[id].Step(eve, ner.now) {
		switch act := act.(type) {
		case Probe:
			if !ner.call(id, id, act.Peer.ID) {
				ner.step(id, Missed{act.Peer.ID})
			}
		case ProbeVia:
			ner.via(id, act)
		case Note:
			ner.notes = append(ner.notes, act)
		}
	}
}

func (ner *net) via(id string, act ProbeVia) {
	for _, via := range act.Vias {
		if !ner.cut[[2]string{id, via.ID}] && ner.call(id, via.ID, act.Peer.ID) {
			return
		}
	}
	ner.step(id, Unreached{act.Peer.ID})
}

// call carries a probe of one host over another to a third.
func (ner *net) call(from, over, to string) bool {
	if ner.cut[[2]string{over, to}] {
		return false
	}
	fro, tar := ner.rosters[from], ner.rosters[to]
	ner.step(to, Heard{From: fro.Self, Updates: fro.Updates(to)})
	rea := ""
	if over == from {
		rea = to
	}
	ner.step(from, Heard{From: tar.Self, Reached: rea, Updates: tar.Updates(from)})
	return true
}

func (ner *net) cutRegions(one, two string, cut bool) {
	for _, fro := range ner.ids {
		for _, to := range ner.ids {
			if (fro[:2] == one && to[:2] == two) || (fro[:2] == two && to[:2] == one) {
				ner.cut[[2]string{fro, to}] = cut
			}
		}
	}
}

// whole reports whether every roster holds every other host live.
func (ner *net) whole() bool {
	for _, ros := range ner.rosters {
		if len(ros.Live()) != len(ner.ids)-1 {
			return false
		}
	}
	return true
}

func (ner *net) settle(ticks int) int {
	for num := range ticks {
		if ner.whole() {
			return num
		}
		ner.tick()
	}
	return ticks
}

// A cut between regions for an hour declares nobody dead, hides the other side
// from duties, and ends without a trace.
func TestRegionsCutForAnHour(t *testing.T) {
	ner := newNet(map[string]int{"r1": 8, "r2": 8})
	require.Less(t, ner.settle(100), 100)
	ner.notes = nil
	ner.cutRegions("r1", "r2", true)
	for range 60 {
		ner.tick()
	}
	for _, ros := range ner.rosters {
		require.Len(t, ros.Live(), 7)
	}
	for range 3600 - 60 {
		ner.tick()
	}
	require.Empty(t, ner.notes, "no host changes its state")
	ner.cutRegions("r1", "r2", false)
	require.Less(t, ner.settle(60), 60)
}

// Faults of any kind are forgotten once they end; incarnations never go back.
func TestMembershipHistories(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ner := newNet(map[string]int{"r1": 3, "r2": 2, "r3": 1})
		ner.settle(100)
		last := map[[2]string]uint64{}
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			one := rapid.SampledFrom(ner.ids).Draw(rt, "one")
			two := rapid.SampledFrom(ner.ids).Draw(rt, "two")
			switch rapid.SampledFrom([]string{"cut", "isolate", "join", "restart", "regions", "pause"}).Draw(rt, "fault") {
			case "cut":
				ner.cut[[2]string{one, two}] = one != two
			case "isolate":
				for _, oth := range ner.ids {
					ner.cut[[2]string{one, oth}] = one != oth
					ner.cut[[2]string{oth, one}] = one != oth
				}
			case "join":
				clear(ner.cut)
			case "restart":
				ner.start(one, one[:2])
			case "regions":
				ner.cutRegions("r1", "r2", true)
			case "pause":
				ner.now = ner.now.Add(time.Minute)
			}
			for range rapid.IntRange(0, 10).Draw(rt, "ticks") {
				ner.tick()
			}
			ner.checkIncarnations(rt, last)
		}
		clear(ner.cut)
		require.Less(rt, ner.settle(200), 200, "membership does not settle")
	})
}

// checkIncarnations requires that no roster goes back to an earlier process, nor
// knows one that never was.
func (ner *net) checkIncarnations(rt *rapid.T, last map[[2]string]uint64) {
	for _, id := range ner.ids {
		ros := ner.rosters[id]
		for _, oth := range ner.ids {
			inc, _ := ros.Incarnation(oth)
			key := [2]string{fmt.Sprintf("%s/%d", id, ros.Self.Incarnation), oth}
			if inc != 0 {
				require.GreaterOrEqual(rt, inc, last[key])
				last[key] = inc
			}
			require.LessOrEqual(rt, inc, ner.rosters[oth].Self.Incarnation)
		}
	}
}

// A host that has died is found by all, one that is frozen comes back.
func TestDeadHost(t *testing.T) {
	ner := newNet(map[string]int{"r1": 6, "r2": 6})
	ner.settle(100)
	for _, oth := range ner.ids {
		ner.cut[[2]string{"r1-0", oth}] = oth != "r1-0"
		ner.cut[[2]string{oth, "r1-0"}] = oth != "r1-0"
	}
	for range 30 {
		ner.tick()
	}
	for _, id := range ner.ids[1:] {
		_, ali := ner.rosters[id].Incarnation("r1-0")
		require.False(t, ali, "host %s", id)
	}
	clear(ner.cut)
	require.Less(t, ner.settle(60), 60)
}

// A host whose own calls are all lost stops to suspect the others.
func TestHostDoubtsItself(t *testing.T) {
	ner := newNet(map[string]int{"r1": 8})
	ner.settle(100)
	ner.notes = nil
	for _, oth := range ner.ids {
		ner.cut[[2]string{"r1-0", oth}] = oth != "r1-0"
	}
	for range 300 {
		ner.tick()
	}
	see := map[string]bool{}
	for _, not := range ner.notes {
		see[not.ID] = true
		require.NotEqual(t, StateDead, not.Is)
	}
	require.Less(t, len(see), doubtAfter)
}

// TestMain fixes the seed of the random histories.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
