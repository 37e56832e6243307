package limiter

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"hemlockpin/version/parser"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
)

const (
	simulationStep = 10 * time.Millisecond
	requestTokens  = 500
)

// simulation simulates hosts and their coordinators. The hosts' exchanges are spread over
// the interval, and some are lost.
type simulation struct {
	now          time.Time
	limiters     []*Limiter
	coordinators []*Coordinator
	// lostExchangesPercent is the part of the exchanges that is lost as a whole, in per
	// cent.
	lostExchangesPercent int
	// lostRepliesPercent is the part of the replies that is lost after the coordinator
	// has recorded the demands, in per cent.
	lostRepliesPercent int
	withoutCoordinator int
	coordinatorLosses  int
	restarts           int
	rnd                *rand.Rand
	team               parser.Team
	steps              int
}

// TestLimits checks that hosts do not admit more than Fleet.Bound when exchanges,
// coordinators and hosts fail. Each phase of a data file offers a team's requests to
// the hosts and prints what was admitted, relative to the team's rate.
func TestLimits(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var sim *simulation
		datadriven.RunTest(t, path, func(t *testing.T, dat *datadriven.TestData) string {
			switch dat.Cmd {
			case "fleet":
				sim = newSimulation(intArg(t, dat, "hosts"), intArg(t, dat, "rate"))
				return ""
			case "counted":
				for _, lim := range sim.limiters {
					lim.SetHosts(len(sim.limiters) / len(sim.coordinators))
				}
				return ""
			case "keeper-lost":
				sim.coordinators = []*Coordinator{{}}
				sim.coordinatorLosses++
				return ""
			case "split":
				sim.coordinators = append(sim.coordinators, &Coordinator{})
				return ""
			case "restarted":
				for i := range intArg(t, dat, "hosts") {
					sim.limiters[i] = &Limiter{}
					sim.limiters[i].SetHosts(len(sim.limiters))
					sim.restarts++
				}
				return ""
			case "spaced":
				return sim.offerSpaced(t, dat)
			case "cut":
				sim.withoutCoordinator = intArg(t, dat, "hosts")
				return ""
			default:
				return sim.offer(t, dat)
			}
		})
	})
}

func intArg(t *testing.T, dat *datadriven.TestData, key string) int {
	n := 0
	dat.MaybeScanArgs(t, key, &n)
	return n
}

func newSimulation(hosts, rate int) *simulation {
	sim := &simulation{now: time.Unix(0, 0), coordinators: []*Coordinator{{}}, rnd: rand.New(rand.NewPCG(5, 6)), team: parser.Team{Name: "t", TokensPerSecond: float64(rate)}}
	for range hosts {
		sim.limiters = append(sim.limiters, &Limiter{})
	}
	return sim
}

// offer sends a load, in per cent of the rate, to some of the hosts.
func (sim *simulation) offer(t *testing.T, dat *datadriven.TestData) string {
	from, count, seconds := intArg(t, dat, "from"), intArg(t, dat, "hosts"), intArg(t, dat, "seconds")
	load := sim.team.TokensPerSecond * float64(intArg(t, dat, "percent")) / 100
	sim.lostExchangesPercent = intArg(t, dat, "lost-percent")
	sim.lostRepliesPercent = intArg(t, dat, "lost-replies-percent")
	jumpSeconds := intArg(t, dat, "jump-seconds")
	var admitted, due float64
	start := sim.now
	for range time.Duration(seconds) * time.Second / simulationStep {
		for due += load * simulationStep.Seconds(); due >= requestTokens; due -= requestTokens {
			if _, ok := sim.limiters[(from+sim.jumps(start, jumpSeconds)*count+sim.rnd.IntN(count))%len(sim.limiters)].Take(sim.team, requestTokens, sim.now); ok {
				admitted += requestTokens
			}
		}
		sim.step()
	}
	return sim.checkBound(t, admitted, start, requestTokens)
}

// offerSpaced sends one large request to each host at a time, with long pauses.
func (sim *simulation) offerSpaced(t *testing.T, dat *datadriven.TestData) string {
	tokens, pause := int64(intArg(t, dat, "tokens")), time.Duration(intArg(t, dat, "pause"))*time.Second
	start, admitted := sim.now, int64(0)
	for range intArg(t, dat, "times") {
		for _, lim := range sim.limiters {
			if _, ok := lim.Take(sim.team, tokens, sim.now); ok {
				admitted += tokens
			}
		}
		for end := sim.now.Add(pause); sim.now.Before(end); {
			sim.step()
		}
	}
	return sim.checkBound(t, float64(admitted), start, tokens)
}

// checkBound checks what was admitted against the bound.
func (sim *simulation) checkBound(t *testing.T, admitted float64, start time.Time, largestRequest int64) string {
	rate, period := sim.team.TokensPerSecond, sim.now.Sub(start)
	bound := Fleet{Hosts: len(sim.limiters), WithoutCoordinator: sim.withoutCoordinator, Partitions: len(sim.coordinators), Restarts: sim.restarts, CoordinatorLosses: sim.coordinatorLosses}.Bound(rate, period, largestRequest)
	require.LessOrEqual(t, admitted, bound, "the hosts admitted more tokens than Fleet.Bound")
	return fmt.Sprintf("%.1f of the rate\n", admitted/(rate*period.Seconds()))
}

// jumps returns how often the load has moved on to other hosts.
func (sim *simulation) jumps(start time.Time, seconds int) int {
	if seconds == 0 {
		return 0
	}
	return int(sim.now.Sub(start) / time.Second / time.Duration(seconds))
}

func (sim *simulation) step() {
	sim.now = sim.now.Add(simulationStep)
	sim.steps++
	period := int(Interval / simulationStep)
	for i, lim := range sim.limiters {
		if sim.steps%period != i*period/len(sim.limiters) || i < sim.withoutCoordinator || sim.rnd.IntN(100) < sim.lostExchangesPercent {
			continue
		}
		dems := lim.Demands(sim.now)
		shas := sim.coordinators[i%len(sim.coordinators)].Report(fmt.Sprint(i), dems, sim.now)
		if sim.lostRepliesPercent == 0 || sim.rnd.IntN(100) >= sim.lostRepliesPercent {
			lim.SetShares(shas, sim.now)
		}
	}
}
