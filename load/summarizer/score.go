package summarizer

import (
	"math"

	"hemlockpin/load/mixer"
)

// Score holds the figures by which the two deployments compare runs; for
// Wijesinghe and PortLouis, lower is better. A prompt that was not answered
// counts with its latency target if that is longer than its time to first token.
type Score struct {
	// Wijesinghe is the geometric mean over the length classes of the 95th
	// percentile of the time to first token, divided by that of the same prompts
	// on idle engines. All classes have the same weight.
	Wijesinghe float64
	// PortLouis is ShortSlowdown divided by InTime.
	PortLouis float64
	// ShortSlowdown is the 95th percentile of the time to first token of short
	// prompts, divided by that of the same prompts on idle engines.
	ShortSlowdown float64
	// InTime is the share of requests with a complete answer in time.
	InTime float64
}

// score returns the score of a report; nil if the report has no prompts.
func (rep Report) score() *Score {
	var sum float64
	var n int
	var sco Score
	for _, cla := range rep.Classes {
		if cla.Idle.P95 == 0 {
			continue
		}
		ratio := cla.Waited.P95 / cla.Idle.P95
		sum += math.Log(ratio)
		n++
		if cla.Name == mixer.ClassShort {
			sco.ShortSlowdown = ratio
		}
	}
	if n == 0 {
		return nil
	}
	sco.InTime = rep.inTime()
	sco.Wijesinghe = math.Exp(sum / float64(n))
	sco.PortLouis = sco.ShortSlowdown / sco.InTime
	return &sco
}

// inTime returns the share of requests with a complete answer in time. It counts
// at least one such request, so that scores stay finite.
func (rep Report) inTime() float64 {
	var complete, all float64
	for _, cla := range rep.Classes {
		complete += cla.InTime * float64(cla.Count)
		all += float64(cla.Count)
	}
	return math.Max(1, complete) / math.Max(1, all)
}
