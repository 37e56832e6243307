package main

import (
	"fmt"
	"io"
	"math"

	"hemlockpin/load/mixer"
	"hemlockpin/load/summarizer"
	"hemlockpin/process/limiter"
)

// Bounds of the targets, as ratios between runs of one grid, except boundLong,
// which is a slowdown relative to idle engines.
const (
	boundShort    = 1.25
	boundLong     = 1.5
	boundGoodput  = 0.95
	boundFairness = 1.10
)

// judge prints which targets a policy meets, as far as their runs are finished.
type judge struct {
	wri    io.Writer
	res    *results
	policy string
	// limit is the rate limit of the limited team in tokens a second.
	limit float64
}

func (jud judge) print(set settings) {
	fmt.Fprintf(jud.wri, "\nTargets of policy %s, mix %s, seed %d, %s a run\n", jud.policy, set.Mix, set.Seed, set.Duration)
	for _, target := range set.Targets {
		switch target {
		case targetLengths:
			jud.lengths()
		case targetGoodput:
			jud.goodput(set)
		case targetFairness:
			jud.fairness(set)
		}
	}
}

// reports returns the reports of the given cells for the judge's policy, or false
// if one is missing.
func (jud judge) reports(cels ...summarizer.Cell) ([]summarizer.Report, bool) {
	var out []summarizer.Report
	for _, cel := range cels {
		cel.Policy = jud.policy
		rep, ok := jud.res.find(cel)
		if !ok {
			fmt.Fprintf(jud.wri, "  not judged: %s was not run\n", cellName(cel))
			return nil, false
		}
		out = append(out, rep)
	}
	return out, true
}

func (jud judge) lengths() {
	reps, ok := jud.reports(targetCells[targetLengths]...)
	if !ok {
		return
	}
	with, without := shortP95(reps[0]), shortP95(reps[1])
	jud.atMost(fmt.Sprintf("short p95 with long %.1f ms / without %.1f ms", with, without), with/without, boundShort)
	jud.atMost(fmt.Sprintf("long, p95 of %d prompts' own slowdowns", reps[0].Long.Count), reps[0].Long.P95, boundLong)
	for _, name := range []string{mixer.ClassLarge, mixer.ClassHuge} {
		if cla, ok := reps[0].Class(name); ok {
			fmt.Fprintf(jud.wri, "    %s: %d prompts, p50 %.0f ms, p95 %.0f ms; idle engines p50 %.0f ms, p95 %.0f ms; slowdown p50 %.2f, p95 %.2f\n",
				name, cla.Waited.Count, cla.Waited.P50, cla.Waited.P95, cla.Idle.P50, cla.Idle.P95, cla.Slowdown.P50, cla.Slowdown.P95)
		}
	}
}

func shortP95(rep summarizer.Report) float64 {
	cla, _ := rep.Class(mixer.ClassShort)
	return cla.Waited.P95
}

func (jud judge) goodput(set settings) {
	reps, ok := jud.reports(targetCells[targetGoodput]...)
	if !ok {
		return
	}
	best, over := max(reps[0].Goodput, reps[1].Goodput), reps[2].Goodput
	jud.atLeast(fmt.Sprintf("goodput at 120%% %.1f a second / best %.1f", over, best), over/best, boundGoodput)
	if mix, _ := mixer.ByName(set.Mix); set.Fill < fillTime(mix) {
		fmt.Fprintf(jud.wri, "    queues filled for %s; the longest latency target needs %s, so the figure is a trial\n", set.Fill, fillTime(mix))
	}
}

func (jud judge) fairness(set settings) {
	jud.compareOthers("the same load again", fairLoad, variantEvenAgain, "42%")
	jud.compareOthers("one team tenfold", fairLoad, variantTenfold, "42% to 80%")
	jud.compareOthers("one team tenfold, no limit", targetLoad, variantTenfold, "80% to 152%")
	jud.compareOthers("one team tenfold, limited", targetLoad, variantTenfoldLimited, "80% to 152% offered")
	jud.admitted(set)
}

// admitted compares the tokens admitted of the limited team with the bound that
// the limiter guarantees.
func (jud judge) admitted(set settings) {
	reps, ok := jud.reports(summarizer.Cell{Load: targetLoad, Variant: variantTenfoldLimited})
	if !ok || len(reps[0].Teams) == 0 {
		return
	}
	tea, rate := reps[0].Teams[0], jud.limit
	bound := limiter.Fleet{Hosts: set.Hosts}.Bound(rate, set.Duration, tea.LargestTokens)
	name := fmt.Sprintf("limited team: admitted %d tokens at %.0f a second / bound %.0f", tea.AdmittedTokens, rate, bound)
	jud.atMost(name, float64(tea.AdmittedTokens)/bound, 1)
}

// compareOthers compares the times of the other teams' short prompts in a variant
// with those in variantEven. They are the same requests at the same times in both
// runs.
func (jud judge) compareOthers(name string, load int, variant, total string) {
	reps, ok := jud.reports(summarizer.Cell{Load: load, Variant: variantEven}, summarizer.Cell{Load: load, Variant: variant})
	if !ok {
		return
	}
	base, other := reps[0].Others, reps[1].Others
	jud.atMost(fmt.Sprintf("%s (%s): others' p95 %.1f / %.1f ms", name, total, other.P95, base.P95), other.P95/base.P95, boundFairness)
	worst, n := worstTeam(reps[0], reps[1])
	jud.atMost(fmt.Sprintf("  worst of the other teams (%d prompts)", n), worst, boundFairness)
}

// worstTeam returns the greatest ratio between the 95th percentiles of a team in
// two runs, and the number of that team's prompts in the first run. It leaves out
// the first team, which sends ten times as much in some variants.
func worstTeam(base, other summarizer.Report) (float64, int64) {
	worst, n := math.Inf(-1), int64(0)
	for _, baseTeam := range base.Teams {
		for _, otherTeam := range other.Teams {
			if baseTeam.Key != otherTeam.Key || baseTeam.Key == mixer.TeamKey(0) {
				continue
			}
			if ratio := otherTeam.Short.P95 / baseTeam.Short.P95; ratio > worst {
				worst, n = ratio, baseTeam.Short.Count
			}
		}
	}
	return worst, n
}

func (jud judge) atMost(name string, value, bound float64) {
	jud.printVerdict(name, value, "<=", bound, value <= bound)
}

func (jud judge) atLeast(name string, value, bound float64) {
	jud.printVerdict(name, value, ">=", bound, value >= bound)
}

func (jud judge) printVerdict(name string, value float64, relation string, bound float64, met bool) {
	verdict := "not met"
	if met {
		verdict = "met"
	}
	fmt.Fprintf(jud.wri, "  %-70s %.3f %s %.2f  %s\n", name, value, relation, bound, verdict)
}
