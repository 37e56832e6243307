package summarizer

import (
	"math"

	"hemlockpin/load/mixer"
)

// Score holds the figures that the two deployments are judged by. Lower is
// better for both. Prompts that were not answered count with their patience.
type Score struct {
	// Wijesinghe is the geometric mean over the length classes of the 95th
	// percentile of time to first token, relative to that of the same prompts
	// on idle engines; all lengths weigh the same.
	Wijesinghe float64
	// PortLouis is the slowdown of short prompts at the 95th percentile,
	// divided by the share of all requests answered whole and in time.
	PortLouis float64
	// ShortSlowdown is the 95th percentile of short prompts relative to that of
	// the same prompts on idle engines.
	ShortSlowdown float64
	// InTime is the share of requests answered whole and in time.
	InTime float64
}

// score is nil for a report without prompts.
func (rep Report) score() *Score {
	var sum float64
	var cou int
	var sco Score
	for _, cla := range rep.Classes {
		if cla.Idle.P95 == 0 {
			continue
		}
		rat := cla.Waited.P95 / cla.Idle.P95
		sum += math.Log(rat)
		cou++
		if cla.Name == mixer.ClassShort {
			sco.ShortSlowdown = rat
		}
	}
	if cou == 0 {
		return nil
	}
	sco.InTime = rep.inTime()
	sco.Wijesinghe = math.Exp(sum / float64(cou))
	sco.PortLouis = sco.ShortSlowdown / sco.InTime
	return &sco
}

// inTime counts at least one request, so that scores stay finite.
func (rep Report) inTime() float64 {
	var who, all float64
	for _, cla := range rep.Classes {
		who += cla.InTime * float64(cla.Count)
		all += float64(cla.Count)
	}
	return math.Max(1, who) / math.Max(1, all)
}
