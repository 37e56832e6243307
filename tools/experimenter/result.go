package main

import (
	"context"
	"fmt"
	"io"
	"math"
	"os"
	"slices"
	"sync"
	"time"

	"hemlockpin/load/mixer"
	"hemlockpin/load/reporter"
	"hemlockpin/load/sender"
	"hemlockpin/load/summarizer"
)

// baseFirst is the least time to a first token beside the prefill: one step of
// the engine and the way through a host.
const baseFirst = 5 * time.Millisecond

// result adds to a report what needs each request: the slowdown of long
// prompts against idle engines, and times by team.
type result struct {
	exp    *experiment
	report summarizer.Report

	mu     sync.Mutex
	longs  []float64
	shorts map[string][]float64
}

func newResult(exp *experiment) *result {
	return &result{exp: exp, shorts: map[string][]float64{}}
}

func (res *result) observe(one sender.Result) {
	if one.Request.At < res.exp.set.WarmUp || (one.Outcome != sender.Whole && one.Outcome != sender.Late) {
		return
	}
	res.mu.Lock()
	defer res.mu.Unlock()
	switch one.Request.Class {
	case mixer.ClassShort:
		res.shorts[one.Request.Key] = append(res.shorts[one.Request.Key], one.First.Seconds())
	case mixer.ClassLarge, mixer.ClassHuge:
		idl := res.exp.idle(one.Request) + baseFirst
		res.longs = append(res.longs, one.First.Seconds()/idl.Seconds())
	}
}

func percentile95(vals []float64) float64 {
	if len(vals) == 0 {
		return math.NaN()
	}
	sor := slices.Sorted(slices.Values(vals))
	return sor[min(len(sor)-1, int(math.Ceil(0.95*float64(len(sor))))-1)]
}

func (res *result) print(wri io.Writer) {
	rep := res.report
	fmt.Fprintf(wri, "\n%s: seed %d, %.1f requests a second, in time %.1f a second, long slowdown p95 %.2f (%d)\n",
		rep.Name, rep.Seed, rep.Rate, rep.Goodput, percentile95(res.longs), len(res.longs))
	_ = reporter.Print(wri, rep)
	if len(rep.Codes) > 0 {
		fmt.Fprintln(wri, "codes:", rep.Codes)
	}
}

// others returns the short prompts' times of all teams but one.
func (res *result) others(key string) []float64 {
	var out []float64
	for oth, vals := range res.shorts {
		if oth != key {
			out = append(out, vals...)
		}
	}
	return out
}

// Targets, as ratios within one run of the experimenter.
const (
	targetShort    = 1.25
	targetLong     = 1.5
	targetGoodput  = 0.95
	targetFairness = 1.10
	targetLoad     = 0.8
	bestLoad       = 0.95
	overLoad       = 1.2
	fairLoad       = 0.5
	fairFactor     = 10
)

// targets measures each target of a policy on a fleet of its own.
func (exp *experiment) targets(ctx context.Context, pol string) error {
	fle, err := exp.start(ctx, pol)
	if err != nil {
		return err
	}
	defer fle.Stop()
	var fai error
	measure := func(nam string, mix mixer.Mix, rate float64) *result {
		if fai != nil {
			return newResult(exp)
		}
		var res *result
		res, fai = exp.one(ctx, fle, pol+" "+nam, mix, rate, faultCalm)
		res.print(os.Stdout)
		exp.reports = append(exp.reports, res.report)
		pause(ctx)
		return res
	}
	all := exp.capacity(exp.mix)
	sho, sha := exp.mix.WithoutLong(int64(mixer.ShortTokens / exp.set.Scale))
	with := measure("80% with long", exp.mix, all*targetLoad)
	without := measure("80% without long", sho, all*targetLoad*sha)
	best := measure("95%", exp.mix, all*bestLoad)
	over := measure("120%", exp.mix, all*overLoad)
	even, uneven := exp.teams(1), exp.teams(fairFactor)
	calm := measure("50% even teams", even, all*fairLoad)
	loud := measure("one team tenfold", uneven, all*fairLoad*(mixer.TeamCount-1+fairFactor)/mixer.TeamCount)
	if fai != nil {
		return fai
	}
	fmt.Printf("\nTargets of policy %s, mix %s, seed %d, %s a run\n", pol, exp.set.Mix, exp.set.Seed, exp.set.Duration)
	atMost("short p95 with long / without", ratio(percentile95(with.others("")), percentile95(without.others(""))), targetShort)
	atMost("long p95 / idle engines", percentile95(with.longs), targetLong)
	atLeast("goodput at 120% / best", ratio(over.report.Goodput, max(with.report.Goodput, best.report.Goodput)), targetGoodput)
	loudKey := mixer.TeamKey(0)
	atMost("other teams' short p95, one team tenfold / even", ratio(percentile95(loud.others(loudKey)), percentile95(calm.others(loudKey))), targetFairness)
	return nil
}

// teams returns the mix with equal teams but for the first one.
func (exp *experiment) teams(first float64) mixer.Mix {
	var teas []mixer.Team
	for ind := range mixer.TeamCount {
		teas = append(teas, mixer.Team{Key: mixer.TeamKey(ind), Weight: 1})
	}
	teas[0].Weight = first
	return exp.mix.WithTeams(teas)
}

func ratio(one, two float64) float64 { return one / two }

func atMost(nam string, val, lim float64) { say(nam, val, "<=", lim, val <= lim) }

func atLeast(nam string, val, lim float64) { say(nam, val, ">=", lim, val >= lim) }

func say(nam string, val float64, rel string, lim float64, met bool) {
	ver := "not met"
	if met {
		ver = "met"
	}
	fmt.Printf("  %-50s %.3f %s %.2f  %s\n", nam, val, rel, lim, ver)
}
