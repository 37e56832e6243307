package relayer

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"hemlockpin/connection/exchanger"
	"hemlockpin/process/drainer"
	"hemlockpin/process/quarantiner"
	"hemlockpin/request/receiver"
	"hemlockpin/version/matcher"
	"hemlockpin/version/parser"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"
)

const (
	// defaultTimeLimit bounds a call if neither its caller nor its route sets a time
	// limit.
	defaultTimeLimit = 30 * time.Second
	// maxAnswerBytes bounds a non-streamed answer, which is buffered: a faulty endpoint
	// may send data without end.
	maxAnswerBytes = 8 << 20
	// minRetryAfter is the shortest Retry-After of a refused call.
	minRetryAfter = 100 * time.Millisecond
)

// Causes for which a send is cancelled.
var (
	errTimeLimit = errors.New("the time limit of the call has passed")
	errStalled   = errors.New("the endpoint is stalled and another endpoint is available")
	errLost      = errors.New("the endpoint does not run the call any more, and its answer has not arrived")
	// errQuarantined is the cause for which a call is not sent.
	errQuarantined = errors.New("engines crash on parts of the prompt")
)

// RetryBudget limits the resends of calls, for each pool.
type RetryBudget interface {
	// Earn counts a call to a pool, which earns a share of a resend.
	Earn(pool string, now time.Time)
	// Take takes a resend of a call to a pool from the budget. It returns false if none
	// is left.
	Take(pool string, now time.Time) bool
}

// Relayer forwards calls. All fields are required unless their comment says otherwise.
type Relayer struct {
	Codec       Codec
	Tables      func() *matcher.Matcher
	Placer      Placer
	Exchanger   *exchanger.Exchanger
	RetryBudget RetryBudget
	Bodies      *receiver.MemoryBudget
	// Quarantine learns on which parts of prompts engines crash; nil for none.
	Quarantine *quarantiner.Ledger
	// Ready is closed once the host has tables and the list of endpoints; nil if it
	// always has both.
	Ready <-chan struct{}
	// Stale reports whether the host's tables and endpoints must be confirmed before
	// calls are accepted, as after a suspension of the host; nil for never.
	// SuspendedFor returns the total time for which the host was suspended; nil if it
	// never is.
	Stale        func(now time.Time) bool
	SuspendedFor func(now time.Time) time.Duration
	// Drain tells what the host's drain permits, and whether callers are asked to close
	// their connections; nil for a host that never drains.
	Drain *drainer.Gate
	// MaxBodyBytes bounds the body of a call if the tables set no limit.
	MaxBodyBytes int64
	// WriteTimeout bounds one write to a caller that reads slowly; 0 for no bound.
	WriteTimeout time.Duration
	Clock        func() time.Time
	Log          zerolog.Logger
	Scope        tally.Scope
	Tracer       trace.Tracer
}

// forwarding is the state of one call in progress.
type forwarding struct {
	*Relayer
	wri  http.ResponseWriter
	htr  *http.Request
	call CallInfo
	// target is the path and the query of the call as it is sent to endpoints.
	target string
	route  parser.Route
	pool   parser.Pool
	team   parser.Team
	// body is the call's body, which is kept for further sends. requestBody and answerBody
	// account for the memory of body and answer in the budget for bodies.
	body        []byte
	requestBody *receiver.Body
	answerBody  *receiver.Body
	arrived     time.Time
	deadline    time.Time
	// suspendedBefore is the time for which the host was suspended before the call
	// arrived.
	suspendedBefore time.Duration
	// reportErrors report the endpoints that have answered with failures, once another endpoint
	// serves the call.
	reportErrors []func()
	// trial is the last send as a trial of the prompt's parts.
	trial quarantiner.Trial
	log   zerolog.Logger
	// answer is the last complete answer of an endpoint.
	answer bufferedAnswer
	// replacement is a lease on another endpoint, obtained while the current endpoint
	// was stalled.
	replacement *Lease

	// mu guards the fields below, which the search for a replacement reads
	// concurrently.
	mu    sync.Mutex
	state State
	// excluded lists the endpoints that have failed the call.
	excluded []string
	// lastEvent is the ID of the last event forwarded, and lastEventAt the time at
	// which an event was last forwarded; zero before the first one.
	lastEvent   string
	lastEventAt time.Time
}

// bufferedAnswer is a complete answer of an endpoint.
type bufferedAnswer struct {
	status int
	header http.Header
	// framed says that a length or chunks marked the end of the endpoint's answer.
	framed bool
	body   []byte
}

// ServeHTTP forwards one call.
func (rel *Relayer) ServeHTTP(wri http.ResponseWriter, htr *http.Request) {
	fwd := &forwarding{Relayer: rel, wri: wri, htr: htr, arrived: rel.Clock()}
	fwd.suspendedBefore = fwd.suspendedSince(fwd.arrived)
	ctx, spa := rel.Tracer.Start(htr.Context(), "forward", trace.WithSpanKind(trace.SpanKindServer))
	defer spa.End()
	ctx, stop := rel.Drain.UntilAnswering(ctx)
	defer stop()
	defer fwd.releaseBody()
	if ans := fwd.accept(); ans != nil {
		fwd.writeError(ans)
		return
	}
	spa.SetAttributes(attribute.String("RequestID", fwd.call.ID), attribute.String("Route", fwd.route.Name))
	fwd.serve(ctx)
}

// releaseBody releases the memory of the call's body.
func (fwd *forwarding) releaseBody() {
	if fwd.requestBody != nil {
		fwd.body = nil
		fwd.requestBody.Release()
	}
}

// serve sends the call to one endpoint after another until Next decides on an answer.
func (fwd *forwarding) serve(ctx context.Context) {
	fwd.RetryBudget.Earn(fwd.pool.Name, fwd.arrived)
	defer fwd.releaseAnswer()
	ctx, stop := context.WithDeadlineCause(ctx, fwd.deadline, errTimeLimit)
	defer stop()
	for {
		if left := fwd.quarantineLeft(fwd.Clock()); left > 0 {
			fwd.dropReplacement()
			fwd.finish(fwd.state.endIncomplete(http.StatusBadGateway, codeQuarantined), left)
			return
		}
		if fwd.replacement == nil && !fwd.maySend(fwd.Clock()) {
			fwd.finishStopping()
			return
		}
		lea, err := fwd.nextLease(ctx)
		if err != nil {
			fwd.finishUnplaced(ctx, err)
			return
		}
		fwd.update(func() { fwd.state = fwd.state.WithSend() })
		out := fwd.send(ctx, lea)
		lea.Release()
		now := fwd.Clock()
		// The retry for a replacement was taken before its placement.
		sta, dec := Next(fwd.state, out, SendLimits{
			Route: fwd.route, Left: fwd.deadline.Sub(now), TakeRetry: func() bool { return fwd.replacement != nil || fwd.takeFromBudget(now) },
		})
		fwd.update(func() { fwd.state = sta })
		fwd.noteError(lea, out)
		fwd.logSend(lea, out, dec, now)
		if _, again := dec.(Resend); !again {
			fwd.dropReplacement()
			fwd.finish(dec, fwd.quarantineLeft(now))
			return
		}
		fwd.update(func() { fwd.excluded = append(fwd.excluded, lea.Endpoint.ID) })
	}
}

// noteError keeps the endpoint of a send that was answered with a failure, until a send is
// served.
func (fwd *forwarding) noteError(lea Lease, out Outcome) {
	switch out.(type) {
	case Answered:
		if lea.ReportError != nil {
			fwd.reportErrors = append(fwd.reportErrors, lea.ReportError)
		}
	case Whole:
		fwd.reportErrored()
	}
}

// reportErrored reports the endpoints that have answered with failures: another one serves the
// call.
func (fwd *forwarding) reportErrored() {
	for _, report := range fwd.reportErrors {
		report()
	}
	fwd.reportErrors = nil
}

// update changes what the search for a replacement reads: it may go on after its send has
// ended.
func (fwd *forwarding) update(change func()) {
	fwd.mu.Lock()
	defer fwd.mu.Unlock()
	change()
}

// nextLease returns the replacement found while the last endpoint was stalled, or else
// requests an endpoint.
func (fwd *forwarding) nextLease(ctx context.Context) (Lease, error) {
	if lea := fwd.replacement; lea != nil {
		fwd.replacement = nil
		return *lea, nil
	}
	return fwd.place(ctx, fwd.excluded)
}

// dropReplacement releases the replacement if it was not used.
func (fwd *forwarding) dropReplacement() {
	if fwd.replacement != nil {
		fwd.replacement.Release()
		fwd.replacement = nil
	}
}

func (fwd *forwarding) place(ctx context.Context, excluded []string) (Lease, error) {
	ctx, spa := fwd.Tracer.Start(ctx, "placement")
	defer spa.End()
	ctx, stop := fwd.untilRefusal(ctx)
	defer stop()
	priority := fwd.route.Priority
	if fwd.team.Priority != nil {
		priority = *fwd.team.Priority
	}
	fwd.mu.Lock()
	req := PlacementRequest{
		ID: fwd.call.ID, Pool: fwd.pool.Name, Team: fwd.team.Name,
		PromptTokens: fwd.call.PromptTokens, MaxTokens: fwd.call.MaxTokens, AnswerTokens: fwd.call.AnswerTokens,
		Priority: priority, WaitingSince: fwd.waitingSince(), Objective: time.Duration(fwd.route.FirstTarget), PauseObjective: time.Duration(fwd.route.PauseTarget),
		Deadline: fwd.deadline, Excluded: excluded, Sends: fwd.state.Sends, Bytes: int64(len(fwd.body)),
	}
	fwd.mu.Unlock()
	lea, err := fwd.Placer.Place(ctx, req)
	if err == nil && !fwd.maySend(fwd.Clock()) {
		lea.Release()
		return Lease{}, drainer.ErrStopping
	}
	return lea, err
}

// waitingSince returns the time from which the caller waits for the next event. For a
// stream that continues on another endpoint, the objective and the caller's timeout
// count from the last event.
func (fwd *forwarding) waitingSince() time.Time {
	if fwd.state.Events > 0 {
		return fwd.lastEventAt
	}
	return fwd.arrived
}

// finishUnplaced ends a call for which no endpoint was available, or whose time limit
// passed or caller disconnected during placement.
func (fwd *forwarding) finishUnplaced(ctx context.Context, err error) {
	if ctx.Err() == nil && !fwd.maySend(fwd.Clock()) {
		fwd.finishStopping()
		return
	}
	if ctx.Err() != nil {
		_, dec := Next(fwd.state, fwd.endOutcome(ctx, false), SendLimits{Route: fwd.route})
		fwd.finish(dec, 0)
		return
	}
	var refused *RefusedError
	if !errors.As(err, &refused) {
		refused = &RefusedError{Code: "placement_failed", Message: err.Error()}
	}
	fwd.log.Warn().Str("Code", refused.Code).Str("Message", refused.Message).Dur("RetryAfterMs", refused.RetryAfter).Int("Sends", fwd.state.Sends).Msg("no endpoint available for the call; ending the call")
	if fwd.answer.status != 0 && fwd.state.Events == 0 {
		// Another endpoint has answered with a failure before; the caller gets that
		// answer rather than an error of the host.
		fwd.finish(Deliver{}, 0)
		return
	}
	fwd.finish(fwd.state.endIncomplete(http.StatusBadGateway, refused.Code), refused.RetryAfter)
}

// endOutcome returns the outcome of a call whose context has ended.
func (fwd *forwarding) endOutcome(ctx context.Context, sent bool) Outcome {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errTimeLimit):
		return TimedOut{Sent: sent}
	case errors.Is(cause, drainer.ErrStopping):
		return Stopping{Sent: sent}
	default:
		return CallerDisconnected{}
	}
}
