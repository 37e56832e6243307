package main

import (
	"slices"
	"time"

	"hemlockpin/load/mixer"
	"hemlockpin/load/summarizer"
)

// Variants of a run.
const (
	variantCalm     = "calm"
	variantEngine   = "engine-killed"
	variantHost     = "host-killed"
	variantPlatform = "platform-out"
	variantLedgers  = "ledgers"

	// Variants of the targets. In the last four all teams send alike but for
	// one in the tenfold ones, which sends its own requests and nine times as
	// many beside them.
	variantWithoutLong    = "without-long"
	variantFilled         = "filled"
	variantEven           = "even"
	variantEvenAgain      = "even-again"
	variantTenfold        = "tenfold"
	variantTenfoldLimited = "tenfold-limited"
)

// Loads of the targets, in per cent of what the engines can do.
const (
	targetLoad = 80
	bestLoad   = 95
	overLoad   = 120
	// fairLoad is that of equal teams with which one tenfold team makes 80 per
	// cent; with equal teams at 80 per cent it makes 152.
	fairLoad   = 42
	fairFactor = 10
	// limitPercent is the limited team's rate in per cent of what the engines
	// can do: an equal part of them.
	limitPercent = 100 / mixer.TeamCount
)

func validFault(nam string) bool {
	return slices.Contains([]string{variantCalm, variantEngine, variantHost, variantPlatform, variantLedgers}, nam)
}

// cells returns the runs in their order: policies that are compared follow each
// other.
func (set settings) cells() []summarizer.Cell {
	var out []summarizer.Cell
	add := func(loa int, vari string) {
		for _, pol := range set.Policies {
			if cel := (summarizer.Cell{Policy: pol, Load: loa, Variant: vari}); !slices.Contains(out, cel) {
				out = append(out, cel)
			}
		}
	}
	for _, loa := range set.Loads {
		for _, fau := range set.Faults {
			add(loa, fau)
		}
	}
	for _, par := range set.Targets {
		for _, cel := range targetCells[par] {
			add(cel.Load, cel.Variant)
		}
	}
	return out
}

// Parts of the targets.
const (
	partLengths  = "lengths"
	partGoodput  = "goodput"
	partFairness = "fairness"
)

// targetCells are the runs that each part of the targets needs.
var targetCells = map[string][]summarizer.Cell{
	partLengths: {{Load: targetLoad, Variant: variantCalm}, {Load: targetLoad, Variant: variantWithoutLong}},
	partGoodput: {{Load: targetLoad, Variant: variantCalm}, {Load: bestLoad, Variant: variantCalm}, {Load: overLoad, Variant: variantFilled}},
	partFairness: {
		{Load: fairLoad, Variant: variantEven}, {Load: fairLoad, Variant: variantEvenAgain}, {Load: fairLoad, Variant: variantTenfold},
		{Load: targetLoad, Variant: variantEven}, {Load: targetLoad, Variant: variantTenfold}, {Load: targetLoad, Variant: variantTenfoldLimited},
	},
}

// times returns the length of a run and the part of it that is not counted.
func (set settings) times(cel summarizer.Cell) (duration, warmUp time.Duration) {
	if cel.Variant == variantFilled {
		return set.Fill + set.Duration - set.WarmUp, max(set.Fill, set.WarmUp)
	}
	return set.Duration, set.WarmUp
}

// fillTime is the time after which prompts wait for as long as the most patient
// class does, if all wait in one queue: the queue grows by the surplus.
func fillTime(mix mixer.Mix) time.Duration {
	var lon time.Duration
	for _, cla := range mix.Classes {
		lon = max(lon, cla.Patience)
	}
	return lon * percent / (overLoad - percent)
}
