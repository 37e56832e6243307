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

// recordAdmitted counts the tokens of a prompt, unless it reached no host or the
// team's limit refused it.
func (tea *team) recordAdmitted(res sender.Result) {
	if res.Request.Kind != mixer.KindPrompt || res.Outcome == sender.Unreachable || res.Code == admitter.CodeTeamLimit {
		return
	}
	tokens := res.Request.PromptTokens + res.Request.AnswerTokens
	tea.admitted += tokens
	tea.largest = max(tea.largest, tokens)
}

// teamReports returns the report of each team, and the times of the short prompts
// of all teams except the first.
func (sum *Summarizer) teamReports() ([]TeamReport, Times) {
	var out []TeamReport
	all := newHistogram()
	for i, mixTeam := range sum.mix.Teams {
		tea := sum.teams[mixTeam.Key]
		if tea == nil {
			continue
		}
		out = append(out, TeamReport{mixTeam.Key, timesOf(tea.short), tea.admitted, tea.largest})
		if i > 0 {
			all.Merge(tea.short)
		}
	}
	return out, timesOf(all)
}
