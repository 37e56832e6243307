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
	// defaultTime bounds a call whose caller and route name no time.
	defaultTime = 30 * time.Second
	// maxAnswer bounds an answer that is no stream: an endpoint in trouble may send
	// bytes without end.
	maxAnswer = 8 << 20
	// startHold is how long a call waits at a host that has no tables yet. Hosts learn
	// them within some hundred milliseconds of their start, and after a failure of all
	// hosts no other one knows more.
	startHold = 400 * time.Millisecond
	// freshInterval is how often a held call looks whether the host knows enough.
	freshInterval = 10 * time.Millisecond
	// startRetryAfter is told to callers of a host that has no tables by then.
	startRetryAfter = 500 * time.Millisecond
	// leastRetryAfter is the shortest time told to a refused caller.
	leastRetryAfter = 100 * time.Millisecond
)

// Causes for which a send is ended.
var (
	errTimeLimit = errors.New("the time of the call is over")
	errSilent    = errors.New("the endpoint has been silent for too long")
)

// RetryBudget bounds the sends after the first ones of all calls.
type RetryBudget interface {
	// Earn counts a call for a pool.
	Earn(pool string, now time.Time)
	// Take reports whether a call for a pool may be sent once more.
	Take(pool string, now time.Time) bool
}

// Relayer forwards calls. All its fields are needed.
type Relayer struct {
	Codec       Codec
	Tables      func() *matcher.Matcher
	Placer      Placer
	Exchanger   *exchanger.Exchanger
	RetryBudget RetryBudget
	Bodies      *receiver.Budget
	// Ready is closed once the host has tables and knows the endpoints; nil if it always
	// does.
	Ready <-chan struct{}
	// Stale reports whether the host's knowledge has to be confirmed before calls are
	// accepted, as after a suspension; nil if it never has. SuspendedFor is the time for which
	// the host was suspended in all; nil if it never is.
	Stale        func(now time.Time) bool
	SuspendedFor func(now time.Time) time.Duration
	// Draining reports whether callers are to leave their connections.
	Draining func() bool
	// MaxBodyBytes bounds a body where the tables don't.
	MaxBodyBytes int64
	Clock        func() time.Time
	Log          zerolog.Logger
	Scope        tally.Scope
	Tracer       trace.Tracer
}

// run is one call in progress.
type run struct {
	*Relayer
	wri   http.ResponseWriter
	htr   *http.Request
	call  Call
	route parser.Route
	pool  parser.Pool
	team  parser.Team
	body  []byte
	// kept holds the memory of answer.
	kept    *receiver.Body
	arrived time.Time
	end     time.Time
	// slept is the time for which the host was suspended before the call arrived.
	slept time.Duration
	// excluded endpoints have failed the call.
	excluded []string
	log      zerolog.Logger
	// answer is what the last endpoint answered, if it is whole.
	answer answer
	// next is the endpoint at which the call goes on, found while the last one was silent.
	next *Lease

	// mu guards what follows against the look for another endpoint.
	mu    sync.Mutex
	state State
	// last is the last event forwarded, and lastAt when that was; zero before the first
	// one.
	last   string
	lastAt time.Time
}

// answer is a whole answer.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// ServeHTTP forwards one call.
func (rel *Relayer) ServeHTTP(wri http.ResponseWriter, htr *http.Request) {
	run := &run{Relayer: rel, wri: wri, htr: htr, arrived: rel.Clock()}
	run.slept = run.sleptSince(run.arrived)
	ctx, spa := rel.Tracer.Start(htr.Context(), "forward", trace.WithSpanKind(trace.SpanKindServer))
	defer spa.End()
	if rel.Draining() {
		wri.Header().Set("Connection", "close")
	}
	if pro := run.accept(); pro != nil {
		run.reject(pro)
		return
	}
	spa.SetAttributes(attribute.String("RequestID", run.call.ID), attribute.String("Route", run.route.Name))
	run.serve(ctx)
}

// rejection is an answer to a call that is not forwarded.
type rejection struct {
	status     int
	code       string
	message    string
	retryAfter time.Duration
}

// accept reads the call, finds its route and checks its key.
func (run *run) accept() *rejection {
	var err error
	if run.call, err = run.Codec.Call(run.htr.Header); err != nil {
		return &rejection{status: http.StatusBadRequest, code: "bad_header", message: err.Error()}
	}
	run.log = run.Log.With().Str("RequestID", run.call.ID).Logger()
	run.awaitTables()
	run.awaitFresh()
	mat := run.Tables()
	if mat.Revision() == 0 {
		return &rejection{status: http.StatusServiceUnavailable, code: "host_starting", message: "the host has no tables yet", retryAfter: startRetryAfter}
	}
	rou, _, ok := mat.Route(matcher.Query{Kind: parser.PoolService, Host: run.htr.Host, Path: run.htr.URL.Path})
	if !ok {
		return &rejection{status: http.StatusNotFound, code: "route_not_found", message: "no route takes this call"}
	}
	run.route = rou
	if pro := run.authorize(mat); pro != nil {
		return pro
	}
	run.pool, ok = mat.Pool(rou.PoolFor(xxhash.Sum64String(run.call.ID)))
	if !ok {
		return &rejection{status: http.StatusServiceUnavailable, code: "no_pool", message: "the route's pool is not known", retryAfter: startRetryAfter}
	}
	if pro := run.readBody(mat.Tables().Caller); pro != nil {
		return pro
	}
	tim := defaultTime
	if run.call.TimeLeft > 0 {
		tim = run.call.TimeLeft
	}
	run.end = run.arrived.Add(min(tim, time.Duration(rou.TimeLimit)))
	run.last = run.call.LastEvent
	run.log.Info().Str("Route", rou.Name).Str("Pool", run.pool.Name).Str("Team", run.team.Name).Uint64("TablesRevision", mat.Revision()).
		Int64("PromptTokens", run.call.PromptTokens).Dur("LeftMs", run.end.Sub(run.arrived)).Msg("call accepted")
	return nil
}

// awaitTables holds the call for a moment while the host starts.
func (run *run) awaitTables() {
	if run.Ready == nil {
		return
	}
	select {
	case <-run.Ready:
		return
	default:
	}
	tim := time.NewTimer(startHold)
	defer tim.Stop()
	select {
	case <-run.Ready:
		run.log.Info().Dur("HeldMs", run.Clock().Sub(run.arrived)).Msg("call waited for the host's start")
	case <-tim.C:
	case <-run.htr.Context().Done():
	}
}

// awaitFresh holds the call for a moment while a host that was suspended learns what
// has changed meanwhile. A store that is away must not keep calls from being served.
func (run *run) awaitFresh() {
	if run.Stale == nil || !run.Stale(run.arrived) {
		return
	}
	tic := time.NewTicker(freshInterval)
	defer tic.Stop()
	for now := run.arrived; now.Sub(run.arrived) < startHold && run.Stale(now); now = run.Clock() {
		select {
		case <-tic.C:
		case <-run.htr.Context().Done():
			return
		}
	}
	run.log.Info().Dur("HeldMs", run.Clock().Sub(run.arrived)).Bool("Stale", run.Stale(run.Clock())).Msg("call waited for a host that was suspended")
}

// sleptSince is the time for which the host was suspended since the call arrived.
func (run *run) sleptSince(now time.Time) time.Duration {
	if run.SuspendedFor == nil {
		return 0
	}
	return run.SuspendedFor(now) - run.slept
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
	most := run.MaxBodyBytes
	if lim.MaxBodyBytes > 0 {
		most = lim.MaxBodyBytes
	}
	bod := receiver.NewBody(run.htr.Body, run.Bodies, run.htr.ContentLength, most)
	defer bod.Release()
	var err error
	if run.body, err = receiver.ReadBody(bod, most); err == nil {
		return nil
	}
	var bad *receiver.BadRequestError
	if errors.As(err, &bad) {
		return &rejection{status: bad.Status, code: bad.Code, message: bad.Message, retryAfter: bad.RetryAfter}
	}
	return &rejection{status: http.StatusBadRequest, code: "body_incomplete", message: err.Error()}
}

// serve sends the call until it has an answer.
func (run *run) serve(ctx context.Context) {
	run.RetryBudget.Earn(run.pool.Name, run.arrived)
	defer run.releaseAnswer()
	ctx, stop := context.WithDeadlineCause(ctx, run.end, errTimeLimit)
	defer stop()
	for {
		lea, err := run.nextLease(ctx)
		if err != nil {
			run.unplaced(ctx, err)
			return
		}
		run.state = run.state.WithSend()
		out := run.send(ctx, lea)
		lea.End()
		now := run.Clock()
		var dec Decision
		run.state, dec = Next(run.state, out, SendLimits{
			Route: run.route, Left: run.end.Sub(now), TakeRetry: func() bool { return run.next != nil || run.RetryBudget.Take(run.pool.Name, now) },
		})
		run.note(lea, out, dec, now)
		if _, again := dec.(Resend); !again {
			run.dropNext()
			run.finish(dec, 0)
			return
		}
		run.excluded = append(run.excluded, lea.Endpoint.ID)
	}
}

// nextLease returns the endpoint that was found while the last one was silent, or finds
// one.
func (run *run) nextLease(ctx context.Context) (Lease, error) {
	if nex := run.next; nex != nil {
		run.next = nil
		return *nex, nil
	}
	return run.place(ctx, run.excluded)
}

// dropNext gives an endpoint back that the call does not need any more.
func (run *run) dropNext() {
	if run.next != nil {
		run.next.End()
		run.next = nil
	}
}

func (run *run) place(ctx context.Context, excluded []string) (Lease, error) {
	ctx, spa := run.Tracer.Start(ctx, "placement")
	defer spa.End()
	pri := run.route.Priority
	if run.team.Priority != nil {
		pri = *run.team.Priority
	}
	run.mu.Lock()
	ask := PlacementRequest{
		ID: run.call.ID, Pool: run.pool.Name, Team: run.team.Name,
		PromptTokens: run.call.PromptTokens, MaxTokens: run.call.MaxTokens, AnswerTokens: run.call.AnswerTokens,
		Priority: pri, Arrived: run.waitsSince(), Objective: time.Duration(run.route.FirstTarget), Pause: time.Duration(run.route.PauseTarget),
		Deadline: run.end, Excluded: excluded, Sends: run.state.Sends,
	}
	run.mu.Unlock()
	return run.Placer.Place(ctx, ask)
}

// waitsSince is when the caller began to wait for the next event: a stream that goes
// on elsewhere has its objective and its caller's patience from the last event on.
func (run *run) waitsSince() time.Time {
	if run.state.Events > 0 {
		return run.lastAt
	}
	return run.arrived
}

// unplaced ends a call for which no endpoint could be had.
func (run *run) unplaced(ctx context.Context, err error) {
	if ctx.Err() != nil {
		_, dec := Next(run.state, run.ended(ctx, false), SendLimits{Route: run.route})
		run.finish(dec, 0)
		return
	}
	var ref *RefusedError
	if !errors.As(err, &ref) {
		ref = &RefusedError{Code: "placement_failed", Message: err.Error()}
	}
	run.log.Warn().Str("Code", ref.Code).Str("Message", ref.Message).Dur("RetryAfterMs", ref.RetryAfter).Int("Sends", run.state.Sends).Msg("no endpoint")
	if run.answer.status != 0 {
		// The failure that an endpoint has answered is better than none.
		run.finish(Deliver{}, 0)
		return
	}
	run.finish(run.state.give(http.StatusBadGateway, ref.Code), ref.RetryAfter)
}

// ended names the reason for which a call was ended from outside.
func (run *run) ended(ctx context.Context, sent bool) Outcome {
	if errors.Is(context.Cause(ctx), errTimeLimit) {
		return TimedOut{Sent: sent}
	}
	return CallerDisconnected{}
}

func (run *run) note(lea Lease, out Outcome, dec Decision, now time.Time) {
	lin := run.log.Info()
	switch out.(type) {
	case Whole:
	default:
		lin = run.log.Warn()
	}
	detail(lin.Str("Endpoint", lea.Endpoint.ID).Uint64("EndpointRevision", lea.Endpoint.Revision).Str("Outcome", name(out)), out, dec).
		Int("Sends", run.state.Sends).Int("Events", run.state.Events).Dur("AfterMs", now.Sub(run.arrived)).Msg("send ended")
	run.Scope.Tagged(map[string]string{"route": run.route.Name, "outcome": name(out)}).Counter("forward_sends").Inc(1)
}

// detail adds the decision on an outcome and what decided it.
func detail(lin *zerolog.Event, out Outcome, dec Decision) *zerolog.Event {
	switch out := out.(type) {
	case Answered:
		lin.Int("Status", out.Status)
	case Broken:
		lin.Str("Step", out.Step)
	case TimedOut:
		lin.Bool("Sent", out.Sent)
	}
	lin.Str("Decision", verb(dec))
	switch dec := dec.(type) {
	case Refuse:
		lin.Str("Code", dec.Code)
	case Fail:
		lin.Str("Code", dec.Code)
	case Cut:
		lin.Str("Code", dec.Code)
	}
	return lin
}

// name returns the label of an outcome.
func name(out Outcome) string {
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
