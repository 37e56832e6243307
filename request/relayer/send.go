package relayer

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"hemlockpin/connection/exchanger"
	"hemlockpin/request/receiver"
)

const (
	// firstEventFactor is how many times the expected time to the first event the
	// endpoint may take before the call is sent to another one.
	firstEventFactor = 3
	// objectiveFactor and firstEventSlack set the minimum of that limit: under load a
	// pass of an engine takes some hundred milliseconds.
	objectiveFactor = 2
	firstEventSlack = 600 * time.Millisecond
	// pauseFactor is how many times the objective for pauses a stream may stall.
	// Callers give up after eight times the objective. Shorter limits would also hit
	// endpoints that prefill a long prompt and send nothing meanwhile.
	pauseFactor = 6
	// minPauseLimit is the shortest pause that counts as a stall. Callers wait for at
	// least two seconds, and another engine needs some hundred milliseconds to begin.
	minPauseLimit = 1500 * time.Millisecond
	// answerFactor is how many times the objective a non-streamed answer may take
	// before the call is sent to another endpoint.
	answerFactor = 2
	// replacementInterval is the time between two searches for a replacement of a
	// stalled endpoint.
	replacementInterval = 300 * time.Millisecond
	// maxRepeatedEvents bounds the events that an endpoint may repeat to a caller that
	// resumes a stream. Streams have some dozens of events.
	maxRepeatedEvents = 1024
)

var errRepeatedEvents = errors.New("stream repeats events that the caller already received")

// hopHeaders are the headers that concern a single connection only.
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length"}

// stripHopHeaders removes the headers that concern a single connection, including those
// that the Connection header lists.
func stripHopHeaders(hea http.Header) {
	for _, value := range hea.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			hea.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		hea.Del(name)
	}
}

// send sends the call to one endpoint and forwards the events of a stream.
func (run *run) send(ctx context.Context, lea Lease) Outcome {
	ctx, spa := run.Tracer.Start(ctx, "dispatch")
	defer spa.End()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := run.watchStall(ctx, lea, cancel)
	defer watch.stop()
	ans, err := run.Exchanger.Exchange(ctx, lea.Endpoint.Address, exchanger.Request{
		Method: run.htr.Method, Target: run.htr.RequestURI, Host: run.htr.Host, Body: run.body,
		Header: func() (http.Header, error) { return run.header(lea) },
	})
	if err != nil {
		return run.sendFailure(ctx, lea, err)
	}
	defer ans.Close()
	return run.readAnswer(ctx, lea, ans, watch)
}

// header returns the headers of a send. It runs once the connection is established, and
// fails if the time limit has passed, for example because the host was suspended
// meanwhile.
func (run *run) header(lea Lease) (http.Header, error) {
	now := run.Clock()
	left := run.deadline.Sub(now) - run.suspendedSince(now)
	if left <= 0 {
		return nil, errTimeLimit
	}
	hea := run.htr.Header.Clone()
	stripHopHeaders(hea)
	run.Codec.Dispatch(hea, Dispatch{
		Endpoint: lea.Endpoint.ID, Team: run.team.Name, TimeLeft: left, LastEvent: run.lastEvent, Helpers: lea.Helpers,
	})
	hea.Set("Connection", "close")
	return hea, nil
}

// firstEventLimit returns how long the endpoint may take until the first byte of its
// answer. Calls that cannot be sent again wait until their own time limit.
func (run *run) firstEventLimit(lea Lease, now time.Time) time.Duration {
	left := run.deadline.Sub(now) + time.Second
	objective := time.Duration(run.route.FirstTarget)
	if !run.route.Reruns() || run.state.Sends >= run.route.Attempts() || objective <= 0 {
		return left
	}
	if !run.route.Stream {
		return min(left, answerFactor*objective)
	}
	return min(left, max(firstEventFactor*lea.ExpectedFirstEvent, objectiveFactor*objective)+firstEventSlack)
}

// pauseLimit returns how long a stream may pause after an event.
func (run *run) pauseLimit() time.Duration {
	if !run.route.Resumable || run.state.Sends >= run.route.Attempts() {
		return time.Hour
	}
	return max(minPauseLimit, pauseFactor*time.Duration(run.route.PauseTarget))
}

// sendFailure turns an error of a send into an outcome.
func (run *run) sendFailure(ctx context.Context, lea Lease, err error) Outcome {
	var dialErr *exchanger.DialError
	unreached := errors.As(err, &dialErr)
	switch {
	case ctx.Err() != nil && !errors.Is(context.Cause(ctx), errStalled):
		return run.endOutcome(ctx, !unreached)
	case unreached && errors.Is(err, errTimeLimit):
		return TimedOut{}
	case unreached:
		lea.ReportFailure("")
		run.log.Warn().Str("Endpoint", lea.Endpoint.ID).Str("Peer", lea.Endpoint.Address).Err(err).Msg("connecting to the endpoint failed")
		return Unreached{}
	default:
		lea.ReportFailure("")
		run.log.Warn().Str("Endpoint", lea.Endpoint.ID).Str("Peer", lea.Endpoint.Address).AnErr("Cause", context.Cause(ctx)).Err(err).Msg("send to the endpoint failed")
		return Broken{Cause: err.Error()}
	}
}

// readAnswer reads the answer of an endpoint.
func (run *run) readAnswer(ctx context.Context, lea Lease, ans *exchanger.Answer, watch *stallWatch) Outcome {
	hea := run.Codec.Answer(ans.Status, ans.Header)
	switch {
	case hea.ID != "" && hea.ID != run.call.ID:
		return run.sendFailure(ctx, lea, errors.New("answer belongs to another call"))
	case hea.NotRun:
		if hea.FaultyEndpoint != "" || ans.Status != http.StatusTooManyRequests {
			lea.ReportFailure(hea.FaultyEndpoint)
		}
		run.log.Info().Str("Endpoint", lea.Endpoint.ID).Int("Status", ans.Status).Str("Fault", hea.FaultyEndpoint).Bool("OtherEndpoint", hea.OtherEndpoint).Msg("endpoint refused the call without running it")
		return NotRun{}
	case impliesNotRun(ans.Status):
		return run.sendFailure(ctx, lea, errors.New("endpoint answered "+http.StatusText(ans.Status)+" without the header that says that the call has not run"))
	case !hea.HasProof:
		return run.sendFailure(ctx, lea, errors.New("answer carries no proof that the endpoint produced it"))
	case ans.Status == http.StatusOK && isStream(ans.Header):
		return run.stream(ctx, lea, ans, watch)
	}
	if err := run.keepAnswer(ans); err != nil {
		return run.sendFailure(ctx, lea, err)
	}
	if ans.Status >= http.StatusInternalServerError {
		return Answered{Status: ans.Status}
	}
	return Whole{}
}

// keepAnswer reads an answer completely, within the memory budget for bodies.
func (run *run) keepAnswer(ans *exchanger.Answer) error {
	bod := receiver.NewBody(io.NopCloser(ans.Body), run.Bodies, ans.Length, maxAnswerBytes)
	buf, err := receiver.ReadBody(bod, maxAnswerBytes)
	if err != nil {
		bod.Release()
		return err
	}
	run.releaseAnswer()
	run.answer, run.answerBody = answer{ans.Status, ans.Header, buf}, bod
	return nil
}

func (run *run) releaseAnswer() {
	if run.answerBody != nil {
		run.answerBody.Release()
		run.answerBody = nil
	}
}

// impliesNotRun reports whether callers take a status to mean that the call has not
// run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

func isStream(hea http.Header) bool {
	return strings.HasPrefix(hea.Get("Content-Type"), "text/event-stream")
}

// stream forwards the events of a stream as they arrive.
func (run *run) stream(ctx context.Context, lea Lease, ans *exchanger.Answer, watch *stallWatch) Outcome {
	var buf []byte
	ctl := http.NewResponseController(run.wri)
	first, repeated := true, 0
	for {
		eve, err := readEvent(ans.Body, buf)
		switch {
		case errors.Is(err, io.EOF):
			run.writeHead(ans)
			return Whole{}
		case err != nil:
			return run.sendFailure(ctx, lea, err)
		}
		buf = eve.raw
		if first {
			first = false
			lea.ReportFirstEvent()
			run.log.Info().Str("Endpoint", lea.Endpoint.ID).Dur("AfterMs", run.Clock().Sub(run.arrived)).Dur("ExpectedMs", lea.ExpectedFirstEvent).Msg("stream began")
		}
		if !follows(eve.id, run.lastEvent) {
			// Repeated events do not count as progress: a faulty endpoint may repeat
			// them without end.
			if repeated++; repeated > maxRepeatedEvents {
				return run.sendFailure(ctx, lea, errRepeatedEvents)
			}
			continue
		}
		watch.eventReceived()
		run.writeHead(ans)
		if _, err := run.wri.Write(eve.raw); err != nil {
			return CallerDisconnected{}
		}
		if err := ctl.Flush(); err != nil {
			return CallerDisconnected{}
		}
		run.recordForwarded(eve)
	}
}

// recordForwarded records an event that was sent to the caller.
func (run *run) recordForwarded(eve event) {
	run.mu.Lock()
	defer run.mu.Unlock()
	run.state.Events++
	run.lastEventAt = run.Clock()
	if eve.id != "" {
		run.lastEvent = eve.id
	}
}

// writeHead writes the head of a stream before its first event, with the headers of the
// first endpoint that sent one.
func (run *run) writeHead(ans *exchanger.Answer) {
	if run.state.Events > 0 {
		return
	}
	run.copyHeader(ans.Header)
	run.wri.WriteHeader(ans.Status)
}
