package server

import (
	"net/http"
	"time"

	"hemlockpin/request/responder"

	"github.com/uber-go/tally/v4"
)

// Outcomes of a request, as counted.
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

func firstTokenBuckets() tally.DurationBuckets {
	return tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 15)
}

func tokenBuckets() tally.DurationBuckets {
	return tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 13)
}

// meter counts the outcomes of callers' requests.
type meter struct {
	scope  tally.Scope
	tokens tally.Histogram
}

func newMeter(sco tally.Scope) *meter {
	return &meter{scope: sco, tokens: sco.Histogram("inter_token_seconds", tokenBuckets())}
}

func (met *meter) interval(dur time.Duration) { met.tokens.RecordDuration(dur) }

// observe counts one finished request.
func (met *meter) observe(rec *responder.Recorder, beg, end time.Time) {
	out := outcomeOf(rec)
	met.scope.Tagged(map[string]string{
		"route": orNone(rec.Labels.Route), "code": orNone(rec.Code), "run": orNone(rec.Header().Get(responder.RunHeader)), "outcome": out,
	}).Counter("requests").Inc(1)
	if rec.Labels.Team != "" {
		met.scope.Tagged(map[string]string{"team": rec.Labels.Team, "outcome": out}).Counter("team_requests").Inc(1)
	}
	if out != outcomeWhole {
		return
	}
	cla := map[string]string{"route": orNone(rec.Labels.Route), "length": lengthClass(rec.Labels.PromptTokens)}
	met.scope.Tagged(cla).Histogram("request_seconds", firstTokenBuckets()).RecordDuration(end.Sub(beg))
	if streamed(rec) {
		met.scope.Tagged(cla).Histogram("first_token_seconds", firstTokenBuckets()).RecordDuration(rec.First.Sub(beg))
	}
}

func outcomeOf(rec *responder.Recorder) string {
	switch {
	case gone(rec):
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

func streamed(rec *responder.Recorder) bool {
	return rec.Header().Get("Content-Type") == "text/event-stream" && rec.Status == http.StatusOK
}

func lengthClass(tok int64) string {
	switch {
	case tok == 0:
		return "none"
	case tok <= shortTokens:
		return "to_4k"
	case tok <= mediumTokens:
		return "to_32k"
	case tok <= longTokens:
		return "to_100k"
	default:
		return "over_100k"
	}
}

func orNone(txt string) string {
	if txt == "" {
		return "none"
	}
	return txt
}
