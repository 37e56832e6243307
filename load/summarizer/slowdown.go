package summarizer

import (
	"math"
	"slices"
	"time"

	"hemlockpin/load/mixer"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// ratioParts is the resolution of recorded ratios.
	ratioParts = 1000
	// lengthSteps is the number of length buckets for each doubling.
	lengthSteps = 2
)

func recordRatio(his *hdrhistogram.Histogram, one, two time.Duration) {
	_ = his.RecordValue(min(maxMicros, max(1, int64(ratioParts*one.Seconds()/two.Seconds()))))
}

func ratiosOf(his *hdrhistogram.Histogram) Ratios {
	return Ratios{
		Count: his.TotalCount(),
		P50:   float64(his.ValueAtQuantile(50)) / ratioParts,
		P95:   float64(his.ValueAtQuantile(95)) / ratioParts,
	}
}

// long is the slowdown of the large and huge prompts together.
func (sum *Summarizer) long() Ratios {
	all := newHistogram()
	for _, nam := range []string{mixer.ClassLarge, mixer.ClassHuge} {
		if cla := sum.classes[nam]; cla != nil {
			all.Merge(cla.slowdown)
		}
	}
	return ratiosOf(all)
}

func lengthBucket(tokens int64) int {
	return int(math.Floor(lengthSteps * math.Log2(float64(max(1, tokens)))))
}

func (sum *Summarizer) length(tokens int64) *hdrhistogram.Histogram {
	buc := lengthBucket(tokens)
	if sum.lengths[buc] == nil {
		sum.lengths[buc] = newHistogram()
	}
	return sum.lengths[buc]
}

func (sum *Summarizer) lengthReports() []LengthReport {
	var out []LengthReport
	for buc, his := range sum.lengths {
		tim := timesOf(his)
		out = append(out, LengthReport{Tokens: math.Exp2((float64(buc) + 0.5) / lengthSteps), Count: tim.Count, P50: tim.P50, P95: tim.P95})
	}
	slices.SortFunc(out, func(one, two LengthReport) int { return int(one.Tokens - two.Tokens) })
	return out
}
