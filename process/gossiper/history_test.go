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

// fabric joins rosters in memory. A call is lost if its pair is cut.
type fabric struct {
	rosters map[string]*Roster
	ids     []string
	cut     map[[2]string]bool
	now     time.Time
	notes   []StateChange
}

func newFabric(regs map[string]int) *fabric {
	fab := &fabric{rosters: map[string]*Roster{}, cut: map[[2]string]bool{}, now: epoch}
	for _, reg := range []string{"r1", "r2", "r3"} {
		for ind := range regs[reg] {
			fab.start(fmt.Sprintf("%s-%d", reg, ind), reg)
		}
	}
	return fab
}

func (fab *fabric) start(id, reg string) {
	inc := uint64(1)
	if old := fab.rosters[id]; old != nil {
		inc = old.Self.Incarnation + 1
	} else {
		fab.ids = append(fab.ids, id)
	}
	fab.rosters[id] = &Roster{
		Self:   Peer{ID: id, Address: id, Region: reg, Incarnation: inc, State: StateAlive},
		Random: rand.New(rand.NewPCG(uint64(len(fab.ids)), inc)),
	}
}

// tick lets each roster probe once, and one second pass.
func (fab *fabric) tick() {
	var all []Peer
	for _, id := range fab.ids {
		all = append(all, Peer{ID: id, Address: id})
	}
	for _, id := range fab.ids {
		fab.step(id, Listed{all})
		fab.step(id, Tick{})
	}
	fab.now = fab.now.Add(time.Second)
}

func (fab *fabric) step(id string, eve Event) {
	for _, act := range fab.rosters[id].Step(eve, fab.now) {
		switch act := act.(type) {
		case Probe:
			if !fab.call(id, id, act.Peer.ID) {
				fab.step(id, ProbeFailed{act.Peer.ID})
			}
		case IndirectProbe:
			fab.via(id, act)
		case StateChange:
			fab.notes = append(fab.notes, act)
		}
	}
}

func (fab *fabric) via(id string, act IndirectProbe) {
	for _, via := range act.Relays {
		if !fab.cut[[2]string{id, via.ID}] && fab.call(id, via.ID, act.Peer.ID) {
			return
		}
	}
	fab.step(id, IndirectProbeFailed{act.Peer.ID})
}

// call carries a probe of one host over another to a third.
func (fab *fabric) call(from, over, to string) bool {
	if fab.cut[[2]string{over, to}] {
		return false
	}
	fro, tar := fab.rosters[from], fab.rosters[to]
	fab.step(to, Received{From: fro.Self, Updates: fro.Updates(to)})
	rea := ""
	if over == from {
		rea = to
	}
	fab.step(from, Received{From: tar.Self, DialAddress: rea, Updates: tar.Updates(from)})
	return true
}

func (fab *fabric) cutRegions(one, two string, cut bool) {
	for _, fro := range fab.ids {
		for _, to := range fab.ids {
			if (fro[:2] == one && to[:2] == two) || (fro[:2] == two && to[:2] == one) {
				fab.cut[[2]string{fro, to}] = cut
			}
		}
	}
}

// whole reports whether every roster holds every other host live.
func (fab *fabric) whole() bool {
	for _, ros := range fab.rosters {
		if len(ros.Live()) != len(fab.ids)-1 {
			return false
		}
	}
	return true
}

func (fab *fabric) settle(ticks int) int {
	for num := range ticks {
		if fab.whole() {
			return num
		}
		fab.tick()
	}
	return ticks
}

// A cut between regions for an hour declares nobody dead, hides the other side
// from duties, and ends without a trace.
func TestRegionsCutForAnHour(t *testing.T) {
	fab := newFabric(map[string]int{"r1": 8, "r2": 8})
	require.Less(t, fab.settle(100), 100)
	fab.notes = nil
	fab.cutRegions("r1", "r2", true)
	for range 60 {
		fab.tick()
	}
	for _, ros := range fab.rosters {
		require.Len(t, ros.Live(), 7)
	}
	for range 3600 - 60 {
		fab.tick()
	}
	require.Empty(t, fab.notes, "no host changes its state")
	fab.cutRegions("r1", "r2", false)
	require.Less(t, fab.settle(60), 60)
}

// Faults of any kind are forgotten once they end; incarnations never go back.
func TestMembershipHistories(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		fab := newFabric(map[string]int{"r1": 3, "r2": 2, "r3": 1})
		fab.settle(100)
		last := map[[2]string]uint64{}
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			one := rapid.SampledFrom(fab.ids).Draw(rt, "one")
			two := rapid.SampledFrom(fab.ids).Draw(rt, "two")
			switch rapid.SampledFrom([]string{"cut", "isolate", "join", "restart", "regions", "pause"}).Draw(rt, "fault") {
			case "cut":
				fab.cut[[2]string{one, two}] = one != two
			case "isolate":
				for _, oth := range fab.ids {
					fab.cut[[2]string{one, oth}] = one != oth
					fab.cut[[2]string{oth, one}] = one != oth
				}
			case "join":
				clear(fab.cut)
			case "restart":
				fab.start(one, one[:2])
			case "regions":
				fab.cutRegions("r1", "r2", true)
			case "pause":
				fab.now = fab.now.Add(time.Minute)
			}
			for range rapid.IntRange(0, 10).Draw(rt, "ticks") {
				fab.tick()
			}
			fab.checkIncarnations(rt, last)
		}
		clear(fab.cut)
		require.Less(rt, fab.settle(200), 200, "membership does not settle")
	})
}

// checkIncarnations requires that no roster goes back to an earlier process, nor
// knows one that never was.
func (fab *fabric) checkIncarnations(rt *rapid.T, last map[[2]string]uint64) {
	for _, id := range fab.ids {
		ros := fab.rosters[id]
		for _, oth := range fab.ids {
			inc, _ := ros.Incarnation(oth)
			key := [2]string{fmt.Sprintf("%s/%d", id, ros.Self.Incarnation), oth}
			if inc != 0 {
				require.GreaterOrEqual(rt, inc, last[key])
				last[key] = inc
			}
			require.LessOrEqual(rt, inc, fab.rosters[oth].Self.Incarnation)
		}
	}
}

// A host that has died is found by all, one that is frozen comes back.
func TestDeadHost(t *testing.T) {
	fab := newFabric(map[string]int{"r1": 6, "r2": 6})
	fab.settle(100)
	for _, oth := range fab.ids {
		fab.cut[[2]string{"r1-0", oth}] = oth != "r1-0"
		fab.cut[[2]string{oth, "r1-0"}] = oth != "r1-0"
	}
	for range 30 {
		fab.tick()
	}
	for _, id := range fab.ids[1:] {
		_, ali := fab.rosters[id].Incarnation("r1-0")
		require.False(t, ali, "host %s", id)
	}
	clear(fab.cut)
	require.Less(t, fab.settle(60), 60)
}

// A host that is started with its clock behind is not ignored, whether its
// earlier process was found dead or not, and does not lose its own work.
func TestClockBehind(t *testing.T) {
	for _, tt := range []struct {
		name string
		dead int
	}{{"at once", 0}, {"found dead", 30}} {
		t.Run(tt.name, func(t *testing.T) {
			fab := newFabric(map[string]int{"r1": 4, "r2": 2})
			for range 8 {
				fab.start("r1-0", "r1")
			}
			fab.settle(100)
			fab.cutRegions("r1", "r2", true)
			for range tt.dead {
				for _, oth := range fab.ids {
					fab.cut[[2]string{oth, "r1-0"}] = oth != "r1-0"
				}
				fab.tick()
			}
			clear(fab.cut)
			fab.rosters["r1-0"].Self.Incarnation = 1
			fab.start("r1-0", "r1")
			fab.rosters["r1-0"].Self.Started = 2
			for range 30 {
				fab.tick()
			}
			for _, id := range fab.ids {
				inc, ali := fab.rosters[id].Incarnation("r1-0")
				require.True(t, ali, "host %s", id)
				require.Equal(t, fab.rosters["r1-0"].Self.Incarnation, inc, "host %s", id)
				require.Equal(t, uint64(2), fab.rosters[id].Started("r1-0"), "host %s", id)
			}
			require.Greater(t, fab.rosters["r1-0"].Self.Incarnation, uint64(9))
		})
	}
}

// A host whose own calls are all lost stops to suspect the others.
func TestHostDoubtsItself(t *testing.T) {
	fab := newFabric(map[string]int{"r1": 8})
	fab.settle(100)
	fab.notes = nil
	for _, oth := range fab.ids {
		fab.cut[[2]string{"r1-0", oth}] = oth != "r1-0"
	}
	for range 300 {
		fab.tick()
	}
	see := map[string]bool{}
	for _, not := range fab.notes {
		see[not.ID] = true
		require.NotEqual(t, StateDead, not.New)
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
