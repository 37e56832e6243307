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
	// silenceFactor is how many times the expected time to the first event may
	// pass before the call is sent elsewhere.
	silenceFactor = 3
	// objectiveFactor and silenceSlack bound the same from below: under load a pass
	// of an engine takes some hundred milliseconds.
	objectiveFactor = 2
	silenceSlack    = 600 * time.Millisecond
	// pauseFactor is how many times the pause's objective a stream may be silent.
	// Callers give a stream up after eight times, and an endpoint that reads a long
	// prompt is silent without being dead.
	pauseFactor = 6
	// leastPause is the shortest silence of a stream that counts. Callers wait for
	// two seconds at least; another engine needs some hundred milliseconds to begin.
	leastPause = 1500 * time.Millisecond
	// answerFactor is how many times the objective an answer that is no stream
	// may take before the call is sent elsewhere.
	answerFactor = 2
	// silenceRetry is the pause between two looks for another endpoint while one is
	// silent.
	silenceRetry = 300 * time.Millisecond
	// maxRepeated is the number of events that an endpoint may repeat to a caller that
	// resumes a stream. Streams have some dozens of events.
	maxRepeated = 1024
)

var errRepeats = errors.New("the stream repeats events that the caller has")

// perConnection are the headers that concern one connection only.
var perConnection = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length"}

// strip removes the headers of one connection, with those that it names itself.
func strip(hea http.Header) {
	for _, val := range hea.Values("Connection") {
		for nam := range strings.SplitSeq(val, ",") {
			hea.Del(strings.TrimSpace(nam))
		}
	}
	for _, nam := range perConnection {
		hea.Del(nam)
	}
}

// send sends the call to one endpoint and passes events of a stream on.
func (run *run) send(ctx context.Context, lea Lease) Outcome {
	ctx, spa := run.Tracer.Start(ctx, "dispatch")
	defer spa.End()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	sil := run.watchSilence(ctx, lea, cancel)
	defer sil.stop()
	ans, err := run.Exchanger.Exchange(ctx, lea.Endpoint.Address, exchanger.Request{
		Method: run.htr.Method, Target: run.htr.RequestURI, Host: run.htr.Host, Body: run.body,
		Header: func() (http.Header, error) { return run.header(lea) },
	})
	if err != nil {
		return run.failed(ctx, lea, err)
	}
	defer ans.Close()
	return run.take(ctx, lea, ans, sil)
}

// header makes the head of a send. A host that was paused or suspended since it had the
// connection made does not send a call whose time is over.
func (run *run) header(lea Lease) (http.Header, error) {
	now := run.Clock()
	lef := run.end.Sub(now) - run.sleptSince(now)
	if lef <= 0 {
		return nil, errTimeLimit
	}
	hea := run.htr.Header.Clone()
	strip(hea)
	run.Codec.Dispatch(hea, Dispatch{
		Endpoint: lea.Endpoint.ID, Team: run.team.Name, TimeLeft: lef, LastEvent: run.last, Helpers: lea.Helpers,
	})
	hea.Set("Connection", "close")
	return hea, nil
}

// firstLimit is how long the endpoint may be silent before its first byte. Only
// calls that can be sent again are given up before their time.
func (run *run) firstLimit(lea Lease, now time.Time) time.Duration {
	lef := run.end.Sub(now) + time.Second
	obj := time.Duration(run.route.FirstTarget)
	if !run.route.Reruns() || run.state.Sends >= run.route.Attempts() || obj <= 0 {
		return lef
	}
	if !run.route.Stream {
		return min(lef, answerFactor*obj)
	}
	return min(lef, max(silenceFactor*lea.ExpectedFirst, objectiveFactor*obj)+silenceSlack)
}

// pauseLimit is how long a stream may be silent after an event.
func (run *run) pauseLimit() time.Duration {
	if !run.route.Resumable || run.state.Sends >= run.route.Attempts() {
		return time.Hour
	}
	return max(leastPause, pauseFactor*time.Duration(run.route.PauseTarget))
}

// failed turns an error of a send into its outcome.
func (run *run) failed(ctx context.Context, lea Lease, err error) Outcome {
	var dia *exchanger.DialError
	unreached := errors.As(err, &dia)
	switch {
	case ctx.Err() != nil && !errors.Is(context.Cause(ctx), errSilent):
		return run.ended(ctx, !unreached)
	case unreached && errors.Is(err, errTimeLimit):
		return TimedOut{}
	case unreached:
		lea.Failed("")
		run.log.Warn().Str("Endpoint", lea.Endpoint.ID).Str("Peer", lea.Endpoint.Address).Err(err).Msg("endpoint unreached")
		return Unreached{}
	default:
		lea.Failed("")
		run.log.Warn().Str("Endpoint", lea.Endpoint.ID).Str("Peer", lea.Endpoint.Address).AnErr("Cause", context.Cause(ctx)).Err(err).Msg("send broken")
		return Broken{Step: err.Error()}
	}
}

// take reads the answer of an endpoint.
func (run *run) take(ctx context.Context, lea Lease, ans *exchanger.Answer, sil *silence) Outcome {
	hea := run.Codec.Answer(ans.Status, ans.Header)
	switch {
	case hea.ID != "" && hea.ID != run.call.ID:
		return run.failed(ctx, lea, errors.New("the answer belongs to another call"))
	case hea.NotRun:
		if hea.Fault != "" || ans.Status != http.StatusTooManyRequests {
			lea.Failed(hea.Fault)
		}
		run.log.Info().Str("Endpoint", lea.Endpoint.ID).Int("Status", ans.Status).Str("Fault", hea.Fault).Bool("OtherEndpoint", hea.OtherEndpoint).Msg("endpoint refused")
		return NotRun{}
	case promises(ans.Status):
		return run.failed(ctx, lea, errors.New("the endpoint answered "+http.StatusText(ans.Status)+" without saying that it has not run the call"))
	case !hea.Sealed:
		return run.failed(ctx, lea, errors.New("the answer does not prove that the endpoint made it"))
	case ans.Status == http.StatusOK && isStream(ans.Header):
		return run.stream(ctx, lea, ans, sil)
	}
	if err := run.keepAnswer(ans); err != nil {
		return run.failed(ctx, lea, err)
	}
	if ans.Status >= http.StatusInternalServerError {
		return Answered{Status: ans.Status}
	}
	return Whole{}
}

// keepAnswer reads an answer to its end, within the memory for bodies.
func (run *run) keepAnswer(ans *exchanger.Answer) error {
	bod := receiver.NewBody(io.NopCloser(ans.Body), run.Bodies, ans.Length, maxAnswer)
	buf, err := receiver.ReadBody(bod, maxAnswer)
	if err != nil {
		bod.Release()
		return err
	}
	run.releaseAnswer()
	run.answer, run.kept = answer{ans.Status, ans.Header, buf}, bod
	return nil
}

func (run *run) releaseAnswer() {
	if run.kept != nil {
		run.kept.Release()
		run.kept = nil
	}
}

// promises reports whether a status tells callers that nothing has run.
func promises(status int) bool {
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

// stream passes on whole events as they arrive.
func (run *run) stream(ctx context.Context, lea Lease, ans *exchanger.Answer, sil *silence) Outcome {
	var buf []byte
	con := http.NewResponseController(run.wri)
	beg, rep := true, 0
	for {
		eve, err := readEvent(ans.Body, buf)
		switch {
		case errors.Is(err, io.EOF):
			run.begin(ans)
			return Whole{}
		case err != nil:
			return run.failed(ctx, lea, err)
		}
		buf = eve.raw
		if beg {
			beg = false
			lea.Began()
			run.log.Info().Str("Endpoint", lea.Endpoint.ID).Dur("AfterMs", run.Clock().Sub(run.arrived)).Dur("ExpectedMs", lea.ExpectedFirst).Msg("stream began")
		}
		if !follows(eve.id, run.last) {
			// What the caller has already is no sign of life: an endpoint in trouble may
			// repeat it without end.
			if rep++; rep > maxRepeated {
				return run.failed(ctx, lea, errRepeats)
			}
			continue
		}
		sil.heard()
		run.begin(ans)
		if _, err := run.wri.Write(eve.raw); err != nil {
			return CallerDisconnected{}
		}
		if err := con.Flush(); err != nil {
			return CallerDisconnected{}
		}
		run.forwarded(eve)
	}
}

// forwarded notes an event that the caller has got.
func (run *run) forwarded(eve event) {
	run.mu.Lock()
	defer run.mu.Unlock()
	run.state.Events++
	run.lastAt = run.Clock()
	if eve.id != "" {
		run.last = eve.id
	}
}

// begin sends the head of a stream once, with the headers of its first endpoint.
func (run *run) begin(ans *exchanger.Answer) {
	if run.state.Events > 0 {
		return
	}
	run.copyHeader(ans.Header)
	run.wri.WriteHeader(ans.Status)
}
