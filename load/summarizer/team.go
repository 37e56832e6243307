package summarizer

import (
	"hemlockpin/load/mixer"
	"hemlockpin/load/sender"
	"hemlockpin/request/admitter"

	"github.com/HdrHistogram/hdrhistogram-go"
)

type team struct {
	short    *hdrhistogram.Histogram
	admitted int64
	largest  int64
}

func (sum *Summarizer) team(key string) *team {
	if sum.teams[key] == nil {
		sum.teams[key] = &team{short: newHistogram()}
	}
	return sum.teams[key]
}

// admit counts the tokens of a prompt that the limits let in.
func (tea *team) admit(res sender.Result) {
	if res.Request.Kind != mixer.KindPrompt || res.Outcome == sender.Unreachable || res.Code == admitter.CodeTeamLimit {
		return
	}
	tok := res.Request.PromptTokens + res.Request.AnswerTokens
	tea.admitted += tok
	tea.largest = max(tea.largest, tok)
}

// teamReports returns the report of each team and the times of all but the
// first.
func (sum *Summarizer) teamReports() ([]TeamReport, Times) {
	var out []TeamReport
	all := newHistogram()
	for ind, one := range sum.mix.Teams {
		tea := sum.teams[one.Key]
		if tea == nil {
			continue
		}
		out = append(out, TeamReport{one.Key, timesOf(tea.short), tea.admitted, tea.largest})
		if ind > 0 {
			all.Merge(tea.short)
		}
	}
	return out, timesOf(all)
}
