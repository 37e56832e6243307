package relayer

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// finish ends the call as decided. For any decision but Deliver, Refuse and Fail, it
// aborts the connection by a panic with http.ErrAbortHandler.
func (fwd *forwarding) finish(dec Decision, retryAfter time.Duration) {
	fwd.Scope.Tagged(map[string]string{"route": fwd.route.Name, "decision": decisionLabel(dec)}).Counter("forward_calls").Inc(1)
	fwd.Scope.Tagged(map[string]string{"decision": decisionLabel(dec)}).Timer("forward_seconds").Record(fwd.Clock().Sub(fwd.arrived))
	fwd.limitWrite()
	switch dec := dec.(type) {
	case Deliver:
		fwd.deliver()
	case Refuse:
		fwd.writeError(&errorAnswer{
			status: http.StatusServiceUnavailable, code: dec.Code, message: "the call has not run and will not",
			retryAfter: max(retryAfter, minRetryAfter),
		})
	case Fail:
		fwd.writeError(&errorAnswer{status: dec.Status, code: dec.Code, message: "the call failed and may have run"})
	default:
		code := ""
		if cut, ok := dec.(Cut); ok {
			code = cut.Code
		}
		fwd.log.Warn().Int("Events", fwd.state.Events).Str("Code", code).Msg("aborting the caller's connection without a complete answer")
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
func (fwd *forwarding) deliver() {
	if fwd.answer.status == 0 {
		if !fwd.state.CallerFramed {
			fwd.endFrame()
		}
		return
	}
	fwd.copyHeader(fwd.answer.header)
	framed := fwd.startFrame(fwd.answer.framed, len(fwd.answer.body))
	fwd.wri.WriteHeader(fwd.answer.status)
	_, _ = fwd.wri.Write(fwd.answer.body)
	if !framed {
		fwd.endFrame()
	}
}

func (fwd *forwarding) copyHeader(from http.Header) {
	hea := from.Clone()
	stripHopHeaders(hea)
	for name, vals := range hea {
		fwd.wri.Header()[name] = vals
	}
	fwd.closeIfDraining()
}

// writeError answers the call with an error of the host itself.
func (fwd *forwarding) writeError(ans *errorAnswer) {
	fwd.log.Warn().Int("Status", ans.status).Str("Code", ans.code).Str("Message", ans.message).Dur("RetryAfterMs", ans.retryAfter).
		Dur("AfterMs", fwd.Clock().Sub(fwd.arrived)).Msg("call answered by the host")
	fwd.Scope.Tagged(map[string]string{"code": ans.code}).Counter("forward_rejections").Inc(1)
	fwd.limitWrite()
	fwd.Codec.HostAnswer(fwd.wri.Header(), fwd.call.ID, ans.retryAfter)
	fwd.closeIfDraining()
	body, _ := json.Marshal(struct{ Code, Message string }{ans.code, ans.message})
	fwd.wri.Header().Set("Content-Type", "application/json")
	fwd.wri.Header().Set("Content-Length", strconv.Itoa(len(body)))
	fwd.wri.WriteHeader(ans.status)
	_, _ = fwd.wri.Write(body)
}
