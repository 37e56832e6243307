package summarizer

import (
	"math"

	"hemlockpin/load/mixer"
)

// Score holds the figures that the two deployments are judged by. Lower is
// better for both.
type Score struct {
	// Wijesinghe is the geometric mean over the length classes of the 95th
	// percentile of time to first token, relative to that of the same class
	// in the reference run; all lengths weigh the same.
	Wijesinghe float64
	// PortLouis is the slowdown of short prompts at the 95th percentile,
	// divided by the share of all requests answered whole and in time.
	PortLouis float64
	// ShortSlowdown is the 95th percentile of short prompts relative to the
	// reference run.
	ShortSlowdown float64
	// InTime is the share of requests answered whole and in time.
	InTime float64
}

// ScoreAgainst scores a report against a reference run, such as one on idle
// engines. A class without answers makes the score infinite.
func (rep Report) ScoreAgainst(ref Report) Score {
	var sum float64
	var cou int
	sco := Score{ShortSlowdown: math.Inf(1)}
	for _, cla := range rep.Classes {
		old, ok := ref.Class(cla.Name)
		if !ok || cla.Gap.Count == 0 || old.First.P95 == 0 {
			continue
		}
		rat := cla.First.P95 / old.First.P95
		sum += math.Log(rat)
		cou++
		if cla.Name == mixer.ClassShort {
			sco.ShortSlowdown = rat
		}
	}
	sco.InTime = rep.inTime()
	sco.Wijesinghe = math.Inf(1)
	if cou > 0 {
		sco.Wijesinghe = math.Exp(sum / float64(cou))
	}
	sco.PortLouis = sco.ShortSlowdown / sco.InTime
	return sco
}

func (rep Report) inTime() float64 {
	var who, all float64
	for _, cla := range rep.Classes {
		who += cla.InTime * float64(cla.Count)
		all += float64(cla.Count)
	}
	return who / math.Max(1, all)
}
