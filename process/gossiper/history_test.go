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

// cluster connects rosters in memory. A call fails if the link from caller to target is blocked.
type cluster struct {
	rosters map[string]*Roster
	ids     []string
	blocked map[[2]string]bool
	now     time.Time
	changes []StateChange
}

func newCluster(regions map[string]int) *cluster {
	clu := &cluster{rosters: map[string]*Roster{}, blocked: map[[2]string]bool{}, now: epoch}
	for _, region := range []string{"r1", "r2", "r3"} {
		for i := range regions[region] {
			clu.start(fmt.Sprintf("%s-%d", region, i), region)
		}
	}
	return clu
}

// start starts a host, or restarts it with the next incarnation.
func (clu *cluster) start(id, region string) {
	incarnation := uint64(1)
	if old := clu.rosters[id]; old != nil {
		incarnation = old.Self.Incarnation + 1
	} else {
		clu.ids = append(clu.ids, id)
	}
	clu.rosters[id] = &Roster{
		Self:   Peer{ID: id, Address: id, Region: region, Incarnation: incarnation, State: StateAlive},
		Random: rand.New(rand.NewPCG(uint64(len(clu.ids)), incarnation)),
	}
}

// tick lets each roster send one probe and advances the clock by one second.
func (clu *cluster) tick() {
	var all []Peer
	for _, id := range clu.ids {
		all = append(all, Peer{ID: id, Address: id})
	}
	for _, id := range clu.ids {
		clu.step(id, Listed{all})
		clu.step(id, Tick{})
	}
	clu.now = clu.now.Add(time.Second)
}

func (clu *cluster) step(id string, eve Event) {
	for _, act := range clu.rosters[id].Step(eve, clu.now) {
		switch act := act.(type) {
		case Probe:
			if !clu.call(id, id, act.Peer.ID) {
				clu.step(id, ProbeFailed{act.Peer.ID})
			}
		case IndirectProbe:
			clu.probeIndirectly(id, act)
		case StateChange:
			clu.changes = append(clu.changes, act)
		}
	}
}

func (clu *cluster) probeIndirectly(id string, act IndirectProbe) {
	for _, relay := range act.Relays {
		if !clu.blocked[[2]string{id, relay.ID}] && clu.call(id, relay.ID, act.Peer.ID) {
			return
		}
	}
	clu.step(id, IndirectProbeFailed{act.Peer.ID})
}

// call sends a probe from one host to another, either directly (via is the sender) or
// through a third host.
func (clu *cluster) call(from, via, to string) bool {
	if clu.blocked[[2]string{via, to}] {
		return false
	}
	caller, target := clu.rosters[from], clu.rosters[to]
	clu.step(to, Received{From: caller.Self, Updates: caller.NextUpdates(to)})
	dialAddress := ""
	if via == from {
		dialAddress = to
	}
	clu.step(from, Received{From: target.Self, DialAddress: dialAddress, Updates: target.NextUpdates(from)})
	return true
}

func (clu *cluster) blockRegions(a, b string, blocked bool) {
	for _, from := range clu.ids {
		for _, to := range clu.ids {
			if (from[:2] == a && to[:2] == b) || (from[:2] == b && to[:2] == a) {
				clu.blocked[[2]string{from, to}] = blocked
			}
		}
	}
}

// converged reports whether every roster has every other host as live.
func (clu *cluster) converged() bool {
	for _, ros := range clu.rosters {
		if len(ros.Live()) != len(clu.ids)-1 {
			return false
		}
	}
	return true
}

// converge ticks until the cluster has converged, and returns the number of ticks. It
// returns ticks if the cluster does not converge in fewer.
func (clu *cluster) converge(ticks int) int {
	for num := range ticks {
		if clu.converged() {
			return num
		}
		clu.tick()
	}
	return ticks
}

// An hour-long partition between two regions must declare no host dead and must take
// the other region out of Live only while it lasts.
func TestRegionPartitionForAnHour(t *testing.T) {
	clu := newCluster(map[string]int{"r1": 8, "r2": 8})
	require.Less(t, clu.converge(100), 100)
	clu.changes = nil
	clu.blockRegions("r1", "r2", true)
	for range 60 {
		clu.tick()
	}
	for _, ros := range clu.rosters {
		require.Len(t, ros.Live(), 7)
	}
	for range 3600 - 60 {
		clu.tick()
	}
	require.Empty(t, clu.changes, "no host changes its state")
	clu.blockRegions("r1", "r2", false)
	require.Less(t, clu.converge(60), 60)
}

// Membership must converge after any sequence of faults, and incarnations must never decrease.
func TestMembershipHistories(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		clu := newCluster(map[string]int{"r1": 3, "r2": 2, "r3": 1})
		clu.converge(100)
		last := map[[2]string]uint64{}
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			id := rapid.SampledFrom(clu.ids).Draw(rt, "one")
			peer := rapid.SampledFrom(clu.ids).Draw(rt, "two")
			switch rapid.SampledFrom([]string{"cut", "isolate", "join", "restart", "regions", "pause"}).Draw(rt, "fault") {
			case "cut":
				clu.blocked[[2]string{id, peer}] = id != peer
			case "isolate":
				for _, other := range clu.ids {
					clu.blocked[[2]string{id, other}] = id != other
					clu.blocked[[2]string{other, id}] = id != other
				}
			case "join":
				clear(clu.blocked)
			case "restart":
				clu.start(id, id[:2])
			case "regions":
				clu.blockRegions("r1", "r2", true)
			case "pause":
				clu.now = clu.now.Add(time.Minute)
			}
			for range rapid.IntRange(0, 10).Draw(rt, "ticks") {
				clu.tick()
			}
			clu.checkIncarnations(rt, last)
		}
		clear(clu.blocked)
		require.Less(rt, clu.converge(200), 200, "membership does not converge")
	})
}

// checkIncarnations requires that no roster returns to an earlier process of a host or
// holds an incarnation that the host never had.
func (clu *cluster) checkIncarnations(rt *rapid.T, last map[[2]string]uint64) {
	for _, id := range clu.ids {
		ros := clu.rosters[id]
		for _, other := range clu.ids {
			incarnation, _ := ros.Incarnation(other)
			key := [2]string{fmt.Sprintf("%s/%d", id, ros.Self.Incarnation), other}
			if incarnation != 0 {
				require.GreaterOrEqual(rt, incarnation, last[key])
				last[key] = incarnation
			}
			require.LessOrEqual(rt, incarnation, clu.rosters[other].Self.Incarnation)
		}
	}
}

// All hosts must declare a host dead that cannot be reached, and accept it again once
// it answers.
func TestDeadHost(t *testing.T) {
	clu := newCluster(map[string]int{"r1": 6, "r2": 6})
	clu.converge(100)
	for _, other := range clu.ids {
		clu.blocked[[2]string{"r1-0", other}] = other != "r1-0"
		clu.blocked[[2]string{other, "r1-0"}] = other != "r1-0"
	}
	for range 30 {
		clu.tick()
	}
	for _, id := range clu.ids[1:] {
		_, alive := clu.rosters[id].Incarnation("r1-0")
		require.False(t, alive, "host %s", id)
	}
	clear(clu.blocked)
	require.Less(t, clu.converge(60), 60)
}

// A host that restarts with its clock behind gets a lower incarnation than its earlier
// process. Peers must accept it, whether they have declared the earlier process dead or
// not, and StartIncarnation must stay the incarnation with which the restarted process began.
func TestClockBehind(t *testing.T) {
	for _, tt := range []struct {
		name      string
		ticksDown int
	}{{"restarted at once", 0}, {"declared dead before the restart", 30}} {
		t.Run(tt.name, func(t *testing.T) {
			clu := newCluster(map[string]int{"r1": 4, "r2": 2})
			// Eight restarts give the host incarnation 9.
			for range 8 {
				clu.start("r1-0", "r1")
			}
			clu.converge(100)
			clu.blockRegions("r1", "r2", true)
			for range tt.ticksDown {
				for _, other := range clu.ids {
					clu.blocked[[2]string{other, "r1-0"}] = other != "r1-0"
				}
				clu.tick()
			}
			clear(clu.blocked)
			// start adds 1 to the incarnation of the earlier roster: the host gets 2, below
			// the 9 that its peers know.
			clu.rosters["r1-0"].Self.Incarnation = 1
			clu.start("r1-0", "r1")
			clu.rosters["r1-0"].Self.Started = 2
			for range 30 {
				clu.tick()
			}
			for _, id := range clu.ids {
				incarnation, alive := clu.rosters[id].Incarnation("r1-0")
				require.True(t, alive, "host %s", id)
				require.Equal(t, clu.rosters["r1-0"].Self.Incarnation, incarnation, "host %s", id)
				require.Equal(t, uint64(2), clu.rosters[id].StartIncarnation("r1-0"), "host %s", id)
			}
			require.Greater(t, clu.rosters["r1-0"].Self.Incarnation, uint64(9))
		})
	}
}

// A host whose own calls all fail must stop suspecting its peers, since its own link is
// the likely fault.
func TestIsolatedHostStopsSuspecting(t *testing.T) {
	clu := newCluster(map[string]int{"r1": 8})
	clu.converge(100)
	clu.changes = nil
	for _, other := range clu.ids {
		clu.blocked[[2]string{"r1-0", other}] = other != "r1-0"
	}
	for range 300 {
		clu.tick()
	}
	seen := map[string]bool{}
	for _, change := range clu.changes {
		seen[change.ID] = true
		require.NotEqual(t, StateDead, change.New)
	}
	require.Less(t, len(seen), isolatedAfter)
}

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
