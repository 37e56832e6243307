package summarizer

import (
	"math"
	"slices"
	"time"

	"hemlockpin/load/mixer"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// ratioScale is the factor by which ratios are multiplied to record them as
	// integers.
	ratioScale = 1000
	// bucketsPerDoubling is the number of length buckets per doubling of the
	// length.
	bucketsPerDoubling = 2
)

func recordRatio(his *hdrhistogram.Histogram, dividend, divisor time.Duration) {
	_ = his.RecordValue(min(maxMicros, max(1, int64(ratioScale*dividend.Seconds()/divisor.Seconds()))))
}

func ratiosOf(his *hdrhistogram.Histogram) Ratios {
	return Ratios{
		Count: his.TotalCount(),
		P50:   float64(his.ValueAtQuantile(50)) / ratioScale,
		P95:   float64(his.ValueAtQuantile(95)) / ratioScale,
	}
}

// longSlowdown returns the slowdown of the large and huge prompts together.
func (sum *Summarizer) longSlowdown() Ratios {
	all := newHistogram()
	for _, name := range []string{mixer.ClassLarge, mixer.ClassHuge} {
		if cla := sum.classes[name]; cla != nil {
			all.Merge(cla.slowdown)
		}
	}
	return ratiosOf(all)
}

func lengthBucket(tokens int64) int {
	return int(math.Floor(bucketsPerDoubling * math.Log2(float64(max(1, tokens)))))
}

func (sum *Summarizer) length(tokens int64) *hdrhistogram.Histogram {
	bucket := lengthBucket(tokens)
	if sum.lengths[bucket] == nil {
		sum.lengths[bucket] = newHistogram()
	}
	return sum.lengths[bucket]
}

func (sum *Summarizer) lengthReports() []LengthReport {
	var out []LengthReport
	for bucket, his := range sum.lengths {
		tim := timesOf(his)
		out = append(out, LengthReport{Tokens: math.Exp2((float64(bucket) + 0.5) / bucketsPerDoubling), Count: tim.Count, P50: tim.P50, P95: tim.P95})
	}
	slices.SortFunc(out, func(a, b LengthReport) int { return int(a.Tokens - b.Tokens) })
	return out
}
