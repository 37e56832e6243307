package relayer

import (
	"errors"
	"net/http"
	"time"

	"hemlockpin/request/receiver"
	"hemlockpin/version/matcher"
	"hemlockpin/version/parser"

	"github.com/cespare/xxhash/v2"
)

const (
	// startupWait is how long a call waits at a host that has no tables yet. A host
	// receives the tables within a few hundred milliseconds of its start. If all hosts
	// restart at once, no other host could serve a refused call sooner. A call with much
	// time left waits for startupShare of it, up to maxStartupWait, since many callers come
	// back only once; callers give up an unread call after a second.
	startupWait    = 400 * time.Millisecond
	startupShare   = 0.25
	maxStartupWait = 900 * time.Millisecond
	// staleCheckInterval is how often a waiting call checks whether the host's state
	// has been confirmed.
	staleCheckInterval = 10 * time.Millisecond
	// startRetryAfter is the Retry-After of calls refused because the host still has no
	// tables.
	startRetryAfter = 500 * time.Millisecond
)

// errorAnswer is an error with which the host itself answers a call.
type errorAnswer struct {
	status     int
	code       string
	message    string
	retryAfter time.Duration
}

// accept reads the call, finds its route and checks its key. It returns an error if the
// call cannot be forwarded.
func (fwd *forwarding) accept() *errorAnswer {
	var err error
	if fwd.call, err = fwd.Codec.Call(fwd.htr.Header); err != nil {
		return &errorAnswer{status: http.StatusBadRequest, code: "bad_header", message: err.Error()}
	}
	fwd.log = fwd.Log.With().Str("RequestID", fwd.call.ID).Logger()
	fwd.reportUnreadable("caller", fwd.htr.Header)
	fwd.awaitTables()
	fwd.awaitConfirmed()
	mat := fwd.Tables()
	if mat.Revision() == 0 {
		return &errorAnswer{status: http.StatusServiceUnavailable, code: "host_starting", message: "the host has no tables yet", retryAfter: startRetryAfter}
	}
	if ans := fwd.findRoute(mat); ans != nil {
		return ans
	}
	if ans := fwd.authorize(mat); ans != nil {
		return ans
	}
	rou := fwd.route
	var ok bool
	if fwd.pool, ok = mat.Pool(rou.PoolFor(xxhash.Sum64String(fwd.call.ID))); !ok {
		return &errorAnswer{status: http.StatusServiceUnavailable, code: "no_pool", message: "the route's pool is not known", retryAfter: startRetryAfter}
	}
	timeout := defaultTimeLimit
	if fwd.call.TimeLeft > 0 {
		timeout = fwd.call.TimeLeft
	}
	fwd.deadline = fwd.arrived.Add(min(timeout, time.Duration(rou.TimeLimit)))
	if ans := fwd.readBodyUnlessStopping(mat.Tables().Caller); ans != nil {
		return ans
	}
	if rou.Resumable {
		fwd.lastEvent = fwd.call.LastEvent
	}
	fwd.log.Info().Str("Route", rou.Name).Str("Pool", fwd.pool.Name).Str("Team", fwd.team.Name).Uint64("TablesRevision", mat.Revision()).
		Int64("PromptTokens", fwd.call.PromptTokens).Strs("SharedParts", fwd.call.SharedParts).Dur("LeftMs", fwd.deadline.Sub(fwd.arrived)).Msg("call accepted")
	return nil
}

// reportUnreadable logs and counts the headers of a caller or an endpoint whose numbers can't be read.
func (fwd *forwarding) reportUnreadable(from string, hea http.Header) {
	names := fwd.Codec.Unreadable(hea)
	if len(names) == 0 {
		return
	}
	fwd.Scope.Tagged(map[string]string{"from": from}).Counter("unreadable_headers").Inc(1)
	fwd.log.Warn().Str("From", from).Strs("Headers", names).Msg("headers have numbers that can't be read; going on without them")
}

// findRoute finds the route of the call by the target that the endpoint gets.
func (fwd *forwarding) findRoute(mat *matcher.Matcher) *errorAnswer {
	var ok bool
	if fwd.target, ok = originForm(fwd.htr.RequestURI); !ok {
		return &errorAnswer{status: http.StatusBadRequest, code: "bad_target", message: "the target of the call is no path"}
	}
	rou, _, ok, err := mat.RouteTarget(matcher.Query{Kind: parser.PoolService, Host: matcher.HostName(fwd.htr.Host)}, fwd.target)
	switch {
	case err != nil:
		return &errorAnswer{status: http.StatusBadRequest, code: "ambiguous_path", message: err.Error()}
	case !ok:
		return &errorAnswer{status: http.StatusNotFound, code: "route_not_found", message: "no route takes this call"}
	}
	fwd.route = rou
	return nil
}

// startupWaitOf returns how long a call waits at a starting host, by the time that its caller has
// left; 0 if that is not known.
func startupWaitOf(left time.Duration) time.Duration {
	if left <= 0 {
		return startupWait
	}
	return min(maxStartupWait, max(startupWait, time.Duration(startupShare*float64(left))), left)
}

// awaitTables waits for the tables of a starting host, see startupWaitOf.
func (fwd *forwarding) awaitTables() {
	if fwd.Ready == nil {
		return
	}
	select {
	case <-fwd.Ready:
		return
	default:
	}
	timer := time.NewTimer(startupWaitOf(fwd.call.TimeLeft))
	defer timer.Stop()
	select {
	case <-fwd.Ready:
		fwd.log.Info().Dur("HeldMs", fwd.Clock().Sub(fwd.arrived)).Msg("call was held until the starting host received its tables; continuing")
	case <-timer.C:
	case <-fwd.htr.Context().Done():
	}
}

// awaitConfirmed waits up to startupWait until a host that was suspended has confirmed
// its tables and endpoints. After that time the call is served with the old state, so
// that an outage of the store does not stop calls.
func (fwd *forwarding) awaitConfirmed() {
	if fwd.Stale == nil || !fwd.Stale(fwd.arrived) {
		return
	}
	ticker := time.NewTicker(staleCheckInterval)
	defer ticker.Stop()
	for now := fwd.arrived; now.Sub(fwd.arrived) < startupWait && fwd.Stale(now); now = fwd.Clock() {
		select {
		case <-ticker.C:
		case <-fwd.htr.Context().Done():
			return
		}
	}
	fwd.log.Info().Dur("HeldMs", fwd.Clock().Sub(fwd.arrived)).Bool("Stale", fwd.Stale(fwd.Clock())).Msg("call was held after a suspension of the host; continuing with its present state")
}

// suspendedSince returns the time for which the host was suspended since the call
// arrived. ServeHTTP calls it before suspendedBefore is set, to get the total.
func (fwd *forwarding) suspendedSince(now time.Time) time.Duration {
	if fwd.SuspendedFor == nil {
		return 0
	}
	return fwd.SuspendedFor(now) - fwd.suspendedBefore
}

func (fwd *forwarding) authorize(mat *matcher.Matcher) *errorAnswer {
	if !mat.Tables().NeedsKey(fwd.route) {
		return nil
	}
	tea, ok := mat.Team(fwd.call.Key)
	if fwd.call.Key == "" || !ok {
		return &errorAnswer{status: http.StatusUnauthorized, code: "invalid_api_key", message: "the key belongs to no team"}
	}
	fwd.team = tea
	return nil
}

func (fwd *forwarding) readBody(lim parser.Limits) *errorAnswer {
	maxBytes := fwd.MaxBodyBytes
	if lim.MaxBodyBytes > 0 {
		maxBytes = lim.MaxBodyBytes
	}
	bod := receiver.NewBody(fwd.htr.Body, fwd.Bodies, fwd.htr.ContentLength, maxBytes)
	var err error
	if fwd.body, err = receiver.ReadBody(bod, maxBytes); err == nil {
		bod.Keep(int64(cap(fwd.body)))
		fwd.requestBody = bod
		return nil
	}
	bod.Release()
	var badReq *receiver.RefusalError
	if errors.As(err, &badReq) {
		return &errorAnswer{status: badReq.Status, code: badReq.Code, message: badReq.Message, retryAfter: badReq.RetryAfter}
	}
	return &errorAnswer{status: http.StatusBadRequest, code: "body_incomplete", message: err.Error()}
}
