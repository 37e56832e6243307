package relayer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"hemlockpin/connection/exchanger"
	"hemlockpin/connection/rationer"
	"hemlockpin/request/receiver"
)

const (
	// firstEventFactor times the expected time to the first event is the limit after
	// which another endpoint is sought for a stream.
	firstEventFactor = 3
	// objectiveFactor times the objective is the minimum of that limit. firstEventSlack
	// is always added, since one forward pass of a loaded engine takes a few hundred
	// milliseconds.
	objectiveFactor = 2
	firstEventSlack = 600 * time.Millisecond
	// pauseFactor times the objective for pauses is the longest pause of a stream that
	// does not count as a stall. Callers give up after eight times the objective. With
	// a shorter limit, endpoints that prefill a long prompt and send nothing meanwhile
	// would count as stalled.
	pauseFactor = 6
	// minPauseLimit is the shortest pause that counts as a stall. Callers wait for at
	// least two seconds, and another engine needs a few hundred milliseconds to send
	// its first event.
	minPauseLimit = 1500 * time.Millisecond
	// answerFactor times the objective is the limit after which another endpoint is
	// sought for a non-streamed answer.
	answerFactor = 2
	// replacementInterval is the time between two searches for a replacement of a
	// stalled endpoint.
	replacementInterval = 300 * time.Millisecond
	// maxRepeatedEvents bounds the already delivered events that an endpoint may send
	// again when a stream resumes; the host drops them. Streams have a few dozen
	// events.
	maxRepeatedEvents = 1024
)

// Faults of streams that an endpoint sends.
var (
	errCrashed        = errors.New("answer without a frame was closed by an endpoint that refuses connections")
	errRepeatedEvents = errors.New("stream repeats events that the caller already received")
	errShortRun       = errors.New("stream ends before the last event that the caller received, so it is no continuation")
)

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

// originForm returns the path and the query of a request's target, which may be a whole URI. It
// returns false if the target has no path.
func originForm(target string) (string, bool) {
	if strings.HasPrefix(target, "/") {
		return target, true
	}
	_, rest, ok := strings.Cut(target, "://")
	if !ok {
		return "", false
	}
	start := strings.IndexAny(rest, "/?")
	switch {
	case start < 0:
		return "/", true
	case rest[start] == '?':
		return "/" + rest[start:], true
	default:
		return rest[start:], true
	}
}

// send sends the call to one endpoint and forwards the events of a stream.
func (fwd *forwarding) send(ctx context.Context, lea Lease) Outcome {
	ctx, spa := fwd.Tracer.Start(ctx, "dispatch")
	defer spa.End()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := fwd.watchStall(ctx, lea, cancel)
	defer watch.stop()
	ans, err := fwd.Exchanger.Exchange(ctx, lea.Endpoint.Address, exchanger.Request{
		Method: fwd.htr.Method, Target: fwd.target, Host: fwd.htr.Host, Body: fwd.body,
		Header: func() (http.Header, error) { return fwd.header(lea) },
	})
	if err != nil {
		out := fwd.sendFailure(ctx, lea, err)
		fwd.recordTrial(ctx, lea, out, nil, 0)
		return out
	}
	defer ans.Close()
	before := fwd.state.Events
	out := fwd.readAnswer(ctx, lea, ans, watch)
	fwd.recordTrial(ctx, lea, out, ans, fwd.state.Events-before)
	return out
}

// header returns the headers of a send. It runs once the connection is established, and
// fails if the time limit has passed, for example because the host was suspended
// meanwhile, or if the prompt was quarantined while the call waited for an endpoint.
func (fwd *forwarding) header(lea Lease) (http.Header, error) {
	now := fwd.Clock()
	left := fwd.deadline.Sub(now) - fwd.suspendedSince(now)
	if left <= 0 {
		return nil, errTimeLimit
	}
	if fwd.quarantineLeft(now) > 0 {
		return nil, errQuarantined
	}
	fwd.trial = fwd.newTrial()
	hea := fwd.htr.Header.Clone()
	stripHopHeaders(hea)
	fwd.Codec.Dispatch(hea, Dispatch{
		Endpoint: lea.Endpoint.ID, Team: fwd.team.Name, TimeLeft: left, LastEvent: fwd.lastEvent, Helpers: lea.Helpers,
	})
	hea.Set("Connection", "close")
	return hea, nil
}

// stallLimit returns how long the endpoint may take until the first event of a stream
// or the complete non-streamed answer. For a call that cannot be sent again, the limit
// lies after the call's deadline.
func (fwd *forwarding) stallLimit(lea Lease, now time.Time) time.Duration {
	// The deadline ends the send first.
	pastDeadline := fwd.deadline.Sub(now) + time.Second
	objective := time.Duration(fwd.route.FirstTarget)
	if !fwd.route.AllowsResend() || fwd.state.Sends >= fwd.route.Attempts() || objective <= 0 {
		return pastDeadline
	}
	if !fwd.route.Stream {
		return min(pastDeadline, answerFactor*objective)
	}
	return min(pastDeadline, max(firstEventFactor*lea.ExpectedFirstEvent, objectiveFactor*objective)+firstEventSlack)
}

// pauseLimit returns how long a stream may pause after an event. A stream that cannot
// be resumed is in effect limited only by the call's deadline.
func (fwd *forwarding) pauseLimit() time.Duration {
	if !fwd.route.Resumable || fwd.state.Sends >= fwd.route.Attempts() {
		return time.Hour
	}
	return max(minPauseLimit, pauseFactor*time.Duration(fwd.route.PauseTarget))
}

// endedByWatch reports whether the host has given up on the endpoint of a send, while the call goes
// on.
func endedByWatch(ctx context.Context) bool {
	cause := context.Cause(ctx)
	return errors.Is(cause, errStalled) || errors.Is(cause, errLost)
}

// sendFailure turns an error of a send into an outcome.
func (fwd *forwarding) sendFailure(ctx context.Context, lea Lease, err error) Outcome {
	var dialErr *exchanger.NotSentError
	unreached := errors.As(err, &dialErr)
	switch {
	case ctx.Err() != nil && !endedByWatch(ctx):
		return fwd.endOutcome(ctx, !unreached)
	case unreached && errors.Is(err, errTimeLimit):
		return TimedOut{}
	case errors.Is(err, errQuarantined):
		return Quarantined{}
	case unreached:
		lea.ReportFailure("")
		fwd.log.Warn().Str("Endpoint", lea.Endpoint.ID).Str("Peer", lea.Endpoint.Address).Err(err).Msg("connecting to the endpoint failed")
		return Unreached{}
	default:
		lea.ReportFailure("")
		fwd.log.Warn().Str("Endpoint", lea.Endpoint.ID).Str("Peer", lea.Endpoint.Address).Strs("SharedParts", fwd.call.SharedParts).AnErr("Cause", context.Cause(ctx)).Err(err).
			Msg("endpoint failed the call")
		return Broken{Cause: err.Error()}
	}
}

// readAnswer checks the headers of an endpoint's answer, and forwards the stream or
// buffers the complete answer.
func (fwd *forwarding) readAnswer(ctx context.Context, lea Lease, ans *exchanger.Answer, watch *stallWatch) Outcome {
	info := fwd.Codec.Answer(ans.Status, ans.Header)
	fwd.reportUnreadable("endpoint", ans.Header)
	if info.ID != "" && info.ID != fwd.call.ID {
		return fwd.sendFailure(ctx, lea, errors.New("answer belongs to another call"))
	}
	if !info.OtherEndpoint {
		lea.ReportAnswer(info)
	}
	switch {
	case info.NotRun:
		if info.FaultyEndpoint != "" || ans.Status != http.StatusTooManyRequests {
			lea.ReportFailure(info.FaultyEndpoint)
		}
		fwd.log.Info().Str("Endpoint", lea.Endpoint.ID).Int("Status", ans.Status).Str("Fault", info.FaultyEndpoint).Bool("OtherEndpoint", info.OtherEndpoint).Msg("endpoint refused the call without running it")
		return NotRun{}
	case impliesNotRun(ans.Status):
		return fwd.sendFailure(ctx, lea, errors.New("endpoint answered "+http.StatusText(ans.Status)+" without the header that says that the call has not run"))
	case !info.HasProof:
		return fwd.sendFailure(ctx, lea, errors.New("answer carries no proof that the endpoint produced it"))
	case ans.Status == http.StatusOK && isStream(ans.Header):
		return fwd.stream(ctx, lea, ans, watch)
	case fwd.state.Events > 0:
		return fwd.sendFailure(ctx, lea, fmt.Errorf("the stream has begun, and an answer with status %d does not continue it", ans.Status))
	}
	if err := fwd.bufferAnswer(ans, watch); err != nil {
		return fwd.sendFailure(ctx, lea, err)
	}
	if fwd.crashed(ctx, lea, ans) {
		fwd.releaseAnswer()
		return fwd.sendFailure(ctx, lea, errCrashed)
	}
	if ans.Status >= http.StatusInternalServerError {
		return Answered{Status: ans.Status}
	}
	return Whole{Framed: ans.Framed}
}

// bufferAnswer reads an answer completely, within the memory budget for bodies.
func (fwd *forwarding) bufferAnswer(ans *exchanger.Answer, watch *stallWatch) error {
	bod := receiver.NewBody(io.NopCloser(watchedReader{ans.Body, watch}), fwd.Bodies, ans.Length, maxAnswerBytes)
	buf, err := receiver.ReadBody(bod, maxAnswerBytes)
	if err != nil {
		bod.Release()
		return err
	}
	bod.Keep(int64(cap(buf)))
	fwd.releaseAnswer()
	fwd.answer, fwd.answerBody = bufferedAnswer{ans.Status, ans.Header, ans.Framed, buf}, bod
	return nil
}

func (fwd *forwarding) releaseAnswer() {
	if fwd.answerBody != nil {
		fwd.answerBody.Release()
		fwd.answer, fwd.answerBody = bufferedAnswer{}, nil
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
func (fwd *forwarding) stream(ctx context.Context, lea Lease, ans *exchanger.Answer, watch *stallWatch) Outcome {
	buf := rationer.Buffer{Memory: fwd.Bodies}
	defer buf.Release()
	ctl := http.NewResponseController(fwd.wri)
	var pos position
	first, forwarded := true, 0
	for {
		eve, err := readEvent(ans.Body, &buf)
		if errors.Is(err, io.EOF) {
			return fwd.endStream(ctx, lea, ans, first, pos)
		}
		if err != nil {
			return fwd.sendFailure(ctx, lea, err)
		}
		if first {
			first = false
			lea.ReportFirstEvent()
			fwd.reportErrored()
			fwd.log.Info().Str("Endpoint", lea.Endpoint.ID).Dur("AfterMs", fwd.Clock().Sub(fwd.arrived)).Dur("ExpectedMs", lea.ExpectedFirstEvent).Msg("stream began")
		}
		if pos.repeats(eve.id, fwd.lastEvent) {
			// Repeated events do not count as progress: a faulty endpoint may repeat
			// them without end.
			if pos.repeated > maxRepeatedEvents {
				return fwd.sendFailure(ctx, lea, errRepeatedEvents)
			}
			continue
		}
		watch.eventReceived()
		fwd.writeHead(ans)
		fwd.limitWrite()
		if _, err := fwd.wri.Write(eve.raw); err != nil {
			return CallerDisconnected{}
		}
		if err := ctl.Flush(); err != nil {
			return CallerDisconnected{}
		}
		watch.eventForwarded()
		fwd.recordForwarded(eve)
		if forwarded++; forwarded == soundEvents {
			fwd.recordSound()
		}
	}
}

// limitWrite bounds the next write to the caller.
func (fwd *forwarding) limitWrite() {
	if fwd.WriteTimeout > 0 {
		// A writer without deadlines is one of a test.
		_ = http.NewResponseController(fwd.wri).SetWriteDeadline(fwd.Clock().Add(fwd.WriteTimeout))
	}
}

// endStream returns the outcome of an answer that has ended between two events. empty says
// that it had no event.
func (fwd *forwarding) endStream(ctx context.Context, lea Lease, ans *exchanger.Answer, empty bool, pos position) Outcome {
	switch {
	case empty && !ans.Framed:
		// Nothing marks the end of such a stream, so it may as well have been broken off.
		return fwd.sendFailure(ctx, lea, io.ErrUnexpectedEOF)
	case pos.behind:
		return fwd.sendFailure(ctx, lea, errShortRun)
	case fwd.crashed(ctx, lea, ans):
		return fwd.sendFailure(ctx, lea, errCrashed)
	default:
		fwd.writeHead(ans)
		return Whole{Framed: ans.Framed}
	}
}

// crashed reports whether an answer that nothing marks the end of has ended because its
// endpoint has.
func (fwd *forwarding) crashed(ctx context.Context, lea Lease, ans *exchanger.Answer) bool {
	return !ans.Framed && fwd.Exchanger.Refuses(ctx, lea.Endpoint.Address, crashCheckTimeout)
}

// recordForwarded records an event that was sent to the caller.
func (fwd *forwarding) recordForwarded(eve event) {
	fwd.mu.Lock()
	defer fwd.mu.Unlock()
	// A block without data, such as a comment, is no event to resume after.
	fwd.state.Numbered = eve.id != "" || !eve.hasData && (fwd.state.Numbered || fwd.state.Events == 0)
	fwd.state.Events++
	fwd.lastEventAt = fwd.Clock()
	if eve.id != "" {
		fwd.lastEvent = eve.id
	}
}

// writeHead writes the head of a stream before its first event, with the headers of the
// first endpoint that sent an event. The stream takes the place of an earlier endpoint's
// failure.
func (fwd *forwarding) writeHead(ans *exchanger.Answer) {
	if fwd.state.Events > 0 {
		return
	}
	fwd.releaseAnswer()
	fwd.copyHeader(ans.Header)
	framed := fwd.startFrame(ans.Framed, -1)
	fwd.mu.Lock()
	fwd.state.CallerFramed = framed
	fwd.mu.Unlock()
	fwd.wri.WriteHeader(ans.Status)
}
