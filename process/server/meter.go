package server

import (
	"net/http"
	"time"

	"hemlockpin/request/responder"

	"github.com/uber-go/tally/v4"
)

// Outcomes of a request, as tags of its counters.
const (
	outcomeWhole   = "whole"
	outcomeRefused = "refused"
	outcomeFailed  = "failed"
	outcomeCut     = "cut"
)

// Bounds of the length classes of prompts, in tokens.
const (
	shortTokens  = 4_000
	mediumTokens = 32_000
	longTokens   = 100_000
)

// latencyBuckets returns the buckets of the histograms of complete requests and of first
// tokens.
func latencyBuckets() tally.DurationBuckets {
	return tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 15)
}

func interTokenBuckets() tally.DurationBuckets {
	return tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 13)
}

// meter counts the outcomes of callers' requests.
type meter struct {
	scope      tally.Scope
	interToken tally.Histogram
	requests   seriesCounters[requestSeries]
	teams      seriesCounters[teamSeries]
}

// requestSeries are the tags of one counter of requests.
type requestSeries struct{ route, code, run, outcome string }

// teamSeries are the tags of one counter of a team's requests.
type teamSeries struct{ team, outcome string }

func (ser requestSeries) tags() map[string]string {
	return map[string]string{"route": ser.route, "code": ser.code, "run": ser.run, "outcome": ser.outcome}
}

func (ser teamSeries) tags() map[string]string {
	return map[string]string{"team": ser.team, "outcome": ser.outcome}
}

func (ser requestSeries) overflow() requestSeries {
	ser.route = overflowTag
	return ser
}

func (ser teamSeries) overflow() teamSeries {
	ser.team = overflowTag
	return ser
}

func newMeter(sco tally.Scope) *meter {
	return &meter{
		scope: sco, interToken: sco.Histogram("inter_token_seconds", interTokenBuckets()),
		requests: seriesCounters[requestSeries]{scope: sco, name: "requests"},
		teams:    seriesCounters[teamSeries]{scope: sco, name: "team_requests"},
	}
}

func (met *meter) recordInterval(gap time.Duration) { met.interToken.RecordDuration(gap) }

// observe records the outcome and the latency of one finished request.
func (met *meter) observe(rec *responder.Recorder, began, end time.Time) {
	out := outcomeOf(rec)
	met.requests.get(requestSeries{orNone(rec.Labels.Route), orNone(rec.Code), orNone(rec.Header().Get(responder.RunHeader)), out}).Inc(1)
	if rec.Labels.Team != "" {
		met.teams.get(teamSeries{rec.Labels.Team, out}).Inc(1)
	}
	if out != outcomeWhole {
		return
	}
	// Histograms have no tag for the route: with it they would take more memory than the
	// rest of the host.
	byLength := met.scope.Tagged(map[string]string{"length": lengthClass(rec.Labels.PromptTokens)})
	byLength.Histogram("request_seconds", latencyBuckets()).RecordDuration(end.Sub(began))
	if isStream(rec) {
		byLength.Histogram("first_token_seconds", latencyBuckets()).RecordDuration(rec.First.Sub(began))
	}
}

func outcomeOf(rec *responder.Recorder) string {
	switch {
	case callerDisconnected(rec):
		return outcomeCut
	case rec.Code == "" && rec.Status != 0:
		return outcomeWhole
	case rec.Code == "":
		return outcomeCut
	case rec.Header().Get(responder.RunHeader) == "NotRun":
		return outcomeRefused
	default:
		return outcomeFailed
	}
}

func isStream(rec *responder.Recorder) bool {
	return rec.Header().Get("Content-Type") == "text/event-stream" && rec.Status == http.StatusOK
}

func lengthClass(tokens int64) string {
	switch {
	case tokens == 0:
		return "none"
	case tokens <= shortTokens:
		return "to_4k"
	case tokens <= mediumTokens:
		return "to_32k"
	case tokens <= longTokens:
		return "to_100k"
	default:
		return "over_100k"
	}
}

func orNone(text string) string {
	if text == "" {
		return "none"
	}
	return text
}
