package main

import (
	"slices"
	"time"

	"hemlockpin/load/mixer"
	"hemlockpin/load/summarizer"
)

// Variants of a run.
const (
	variantNoFault  = "calm"
	variantEngine   = "engine-killed"
	variantHost     = "host-killed"
	variantPlatform = "platform-out"
	// variantLedgers sends ledgerCount prompts of the longest class at once.
	variantLedgers = "ledgers"

	// Variants for the targets. From variantEven on, all teams send at the same
	// rate, except that in the tenfold variants the first team also sends nine times
	// as many additional requests.
	variantWithoutLong = "without-long"
	// variantFilled counts requests only after the queues have filled.
	variantFilled         = "filled"
	variantEven           = "even"
	variantEvenAgain      = "even-again"
	variantTenfold        = "tenfold"
	variantTenfoldLimited = "tenfold-limited"
)

// Loads of the targets, in per cent of the capacity of the engines.
const (
	targetLoad = 80
	bestLoad   = 95
	overLoad   = 120
	// fairLoad is the load of equal teams that becomes 80 per cent when one team
	// sends ten times as much; from 80 per cent the load becomes 152.
	fairLoad   = 42
	fairFactor = 10
	// limitPercent is the rate limit of the limited team in per cent of the
	// capacity of the engines: an equal part for each team.
	limitPercent = 100 / mixer.TeamCount
)

func validFault(name string) bool {
	return slices.Contains([]string{variantNoFault, variantEngine, variantHost, variantPlatform, variantLedgers}, name)
}

// cells returns the runs in their order, with the policies of a load and variant
// next to each other.
func (set settings) cells() []summarizer.Cell {
	var out []summarizer.Cell
	add := func(load int, variant string) {
		for _, policy := range set.Policies {
			if cel := (summarizer.Cell{Policy: policy, Load: load, Variant: variant}); !slices.Contains(out, cel) {
				out = append(out, cel)
			}
		}
	}
	for _, load := range set.Loads {
		for _, fault := range set.Faults {
			add(load, fault)
		}
	}
	for _, target := range set.Targets {
		for _, cel := range targetCells[target] {
			add(cel.Load, cel.Variant)
		}
	}
	return out
}

// Values of --target.
const (
	targetLengths  = "lengths"
	targetGoodput  = "goodput"
	targetFairness = "fairness"
)

// targetCells are the runs that each target needs.
var targetCells = map[string][]summarizer.Cell{
	targetLengths: {{Load: targetLoad, Variant: variantNoFault}, {Load: targetLoad, Variant: variantWithoutLong}},
	targetGoodput: {{Load: targetLoad, Variant: variantNoFault}, {Load: bestLoad, Variant: variantNoFault}, {Load: overLoad, Variant: variantFilled}},
	targetFairness: {
		{Load: fairLoad, Variant: variantEven}, {Load: fairLoad, Variant: variantEvenAgain}, {Load: fairLoad, Variant: variantTenfold},
		{Load: targetLoad, Variant: variantEven}, {Load: targetLoad, Variant: variantTenfold}, {Load: targetLoad, Variant: variantTenfoldLimited},
	},
}

// times returns the duration of a run and the warm-up at its start, which is not
// counted.
func (set settings) times(cel summarizer.Cell) (duration, warmUp time.Duration) {
	if cel.Variant == variantFilled {
		return set.Fill + set.Duration - set.WarmUp, max(set.Fill, set.WarmUp)
	}
	return set.Duration, set.WarmUp
}

// fillTime returns the time after which the wait in a single queue reaches the
// longest latency target of the mix. At overLoad the queue grows by the load above
// 100 per cent.
func fillTime(mix mixer.Mix) time.Duration {
	var longest time.Duration
	for _, cla := range mix.Classes {
		longest = max(longest, cla.Patience)
	}
	return longest * percent / (overLoad - percent)
}
