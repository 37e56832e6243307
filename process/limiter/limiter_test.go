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
	fleetStep     = 10 * time.Millisecond
	requestTokens = 500
)

// fleet is a number of hosts with one keeper. Exchanges of hosts are spread
// over the interval and some get lost.
type fleet struct {
	now  time.Time
	lims []*Limiter
	kees []*Coordinator
	lost int
	// replies is the share of replies that get lost, in per cent.
	replies  int
	cut      int
	losses   int
	restarts int
	ran      *rand.Rand
	tea      parser.Team
	steps    int
}

// TestLimits offers a team's requests to the hosts of a fleet and prints what
// was admitted, in parts of the rate, for each phase.
func TestLimits(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var fle *fleet
		datadriven.RunTest(t, path, func(t *testing.T, dat *datadriven.TestData) string {
			switch dat.Cmd {
			case "fleet":
				fle = newFleet(number(t, dat, "hosts"), number(t, dat, "rate"))
				return ""
			case "counted":
				for _, lim := range fle.lims {
					lim.SetHosts(len(fle.lims) / len(fle.kees))
				}
				return ""
			case "keeper-lost":
				fle.kees = []*Coordinator{{}}
				fle.losses++
				return ""
			case "split":
				fle.kees = append(fle.kees, &Coordinator{})
				return ""
			case "restarted":
				for ind := range number(t, dat, "hosts") {
					fle.lims[ind] = &Limiter{}
					fle.lims[ind].SetHosts(len(fle.lims))
					fle.restarts++
				}
				return ""
			case "spaced":
				return fle.spaced(t, dat)
			case "cut":
				fle.cut = number(t, dat, "hosts")
				return ""
			default:
				return fle.offer(t, dat)
			}
		})
	})
}

func number(t *testing.T, dat *datadriven.TestData, key string) int {
	val := 0
	dat.MaybeScanArgs(t, key, &val)
	return val
}

func newFleet(hosts, rate int) *fleet {
	fle := &fleet{now: time.Unix(0, 0), kees: []*Coordinator{{}}, ran: rand.New(rand.NewPCG(5, 6)), tea: parser.Team{Name: "t", TokensPerSecond: float64(rate)}}
	for range hosts {
		fle.lims = append(fle.lims, &Limiter{})
	}
	return fle
}

// offer sends a load, in per cent of the rate, to some of the hosts.
func (fle *fleet) offer(t *testing.T, dat *datadriven.TestData) string {
	fro, cou, sec := number(t, dat, "from"), number(t, dat, "hosts"), number(t, dat, "seconds")
	loa := fle.tea.TokensPerSecond * float64(number(t, dat, "percent")) / 100
	fle.lost = number(t, dat, "lost-percent")
	fle.replies = number(t, dat, "lost-replies-percent")
	jum := number(t, dat, "jump-seconds")
	var adm, due float64
	beg := fle.now
	for range time.Duration(sec) * time.Second / fleetStep {
		for due += loa * fleetStep.Seconds(); due >= requestTokens; due -= requestTokens {
			if _, ok := fle.lims[(fro+fle.jumps(beg, jum)*cou+fle.ran.IntN(cou))%len(fle.lims)].Take(fle.tea, requestTokens, fle.now); ok {
				adm += requestTokens
			}
		}
		fle.step()
	}
	return fle.judge(t, adm, beg, requestTokens)
}

// spaced sends one large request to each host at a time, with long pauses.
func (fle *fleet) spaced(t *testing.T, dat *datadriven.TestData) string {
	tok, pau := int64(number(t, dat, "tokens")), time.Duration(number(t, dat, "pause"))*time.Second
	beg, adm := fle.now, int64(0)
	for range number(t, dat, "times") {
		for _, lim := range fle.lims {
			if _, ok := lim.Take(fle.tea, tok, fle.now); ok {
				adm += tok
			}
		}
		for end := fle.now.Add(pau); fle.now.Before(end); {
			fle.step()
		}
	}
	return fle.judge(t, float64(adm), beg, tok)
}

// judge holds what was admitted against the bound.
func (fle *fleet) judge(t *testing.T, adm float64, beg time.Time, largest int64) string {
	rat, per := fle.tea.TokensPerSecond, fle.now.Sub(beg)
	bou := Fleet{Hosts: len(fle.lims), WithoutCoordinator: fle.cut, Partitions: len(fle.kees), Restarts: fle.restarts, CoordinatorLosses: fle.losses}.Bound(rat, per, largest)
	require.LessOrEqual(t, adm, bou, "bound of admission")
	return fmt.Sprintf("%.1f of the rate\n", adm/(rat*per.Seconds()))
}

// jumps counts how often the load has gone to the next hosts.
func (fle *fleet) jumps(beg time.Time, seconds int) int {
	if seconds == 0 {
		return 0
	}
	return int(fle.now.Sub(beg) / time.Second / time.Duration(seconds))
}

func (fle *fleet) step() {
	fle.now = fle.now.Add(fleetStep)
	fle.steps++
	per := int(Interval / fleetStep)
	for ind, lim := range fle.lims {
		if fle.steps%per != ind*per/len(fle.lims) || ind < fle.cut || fle.ran.IntN(100) < fle.lost {
			continue
		}
		dems := lim.Demands(fle.now)
		shas := fle.kees[ind%len(fle.kees)].Report(fmt.Sprint(ind), dems, fle.now)
		if fle.replies == 0 || fle.ran.IntN(100) >= fle.replies {
			lim.SetShares(shas, fle.now)
		}
	}
}
