package main

import (
	"fmt"
	"io"
	"math"

	"hemlockpin/load/mixer"
	"hemlockpin/load/summarizer"
	"hemlockpin/process/limiter"
)

// Bounds of the targets, as ratios between runs of one grid.
const (
	boundShort    = 1.25
	boundLong     = 1.5
	boundGoodput  = 0.95
	boundFairness = 1.10
)

// judge prints the targets of a policy as far as their runs are finished.
type judge struct {
	wri io.Writer
	res *results
	pol string
	// limit is the rate of the limited team.
	limit float64
}

func (jud judge) print(set settings) {
	fmt.Fprintf(jud.wri, "\nTargets of policy %s, mix %s, seed %d, %s a run\n", jud.pol, set.Mix, set.Seed, set.Duration)
	for _, par := range set.Targets {
		switch par {
		case partLengths:
			jud.lengths()
		case partGoodput:
			jud.goodput(set)
		case partFairness:
			jud.fairness(set)
		}
	}
}

// reports returns the reports of runs, or false if one is missing.
func (jud judge) reports(cels ...summarizer.Cell) ([]summarizer.Report, bool) {
	var out []summarizer.Report
	for _, cel := range cels {
		cel.Policy = jud.pol
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
	reps, ok := jud.reports(targetCells[partLengths]...)
	if !ok {
		return
	}
	with, without := shortP95(reps[0]), shortP95(reps[1])
	jud.atMost(fmt.Sprintf("short p95 with long %.1f ms / without %.1f ms", with, without), with/without, boundShort)
	jud.atMost(fmt.Sprintf("long, p95 of %d prompts' own slowdowns", reps[0].Long.Count), reps[0].Long.P95, boundLong)
	for _, nam := range []string{mixer.ClassLarge, mixer.ClassHuge} {
		if cla, ok := reps[0].Class(nam); ok {
			fmt.Fprintf(jud.wri, "    %s: %d prompts, p50 %.0f ms, p95 %.0f ms; idle engines p50 %.0f ms, p95 %.0f ms; slowdown p50 %.2f, p95 %.2f\n",
				nam, cla.Waited.Count, cla.Waited.P50, cla.Waited.P95, cla.Idle.P50, cla.Idle.P95, cla.Slowdown.P50, cla.Slowdown.P95)
		}
	}
}

func shortP95(rep summarizer.Report) float64 {
	cla, _ := rep.Class(mixer.ClassShort)
	return cla.Waited.P95
}

func (jud judge) goodput(set settings) {
	reps, ok := jud.reports(targetCells[partGoodput]...)
	if !ok {
		return
	}
	best, over := max(reps[0].Goodput, reps[1].Goodput), reps[2].Goodput
	jud.atLeast(fmt.Sprintf("goodput at 120%% %.1f a second / best %.1f", over, best), over/best, boundGoodput)
	if mix, _ := mixer.ByName(set.Mix); set.Fill < fillTime(mix) {
		fmt.Fprintf(jud.wri, "    queues filled for %s; the most patient class needs %s, so the figure is a trial\n", set.Fill, fillTime(mix))
	}
}

func (jud judge) fairness(set settings) {
	jud.fair("the same load again", fairLoad, variantEvenAgain, "42%")
	jud.fair("one team tenfold", fairLoad, variantTenfold, "42% to 80%")
	jud.fair("one team tenfold, no limit", targetLoad, variantTenfold, "80% to 152%")
	jud.fair("one team tenfold, limited", targetLoad, variantTenfoldLimited, "80% to 152% offered")
	jud.admitted(set)
}

// admitted compares what was let in of the limited team with the bound.
func (jud judge) admitted(set settings) {
	reps, ok := jud.reports(summarizer.Cell{Load: targetLoad, Variant: variantTenfoldLimited})
	if !ok || len(reps[0].Teams) == 0 {
		return
	}
	tea, rat := reps[0].Teams[0], jud.limit
	bou := limiter.Fleet{Hosts: set.Hosts}.Bound(rat, set.Duration, tea.LargestTokens)
	nam := fmt.Sprintf("limited team: admitted %d tokens at %.0f a second / bound %.0f", tea.AdmittedTokens, rat, bou)
	jud.atMost(nam, float64(tea.AdmittedTokens)/bou, 1)
}

// fair compares the short prompts of the other teams, which are the same
// requests at the same times in both runs.
func (jud judge) fair(nam string, loa int, vari, total string) {
	reps, ok := jud.reports(summarizer.Cell{Load: loa, Variant: variantEven}, summarizer.Cell{Load: loa, Variant: vari})
	if !ok {
		return
	}
	one, two := reps[0].Others, reps[1].Others
	jud.atMost(fmt.Sprintf("%s (%s): others' p95 %.1f / %.1f ms", nam, total, two.P95, one.P95), two.P95/one.P95, boundFairness)
	wor, cou := worstTeam(reps[0], reps[1])
	jud.atMost(fmt.Sprintf("  worst of the other teams (%d prompts)", cou), wor, boundFairness)
}

// worstTeam returns the greatest ratio of a team's 95th percentiles, the loud
// team's left out, and the number of prompts behind it.
func worstTeam(one, two summarizer.Report) (float64, int64) {
	wor, cou := math.Inf(-1), int64(0)
	for _, fir := range one.Teams {
		for _, sec := range two.Teams {
			if fir.Key != sec.Key || fir.Key == mixer.TeamKey(0) {
				continue
			}
			if rat := sec.Short.P95 / fir.Short.P95; rat > wor {
				wor, cou = rat, fir.Short.Count
			}
		}
	}
	return wor, cou
}

func (jud judge) atMost(nam string, val, lim float64) { jud.say(nam, val, "<=", lim, val <= lim) }

func (jud judge) atLeast(nam string, val, lim float64) { jud.say(nam, val, ">=", lim, val >= lim) }

func (jud judge) say(nam string, val float64, rel string, lim float64, met bool) {
	ver := "not met"
	if met {
		ver = "met"
	}
	fmt.Fprintf(jud.wri, "  %-70s %.3f %s %.2f  %s\n", nam, val, rel, lim, ver)
}
