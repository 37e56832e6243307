// Package executor carries out one request: it asks the deciding packages what
// to do and does it through the endpoints and the claims.
package executor

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"hemlockpin/connection/invoker"
	"hemlockpin/connection/messenger"
	"hemlockpin/request/budgeter"
	"hemlockpin/request/hedger"
	"hemlockpin/request/placer"
	"hemlockpin/request/receiver"
	"hemlockpin/request/responder"
	"hemlockpin/version/matcher"
	"hemlockpin/version/parser"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace"
)

// Lease is the right to use an endpoint, or a group of engines, for a request.
type Lease struct {
	Endpoint string
	Address  string
	// ReservationID and Group are set when several engines hold the prompt.
	ReservationID string
	Group         []invoker.Part
	// Release ends the lease. It is idempotent and never nil.
	Release func()
	// Prefilled tells the allocator that the first token has arrived. It is
	// idempotent and never nil.
	Prefilled func()
	// Move finds an engine to go on with the answer after the first token. It
	// reports false where the request stays; nil stands for always. It may be
	// called once.
	Move func(ctx context.Context) (Target, bool)
	// Report tells the allocator whether the endpoint served the request or
	// failed it; nil for nobody.
	Report func(healthy bool, now time.Time)
}

func (lea Lease) report(healthy bool, now time.Time) {
	if lea.Report != nil {
		lea.Report(healthy, now)
	}
}

// Target is an engine that has memory for a request that moves to it.
type Target struct {
	Endpoint string
	Address  string
	// Done tells the allocator whether the request runs there alone now, or
	// stays where it was. It is idempotent and never nil.
	Done func(moved bool)
	// Report tells the allocator how the endpoint does; nil for nobody.
	Report func(healthy bool, now time.Time)
}

// RefusedError reports that no endpoint could be had.
type RefusedError struct{ Refuse placer.Refuse }

// Error formats the refusal.
func (err *RefusedError) Error() string {
	return "refused: " + err.Refuse.Code + ": " + err.Refuse.Message
}

// Allocator finds endpoints. It may wait until the request's deadline.
type Allocator interface {
	Acquire(ctx context.Context, req placer.Request, poo parser.Pool) (Lease, error)
}

// Claims commits changes of claims.
type Claims interface {
	// Commit commits a change and ends with ctx.
	Commit(ctx context.Context, com *messenger.ClaimCommit) *messenger.ClaimResult
	// Settle retries a change in the background and closes the channel when
	// it is done.
	Settle(com *messenger.ClaimCommit) <-chan struct{}
}

// Admitter decides whether a request may enter at all.
type Admitter interface {
	Admit(req placer.Request, tea parser.Team, poo parser.Pool, now time.Time) (done func(), ref *placer.Refuse)
}

// Executor carries out requests of one host.
type Executor struct {
	Owner     invoker.Owner
	Invoker   *invoker.Invoker
	Allocator Allocator
	Admitter  Admitter
	Claims    Claims
	Clock     func() time.Time
	Scope     tally.Scope
	Tracer    trace.Tracer
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes int64
	// Retries bounds the dispatches after the first of all requests.
	Retries budgeter.Budget

	counted sync.Once
	count   counters
	pending sync.WaitGroup
	mu      sync.Mutex
	// running holds the newest attempt of each request in progress, and 0 for
	// each export that a move needs.
	running map[string]int
	// times holds how long the calls of each pool took lately.
	times   map[string]*hedger.Latencies
	claimed atomic.Int64
}

// track notes a request as in progress until the returned function is called.
func (exe *Executor) track(id string) func() {
	exe.note(id, 0)
	return func() {
		exe.mu.Lock()
		defer exe.mu.Unlock()
		delete(exe.running, id)
	}
}

// note sets the newest attempt of a request in progress.
func (exe *Executor) note(id string, att int) {
	exe.mu.Lock()
	defer exe.mu.Unlock()
	if exe.running == nil {
		exe.running = map[string]int{}
	}
	exe.running[id] = att
}

// Attempt returns the newest attempt of a request and whether this host still
// works on it.
func (exe *Executor) Attempt(id string) (int, bool) {
	exe.mu.Lock()
	defer exe.mu.Unlock()
	att, ok := exe.running[id]
	return att, ok
}

// WaitForCleanup waits until what ended requests left to do on endpoints is done.
func (exe *Executor) WaitForCleanup() { exe.pending.Wait() }

// request is the part that prompts and calls share.
type request struct {
	id       string
	arrived  time.Time
	deadline time.Time
	team     parser.Team
	route    parser.Route
	pool     parser.Pool
	writer   http.ResponseWriter
}

func (exe *Executor) begin(wri http.ResponseWriter, mat *matcher.Matcher, hea http.Header) (request, error) {
	req := request{id: uuid.Must(uuid.NewV7()).String(), arrived: exe.Clock(), writer: wri}
	wri.Header().Set(responder.RequestIDHeader, req.id)
	key, err := receiver.BearerKey(hea)
	if err != nil {
		return req, err
	}
	tea, ok := mat.Team(key)
	if !ok {
		return req, &receiver.BadRequestError{Status: http.StatusUnauthorized, Code: "invalid_api_key", Message: "the bearer key belongs to no team"}
	}
	req.team = tea
	return req, nil
}

func (exe *Executor) route(req *request, mat *matcher.Matcher, que matcher.Query, hea http.Header) error {
	rou, poo, ok := mat.Route(que)
	if !ok && que.Model != "" {
		return &receiver.BadRequestError{Status: http.StatusNotFound, Code: "model_not_found", Param: "model", Message: "no route takes model " + que.Model + " for this team and prompt length"}
	}
	if !ok {
		return &receiver.BadRequestError{Status: http.StatusNotFound, Code: "route_not_found", Message: "no route takes this request"}
	}
	ded, err := receiver.Deadline(hea, time.Duration(rou.TimeLimit), req.arrived)
	if err != nil {
		return err
	}
	responder.Describe(req.writer, responder.Labels{Route: rou.Name, Pool: poo.Name, Team: req.team.Name, PromptTokens: que.PromptTokens})
	req.route = rou
	req.pool = poo
	req.deadline = ded
	return nil
}

// problemOf turns an error from before any dispatch into a problem.
func problemOf(err error) responder.Problem {
	var bad *receiver.BadRequestError
	if eris.As(err, &bad) {
		return responder.Problem{Status: bad.Status, Code: bad.Code, Param: bad.Param, Message: bad.Message, Ran: invoker.NotRun, RetryAfter: bad.RetryAfter}
	}
	var ref *RefusedError
	if eris.As(err, &ref) {
		return refusal(ref.Refuse)
	}
	return responder.Problem{Status: http.StatusInternalServerError, Code: "internal", Message: err.Error(), Ran: invoker.NotRun}
}

// refusal maps a refusal to its status.
func refusal(ref placer.Refuse) responder.Problem {
	return responder.Problem{Status: StatusOf(ref.Code), Code: ref.Code, Message: ref.Message, Ran: invoker.NotRun, RetryAfter: ref.RetryAfter}
}

// StatusOf maps a code to its HTTP status.
func StatusOf(code string) int {
	switch code {
	case "team_limit", "pool_full":
		return http.StatusTooManyRequests
	case "prompt_too_large":
		return http.StatusRequestEntityTooLarge
	case "time_limit":
		return http.StatusGatewayTimeout
	case "endpoint_refused", "endpoint_failed":
		return http.StatusBadGateway
	case "internal":
		return http.StatusInternalServerError
	default:
		return http.StatusServiceUnavailable
	}
}
