package relayer

import (
	"time"

	"github.com/rs/zerolog"
)

func (fwd *forwarding) logSend(lea Lease, out Outcome, dec Decision, now time.Time) {
	entry := fwd.log.Info()
	switch out := out.(type) {
	case Whole:
		if !out.Framed {
			fwd.Scope.Counter("forward_unframed_answers").Inc(1)
		}
	default:
		entry = fwd.log.Warn()
	}
	addDecision(entry.Str("Endpoint", lea.Endpoint.ID).Uint64("EndpointRevision", lea.Endpoint.Revision.Number).Str("Outcome", outcomeLabel(out)), out, dec).
		Int("Sends", fwd.state.Sends).Int("Events", fwd.state.Events).Dur("AfterMs", now.Sub(fwd.arrived)).Msg("send ended")
	fwd.Scope.Tagged(map[string]string{"route": fwd.route.Name, "outcome": outcomeLabel(out)}).Counter("forward_sends").Inc(1)
}

// addDecision adds the decision on an outcome, and the fields that explain it, to a log
// event.
func addDecision(entry *zerolog.Event, out Outcome, dec Decision) *zerolog.Event {
	switch out := out.(type) {
	case Whole:
		entry.Bool("Framed", out.Framed)
	case Answered:
		entry.Int("Status", out.Status)
	case Broken:
		entry.Str("Step", out.Cause)
	case TimedOut:
		entry.Bool("Sent", out.Sent)
	case Stopping:
		entry.Bool("Sent", out.Sent)
	}
	entry.Str("Decision", decisionLabel(dec))
	switch dec := dec.(type) {
	case Refuse:
		entry.Str("Code", dec.Code)
	case Fail:
		entry.Str("Code", dec.Code)
	case Cut:
		entry.Str("Code", dec.Code)
	}
	return entry
}

// outcomeLabel returns the label of an outcome in logs and metrics.
func outcomeLabel(out Outcome) string {
	switch out.(type) {
	case Whole:
		return "whole"
	case Answered:
		return "failure"
	case NotRun:
		return "not_run"
	case Unreached:
		return "unreached"
	case Quarantined:
		return "quarantined"
	case Broken:
		return "broken"
	case TimedOut:
		return "time_limit"
	case Stopping:
		return "host_stopping"
	default:
		return "caller_gone"
	}
}
