package relayer

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// finish ends the call as decided. Except for Deliver, Refuse and Fail, it panics with
// http.ErrAbortHandler to abort the connection.
func (run *run) finish(dec Decision, retryAfter time.Duration) {
	run.Scope.Tagged(map[string]string{"route": run.route.Name, "decision": decisionLabel(dec)}).Counter("forward_calls").Inc(1)
	run.Scope.Tagged(map[string]string{"decision": decisionLabel(dec)}).Timer("forward_seconds").Record(run.Clock().Sub(run.arrived))
	switch dec := dec.(type) {
	case Deliver:
		run.deliver()
	case Refuse:
		run.writeRejection(&rejection{
			status: http.StatusServiceUnavailable, code: dec.Code, message: "the call has not run and will not",
			retryAfter: max(retryAfter, minRetryAfter),
		})
	case Fail:
		run.writeRejection(&rejection{status: dec.Status, code: dec.Code, message: "the call failed and may have run"})
	default:
		code := ""
		if cut, ok := dec.(Cut); ok {
			code = cut.Code
		}
		run.log.Warn().Int("Events", run.state.Events).Str("Code", code).Msg("aborting the connection in the middle of the answer")
		panic(http.ErrAbortHandler)
	}
}

func decisionLabel(dec Decision) string {
	switch dec.(type) {
	case Deliver:
		return "deliver"
	case Refuse:
		return "refuse"
	case Fail:
		return "fail"
	case Resend:
		return "resend"
	default:
		return "cut"
	}
}

// deliver writes a complete answer. A stream was already written as its events arrived.
func (run *run) deliver() {
	if run.answer.status == 0 {
		return
	}
	run.copyHeader(run.answer.header)
	run.wri.Header().Set("Content-Length", strconv.Itoa(len(run.answer.body)))
	run.wri.WriteHeader(run.answer.status)
	_, _ = run.wri.Write(run.answer.body)
}

func (run *run) copyHeader(from http.Header) {
	hea := from.Clone()
	stripHopHeaders(hea)
	for name, vals := range hea {
		run.wri.Header()[name] = vals
	}
}

// writeRejection answers the call on behalf of the host.
func (run *run) writeRejection(rej *rejection) {
	run.log.Warn().Int("Status", rej.status).Str("Code", rej.code).Str("Message", rej.message).Dur("RetryAfterMs", rej.retryAfter).
		Dur("AfterMs", run.Clock().Sub(run.arrived)).Msg("call answered by the host")
	run.Scope.Tagged(map[string]string{"code": rej.code}).Counter("forward_rejections").Inc(1)
	run.Codec.HostAnswer(run.wri.Header(), run.call.ID, rej.retryAfter)
	bod, _ := json.Marshal(struct{ Code, Message string }{rej.code, rej.message})
	run.wri.Header().Set("Content-Type", "application/json")
	run.wri.Header().Set("Content-Length", strconv.Itoa(len(bod)))
	run.wri.WriteHeader(rej.status)
	_, _ = run.wri.Write(bod)
}
