package relayer

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"hemlockpin/connection/exchanger"
	"hemlockpin/request/receiver"
	"hemlockpin/version/matcher"
	"hemlockpin/version/parser"

	"github.com/cespare/xxhash/v2"
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
	// startupWait is how long a call waits at a host that has no tables yet. Hosts get
	// the tables within a few hundred milliseconds of their start. After a failure of
	// all hosts no other host could serve the call sooner.
	startupWait = 400 * time.Millisecond
	// staleCheckInterval is how often a waiting call checks whether the host's state
	// has been confirmed.
	staleCheckInterval = 10 * time.Millisecond
	// startRetryAfter is the Retry-After of calls refused because the host still has no
	// tables.
	startRetryAfter = 500 * time.Millisecond
	// minRetryAfter is the shortest Retry-After of a refused call.
	minRetryAfter = 100 * time.Millisecond
)

// Causes for which a send is cancelled.
var (
	errTimeLimit = errors.New("the time limit of the call has passed")
	errStalled   = errors.New("the endpoint is stalled and another one is available")
)

// RetryBudget limits the resends of calls, for each pool.
type RetryBudget interface {
	// Earn counts a call to a pool, which earns a share of a resend.
	Earn(pool string, now time.Time)
	// Take reports whether a call to a pool may be sent once more, and counts the
	// resend.
	Take(pool string, now time.Time) bool
}

// Relayer forwards calls. All fields are required unless their comment says otherwise.
type Relayer struct {
	Codec       Codec
	Tables      func() *matcher.Matcher
	Placer      Placer
	Exchanger   *exchanger.Exchanger
	RetryBudget RetryBudget
	Bodies      *receiver.Budget
	// Ready is closed once the host has tables and the list of endpoints; nil if it
	// always has both.
	Ready <-chan struct{}
	// Stale reports whether the host's tables and endpoints must be confirmed before
	// calls are accepted, as after a suspension of the host; nil for never.
	// SuspendedFor returns the total time for which the host was suspended; nil if it
	// never is.
	Stale        func(now time.Time) bool
	SuspendedFor func(now time.Time) time.Duration
	// Draining reports whether callers are asked to close their connections.
	Draining func() bool
	// MaxBodyBytes bounds the body of a call if the tables set no limit.
	MaxBodyBytes int64
	Clock        func() time.Time
	Log          zerolog.Logger
	Scope        tally.Scope
	Tracer       trace.Tracer
}

// run is the state of one call in progress.
type run struct {
	*Relayer
	wri   http.ResponseWriter
	htr   *http.Request
	call  CallInfo
	route parser.Route
	pool  parser.Pool
	team  parser.Team
	body  []byte
	// answerBody accounts for the memory of answer in the budget for bodies.
	answerBody *receiver.Body
	arrived    time.Time
	deadline   time.Time
	// suspendedBefore is the time for which the host was suspended before the call
	// arrived.
	suspendedBefore time.Duration
	// excluded lists the endpoints that have failed the call.
	excluded []string
	log      zerolog.Logger
	// answer is the last complete answer of an endpoint.
	answer answer
	// replacement is a lease on another endpoint, obtained while the current endpoint
	// was stalled.
	replacement *Lease

	// mu guards the fields below, which the search for a replacement reads
	// concurrently.
	mu    sync.Mutex
	state State
	// lastEvent is the ID of the last event forwarded, and lastEventAt the time at
	// which an event was last forwarded; zero before the first one.
	lastEvent   string
	lastEventAt time.Time
}

// answer is a complete answer.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// ServeHTTP forwards one call.
func (rel *Relayer) ServeHTTP(wri http.ResponseWriter, htr *http.Request) {
	run := &run{Relayer: rel, wri: wri, htr: htr, arrived: rel.Clock()}
	run.suspendedBefore = run.suspendedSince(run.arrived)
	ctx, spa := rel.Tracer.Start(htr.Context(), "forward", trace.WithSpanKind(trace.SpanKindServer))
	defer spa.End()
	if rel.Draining() {
		wri.Header().Set("Connection", "close")
	}
	if rej := run.accept(); rej != nil {
		run.writeRejection(rej)
		return
	}
	spa.SetAttributes(attribute.String("RequestID", run.call.ID), attribute.String("Route", run.route.Name))
	run.serve(ctx)
}

// rejection is an answer of the host itself to a call.
type rejection struct {
	status     int
	code       string
	message    string
	retryAfter time.Duration
}

// accept reads the call, finds its route and checks its key. It returns a rejection if
// the call cannot be forwarded.
func (run *run) accept() *rejection {
	var err error
	if run.call, err = run.Codec.Call(run.htr.Header); err != nil {
		return &rejection{status: http.StatusBadRequest, code: "bad_header", message: err.Error()}
	}
	run.log = run.Log.With().Str("RequestID", run.call.ID).Logger()
	run.awaitTables()
	run.awaitConfirmed()
	mat := run.Tables()
	if mat.Revision() == 0 {
		return &rejection{status: http.StatusServiceUnavailable, code: "host_starting", message: "the host has no tables yet", retryAfter: startRetryAfter}
	}
	rou, _, ok := mat.Route(matcher.Query{Kind: parser.PoolService, Host: run.htr.Host, Path: run.htr.URL.Path})
	if !ok {
		return &rejection{status: http.StatusNotFound, code: "route_not_found", message: "no route takes this call"}
	}
	run.route = rou
	if rej := run.authorize(mat); rej != nil {
		return rej
	}
	run.pool, ok = mat.Pool(rou.PoolFor(xxhash.Sum64String(run.call.ID)))
	if !ok {
		return &rejection{status: http.StatusServiceUnavailable, code: "no_pool", message: "the route's pool is not known", retryAfter: startRetryAfter}
	}
	if rej := run.readBody(mat.Tables().Caller); rej != nil {
		return rej
	}
	timeout := defaultTimeLimit
	if run.call.TimeLeft > 0 {
		timeout = run.call.TimeLeft
	}
	run.deadline = run.arrived.Add(min(timeout, time.Duration(rou.TimeLimit)))
	run.lastEvent = run.call.LastEvent
	run.log.Info().Str("Route", rou.Name).Str("Pool", run.pool.Name).Str("Team", run.team.Name).Uint64("TablesRevision", mat.Revision()).
		Int64("PromptTokens", run.call.PromptTokens).Dur("LeftMs", run.deadline.Sub(run.arrived)).Msg("call accepted")
	return nil
}

// awaitTables waits up to startupWait for the tables of a starting host.
func (run *run) awaitTables() {
	if run.Ready == nil {
		return
	}
	select {
	case <-run.Ready:
		return
	default:
	}
	timer := time.NewTimer(startupWait)
	defer timer.Stop()
	select {
	case <-run.Ready:
		run.log.Info().Dur("HeldMs", run.Clock().Sub(run.arrived)).Msg("call waited for the tables of the starting host")
	case <-timer.C:
	case <-run.htr.Context().Done():
	}
}

// awaitConfirmed waits up to startupWait until a host that was suspended has confirmed
// its tables and endpoints. After that time the call is served with the old state, so
// that an outage of the store does not stop calls.
func (run *run) awaitConfirmed() {
	if run.Stale == nil || !run.Stale(run.arrived) {
		return
	}
	ticker := time.NewTicker(staleCheckInterval)
	defer ticker.Stop()
	for now := run.arrived; now.Sub(run.arrived) < startupWait && run.Stale(now); now = run.Clock() {
		select {
		case <-ticker.C:
		case <-run.htr.Context().Done():
			return
		}
	}
	run.log.Info().Dur("HeldMs", run.Clock().Sub(run.arrived)).Bool("Stale", run.Stale(run.Clock())).Msg("call waited for the host to confirm its state after a suspension")
}

// suspendedSince returns the time for which the host was suspended since the call
// arrived.
func (run *run) suspendedSince(now time.Time) time.Duration {
	if run.SuspendedFor == nil {
		return 0
	}
	return run.SuspendedFor(now) - run.suspendedBefore
}

func (run *run) authorize(mat *matcher.Matcher) *rejection {
	if run.route.Public || len(mat.Tables().Teams) == 0 {
		return nil
	}
	tea, ok := mat.Team(run.call.Key)
	if run.call.Key == "" || !ok {
		return &rejection{status: http.StatusUnauthorized, code: "invalid_api_key", message: "the key belongs to no team"}
	}
	run.team = tea
	return nil
}

func (run *run) readBody(lim parser.Limits) *rejection {
	maxBytes := run.MaxBodyBytes
	if lim.MaxBodyBytes > 0 {
		maxBytes = lim.MaxBodyBytes
	}
	bod := receiver.NewBody(run.htr.Body, run.Bodies, run.htr.ContentLength, maxBytes)
	defer bod.Release()
	var err error
	if run.body, err = receiver.ReadBody(bod, maxBytes); err == nil {
		return nil
	}
	var badReq *receiver.BadRequestError
	if errors.As(err, &badReq) {
		return &rejection{status: badReq.Status, code: badReq.Code, message: badReq.Message, retryAfter: badReq.RetryAfter}
	}
	return &rejection{status: http.StatusBadRequest, code: "body_incomplete", message: err.Error()}
}

// serve sends the call to one endpoint after another until Next decides on an answer.
func (run *run) serve(ctx context.Context) {
	run.RetryBudget.Earn(run.pool.Name, run.arrived)
	defer run.releaseAnswer()
	ctx, stop := context.WithDeadlineCause(ctx, run.deadline, errTimeLimit)
	defer stop()
	for {
		lea, err := run.nextLease(ctx)
		if err != nil {
			run.finishUnplaced(ctx, err)
			return
		}
		run.state = run.state.WithSend()
		out := run.send(ctx, lea)
		lea.Release()
		now := run.Clock()
		var dec Decision
		run.state, dec = Next(run.state, out, SendLimits{
			Route: run.route, Left: run.deadline.Sub(now), TakeRetry: func() bool { return run.replacement != nil || run.RetryBudget.Take(run.pool.Name, now) },
		})
		run.logSend(lea, out, dec, now)
		if _, again := dec.(Resend); !again {
			run.dropReplacement()
			run.finish(dec, 0)
			return
		}
		run.excluded = append(run.excluded, lea.Endpoint.ID)
	}
}

// nextLease returns the replacement found while the last endpoint was stalled, or else
// requests an endpoint.
func (run *run) nextLease(ctx context.Context) (Lease, error) {
	if lea := run.replacement; lea != nil {
		run.replacement = nil
		return *lea, nil
	}
	return run.place(ctx, run.excluded)
}

// dropReplacement releases the replacement if it was not used.
func (run *run) dropReplacement() {
	if run.replacement != nil {
		run.replacement.Release()
		run.replacement = nil
	}
}

func (run *run) place(ctx context.Context, excluded []string) (Lease, error) {
	ctx, spa := run.Tracer.Start(ctx, "placement")
	defer spa.End()
	priority := run.route.Priority
	if run.team.Priority != nil {
		priority = *run.team.Priority
	}
	run.mu.Lock()
	req := PlacementRequest{
		ID: run.call.ID, Pool: run.pool.Name, Team: run.team.Name,
		PromptTokens: run.call.PromptTokens, MaxTokens: run.call.MaxTokens, AnswerTokens: run.call.AnswerTokens,
		Priority: priority, WaitingSince: run.waitingSince(), Objective: time.Duration(run.route.FirstTarget), PauseObjective: time.Duration(run.route.PauseTarget),
		Deadline: run.deadline, Excluded: excluded, Sends: run.state.Sends,
	}
	run.mu.Unlock()
	return run.Placer.Place(ctx, req)
}

// waitingSince returns the time from which the caller waits for the next event. For a
// stream that continues on another endpoint, the objective and the caller's timeout
// count from the last event.
func (run *run) waitingSince() time.Time {
	if run.state.Events > 0 {
		return run.lastEventAt
	}
	return run.arrived
}

// finishUnplaced ends a call for which no endpoint was available.
func (run *run) finishUnplaced(ctx context.Context, err error) {
	if ctx.Err() != nil {
		_, dec := Next(run.state, run.endOutcome(ctx, false), SendLimits{Route: run.route})
		run.finish(dec, 0)
		return
	}
	var refused *RefusedError
	if !errors.As(err, &refused) {
		refused = &RefusedError{Code: "placement_failed", Message: err.Error()}
	}
	run.log.Warn().Str("Code", refused.Code).Str("Message", refused.Message).Dur("RetryAfterMs", refused.RetryAfter).Int("Sends", run.state.Sends).Msg("no endpoint available for the call")
	if run.answer.status != 0 {
		// Another endpoint has answered with a failure before; the caller gets that
		// answer rather than an error of the host.
		run.finish(Deliver{}, 0)
		return
	}
	run.finish(run.state.abort(http.StatusBadGateway, refused.Code), refused.RetryAfter)
}

// endOutcome returns the outcome of a call whose context has ended.
func (run *run) endOutcome(ctx context.Context, sent bool) Outcome {
	if errors.Is(context.Cause(ctx), errTimeLimit) {
		return TimedOut{Sent: sent}
	}
	return CallerDisconnected{}
}

func (run *run) logSend(lea Lease, out Outcome, dec Decision, now time.Time) {
	line := run.log.Info()
	switch out.(type) {
	case Whole:
	default:
		line = run.log.Warn()
	}
	detail(line.Str("Endpoint", lea.Endpoint.ID).Uint64("EndpointRevision", lea.Endpoint.Revision).Str("Outcome", outcomeLabel(out)), out, dec).
		Int("Sends", run.state.Sends).Int("Events", run.state.Events).Dur("AfterMs", now.Sub(run.arrived)).Msg("send ended")
	run.Scope.Tagged(map[string]string{"route": run.route.Name, "outcome": outcomeLabel(out)}).Counter("forward_sends").Inc(1)
}

// detail adds the decision on an outcome, and the fields that explain it, to a log
// event.
func detail(line *zerolog.Event, out Outcome, dec Decision) *zerolog.Event {
	switch out := out.(type) {
	case Answered:
		line.Int("Status", out.Status)
	case Broken:
		line.Str("Step", out.Cause)
	case TimedOut:
		line.Bool("Sent", out.Sent)
	}
	line.Str("Decision", decisionLabel(dec))
	switch dec := dec.(type) {
	case Refuse:
		line.Str("Code", dec.Code)
	case Fail:
		line.Str("Code", dec.Code)
	case Cut:
		line.Str("Code", dec.Code)
	}
	return line
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
	case Broken:
		return "broken"
	case TimedOut:
		return "time_limit"
	default:
		return "caller_gone"
	}
}
