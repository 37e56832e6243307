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

// meter records the outcomes and the latencies of callers' requests.
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

func (key requestSeries) tags() map[string]string {
	return map[string]string{"route": key.route, "code": key.code, "run": key.run, "outcome": key.outcome}
}

func (key teamSeries) tags() map[string]string {
	return map[string]string{"team": key.team, "outcome": key.outcome}
}

func (key requestSeries) overflow() requestSeries {
	key.route = overflowValue
	return key
}

func (key teamSeries) overflow() teamSeries {
	key.team = overflowValue
	return key
}

func newMeter(sco tally.Scope) *meter {
	return &meter{
		scope: sco, interToken: sco.Histogram("inter_token_seconds", interTokenBuckets()),
		requests: seriesCounters[requestSeries]{scope: sco, name: "requests"},
		teams:    seriesCounters[teamSeries]{scope: sco, name: "team_requests"},
	}
}

func (met *meter) recordTokenInterval(gap time.Duration) { met.interToken.RecordDuration(gap) }

// observe records the outcome of one finished request, and its latency if the answer is
// complete.
func (met *meter) observe(rec *responder.Recorder, began, end time.Time) {
	out := outcomeOf(rec)
	met.requests.counter(requestSeries{orNone(rec.Labels.Route), orNone(rec.Code), orNone(rec.Header().Get(responder.RunHeader)), out}).Inc(1)
	if rec.Labels.Team != "" {
		met.teams.counter(teamSeries{rec.Labels.Team, out}).Inc(1)
	}
	if out != outcomeWhole {
		return
	}
	// Histograms have no tag for the route: with it they would take more memory than the
	// rest of the host.
	byLength := met.scope.Tagged(map[string]string{"length": lengthClass(rec.Labels.PromptTokens)})
	byLength.Histogram("request_seconds", latencyBuckets()).RecordDuration(end.Sub(began))
	if isStream(rec) {
		byLength.Histogram("first_token_seconds", latencyBuckets()).RecordDuration(rec.FirstWrite.Sub(began))
	}
}

func outcomeOf(rec *responder.Recorder) string {
	switch {
	case writeFailed(rec):
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

// isStream reports whether the answer is an event stream with status 200.
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
