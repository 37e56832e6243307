// Package executor executes requests. The decisions come from the attempter, claimer,
// hedger and mover packages; this package carries them out on endpoints and claims.
package executor

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"hemlockpin/connection/invoker"
	"hemlockpin/connection/messenger"
	"hemlockpin/connection/rationer"
	"hemlockpin/process/drainer"
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

// codeTimeLimit is the code of requests that end at their time limit.
const codeTimeLimit = "time_limit"

// Lease is the right to use an endpoint, or a group of engines, for a request.
type Lease struct {
	Endpoint string
	Address  string
	// ReservationID and Group are set when several engines hold the prompt.
	ReservationID string
	Group         []invoker.Part
	// Release ends the lease. It is idempotent and never nil.
	Release func()
	// Prefilled notifies the allocator that the first token has arrived. It is
	// idempotent and never nil.
	Prefilled func()
	// FindTarget finds an engine on which the answer can continue after the first
	// token. It returns false if no engine is available. It must be called at most
	// once. A nil FindTarget means that the request cannot move.
	FindTarget func(ctx context.Context) (Target, bool)
	// Report notifies the allocator whether the endpoint served the request (healthy)
	// or failed it; nil if the allocator needs no report.
	Report func(healthy bool, now time.Time)
}

func (lea Lease) report(healthy bool, now time.Time) {
	if lea.Report != nil {
		lea.Report(healthy, now)
	}
}

// Target is an engine that has reserved memory for a request that moves to it.
type Target struct {
	Endpoint string
	Address  string
	// Done notifies the allocator that the move has ended: the request either runs on
	// the target alone, or stays on its engine. moved says which. It is idempotent and
	// never nil.
	Done func(moved bool)
	// Report is as in Lease, for the target.
	Report func(healthy bool, now time.Time)
}

// RefusedError reports that no endpoint was available.
type RefusedError struct{ Refuse placer.Refuse }

// Error formats the refusal.
func (err *RefusedError) Error() string {
	return "refused: " + err.Refuse.Code + ": " + err.Refuse.Message
}

// Allocator finds endpoints. Acquire may wait until the request's deadline.
type Allocator interface {
	Acquire(ctx context.Context, req placer.Request, poo parser.Pool) (Lease, error)
}

// Claims commits changes of claims.
type Claims interface {
	// Commit commits a change. It returns when ctx ends, even if the result is unknown.
	Commit(ctx context.Context, com *messenger.ClaimCommit) *messenger.ClaimResult
	// Settle commits a change in the background, with retries, and closes the channel
	// when the change is committed or given up.
	Settle(com *messenger.ClaimCommit) <-chan struct{}
}

// Admitter decides whether a request is admitted to the host. The caller of Admit calls
// release when an admitted request has ended.
type Admitter interface {
	Admit(req placer.Request, tea parser.Team, poo parser.Pool, now time.Time) (release func(), ref *placer.Refuse)
}

// Executor executes the requests of one host.
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
	// Memory bounds what the texts of all answers take until their ends; nil for no limit.
	Memory rationer.Memory
	// Drain tells what the host's drain permits; nil for a host that never drains.
	Drain *drainer.Gate
	// RetryBudget limits the dispatches after the first dispatch of each request.
	RetryBudget budgeter.Budget

	countersOnce sync.Once
	counterSet   counters
	cleanup      sync.WaitGroup
	mu           sync.Mutex
	// running holds the newest attempt of each request in progress, and 0 for each
	// export that a move needs.
	running map[string]int
	// latencies holds the recent latencies of the calls of each pool.
	latencies    map[string]*hedger.Latencies
	claimedCalls atomic.Int64
}

// track records a request as in progress until the returned function is called.
func (exe *Executor) track(id string) func() {
	exe.setAttempt(id, 0)
	return func() {
		exe.mu.Lock()
		defer exe.mu.Unlock()
		delete(exe.running, id)
	}
}

// setAttempt sets the newest attempt of a request in progress.
func (exe *Executor) setAttempt(id string, att int) {
	exe.mu.Lock()
	defer exe.mu.Unlock()
	if exe.running == nil {
		exe.running = map[string]int{}
	}
	exe.running[id] = att
}

// Attempt returns the newest attempt of a request, and whether the request is in
// progress on this host.
func (exe *Executor) Attempt(id string) (int, bool) {
	exe.mu.Lock()
	defer exe.mu.Unlock()
	att, ok := exe.running[id]
	return att, ok
}

// WaitForCleanup waits until the background cleanup of ended requests on their
// endpoints is done.
func (exe *Executor) WaitForCleanup() { exe.cleanup.Wait() }

// request is the state that prompts and calls share.
type request struct {
	id       string
	arrived  time.Time
	deadline time.Time
	team     parser.Team
	route    parser.Route
	pool     parser.Pool
	writer   http.ResponseWriter
}

// authenticate gives a request its ID and finds the team of its key.
func (exe *Executor) authenticate(wri http.ResponseWriter, mat *matcher.Matcher, hea http.Header) (request, error) {
	req := request{id: uuid.Must(uuid.NewV7()).String(), arrived: exe.Clock(), writer: wri}
	wri.Header().Set(responder.RequestIDHeader, req.id)
	key, err := receiver.BearerKey(hea)
	if err != nil {
		return req, err
	}
	tea, ok := mat.Team(key)
	if !ok {
		return req, &receiver.RefusalError{Status: http.StatusUnauthorized, Code: "invalid_api_key", Message: "the bearer key belongs to no team"}
	}
	req.team = tea
	return req, nil
}

// resolveRoute finds the route and the pool of a request, and sets its deadline.
func (exe *Executor) resolveRoute(req *request, mat *matcher.Matcher, que matcher.Query, hea http.Header) error {
	rou, poo, ok := mat.Route(que)
	if !ok && que.Model != "" {
		return &receiver.RefusalError{Status: http.StatusNotFound, Code: "model_not_found", Param: "model", Message: "no route takes model " + que.Model + " for this team and prompt length"}
	}
	if !ok {
		return &receiver.RefusalError{Status: http.StatusNotFound, Code: "route_not_found", Message: "no route takes this request"}
	}
	deadline, err := receiver.Deadline(hea, time.Duration(rou.TimeLimit), req.arrived)
	if err != nil {
		return err
	}
	responder.SetLabels(req.writer, responder.Labels{Route: rou.Name, Pool: poo.Name, Team: req.team.Name, PromptTokens: que.PromptTokens})
	req.route = rou
	req.pool = poo
	req.deadline = deadline
	if !exe.mayDispatch(deadline) {
		return stopRefusal()
	}
	return nil
}

// problemOf converts an error that occurred before any dispatch into a problem.
func problemOf(err error) responder.Problem {
	var badReq *receiver.RefusalError
	if eris.As(err, &badReq) {
		return responder.Problem{Status: badReq.Status, Code: badReq.Code, Param: badReq.Param, Message: badReq.Message, Execution: invoker.NotRun, RetryAfter: badReq.RetryAfter}
	}
	var ref *RefusedError
	if eris.As(err, &ref) {
		return refusal(ref.Refuse)
	}
	return responder.Problem{Status: http.StatusInternalServerError, Code: "internal", Message: err.Error(), Execution: invoker.NotRun}
}

// refusal converts a refusal into a problem with its HTTP status.
func refusal(ref placer.Refuse) responder.Problem {
	return responder.Problem{Status: StatusOf(ref.Code), Code: ref.Code, Message: ref.Message, Execution: invoker.NotRun, RetryAfter: ref.RetryAfter}
}

// StatusOf maps an error code to its HTTP status.
func StatusOf(code string) int {
	switch code {
	case "team_limit", "pool_full":
		return http.StatusTooManyRequests
	case "prompt_too_large":
		return http.StatusRequestEntityTooLarge
	case codeTimeLimit:
		return http.StatusGatewayTimeout
	case "endpoint_refused", "endpoint_failed":
		return http.StatusBadGateway
	case "internal":
		return http.StatusInternalServerError
	default:
		return http.StatusServiceUnavailable
	}
}
