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
	now   time.Time
	lims  []*Limiter
	kee   *Keeper
	lost  int
	cut   bool
	ran   *rand.Rand
	tea   parser.Team
	steps int
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
					lim.SetHosts(len(fle.lims))
				}
				return ""
			case "keeper-lost":
				fle.kee = &Keeper{}
				return ""
			case "cut":
				fle.cut = true
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
	fle := &fleet{now: time.Unix(0, 0), kee: &Keeper{}, ran: rand.New(rand.NewPCG(5, 6)), tea: parser.Team{Name: "t", TokensPerSecond: float64(rate)}}
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
	var adm, due float64
	for range time.Duration(sec) * time.Second / fleetStep {
		for due += loa * fleetStep.Seconds(); due >= requestTokens; due -= requestTokens {
			if _, ok := fle.lims[fro+fle.ran.IntN(cou)].Take(fle.tea, requestTokens, fle.now); ok {
				adm += requestTokens
			}
		}
		fle.step()
	}
	rat := fle.tea.TokensPerSecond
	bou := rat*(1.1*float64(sec)+(Burst+ShareLife).Seconds()) + float64(len(fle.lims))*requestTokens
	require.LessOrEqual(t, adm, bou, "bound of admission")
	return fmt.Sprintf("%.1f of the rate\n", adm/(rat*float64(sec)))
}

func (fle *fleet) step() {
	fle.now = fle.now.Add(fleetStep)
	fle.steps++
	per := int(Interval / fleetStep)
	for ind, lim := range fle.lims {
		if fle.steps%per != ind*per/len(fle.lims) || fle.cut || fle.ran.IntN(100) < fle.lost {
			continue
		}
		dems := lim.Demands(fle.now)
		lim.Learn(fle.kee.Report(fmt.Sprint(ind), dems, fle.now), fle.now)
	}
}
