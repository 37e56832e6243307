// Package reclaimer frees memory of engines that is held for requests that no host
// works on any more. Every holding (a sequence, a reservation or an export) names its
// owner: a host, the incarnation of its process, and a request. An engine reports each
// holding as an invoker.MemoryHolder, whatever its kind. A holding is freed only if
//
//   - the owner's process is known to have been replaced,
//   - for DeadGrace, the membership has listed the owner as dead and the platform has
//     not listed it,
//   - the owner itself reports that the request or the attempt has ended, or
//   - the request's deadline passed more than ExpiryMargin ago.
//
// An unresponsive or paused owner keeps its holdings until ExpiryMargin after the
// request's deadline. A request to free memory names owner and attempt, so that an
// engine never frees the memory of a newer attempt.
package reclaimer

import (
	"cmp"
	"slices"
	"time"

	"hemlockpin/connection/invoker"
)

const (
	// DeadGrace is how long a host must be dead and unlisted before its holdings are
	// freed.
	DeadGrace = 15 * time.Second
	// ExpiryMargin is how long after its deadline a request may still hold memory.
	ExpiryMargin = 5 * time.Second
	// MinAge is the age below which no holding is freed or queried about. It covers the
	// delay of the engines' reports.
	MinAge = 2 * time.Second

	// queryInterval is the minimum time between two queries about the same holding.
	queryInterval = 5 * time.Second
	// sequenceIdleLimit is how long a running or queued request may make no progress
	// before its owner is queried.
	sequenceIdleLimit = 5 * time.Second
	// reservationIdleLimit is how long a reservation or an export may be unused before
	// its owner is queried.
	reservationIdleLimit = 10 * time.Second
	// maxQueryHoldings bounds the holdings in one query. Further holdings wait for a
	// later report.
	maxQueryHoldings = 256
	// queryRetention is how long queriedAt keeps a holding after the last query about
	// it.
	queryRetention = 10 * time.Minute
)

// Members provides the state of hosts according to the membership.
type Members interface {
	// Incarnation returns the newest known incarnation of a host, and false if none is
	// known.
	Incarnation(host string) (uint64, bool)
	// DeadSince returns the time since which a host has been both dead according to the
	// membership and absent from the platform's list, and false if it is not.
	DeadSince(host string) (time.Time, bool)
}

// LocalRequests provides the requests that this host works on.
type LocalRequests interface {
	// Attempt returns the number of the newest attempt of a request, and false if the
	// request is not in progress on this host.
	Attempt(id string) (int, bool)
}

// Report is an engine's report of the memory that it holds for requests.
type Report struct {
	Endpoint string
	Address  string
	Load     invoker.Load
	// At is when the engine made the report.
	At time.Time
}

// Reason is the reason for which a holding is freed.
type Reason string

// Reasons to free a holding.
const (
	// Replaced is used if a newer process of the owner's host is known.
	Replaced Reason = "Replaced"
	// Dead is used if the owner's host has been dead and unlisted for DeadGrace.
	Dead Reason = "Dead"
	// Expired is used if the request's deadline passed more than ExpiryMargin ago.
	Expired Reason = "Expired"
	// Disowned is used if the owner does not work on the request any more.
	Disowned Reason = "Disowned"
	// Abandoned is used if the owner works on a newer attempt of the request.
	Abandoned Reason = "Abandoned"
)

// Action is what to do about one or more holdings: Free or Query.
type Action interface{ action() }

// Free frees one holding of an engine.
type Free struct {
	Endpoint string
	Address  string
	// Holding names the holding, its owner and its attempt.
	Holding invoker.FreeRequest
	Reason  Reason
	Tokens  int64
}

// Query queries an owner about holdings: which of their requests are still in progress.
type Query struct {
	Host        string
	Incarnation uint64
	// Holdings are the actions that would free the holdings, without reasons.
	Holdings []Free
}

func (Free) action()  {}
func (Query) action() {}

// Answer is the reply to a Query.
type Answer struct {
	// Incarnation is the incarnation of the process that answered.
	Incarnation uint64
	// InProgress maps the IDs of those queried requests that are in progress to the
	// numbers of their newest attempts.
	InProgress map[string]int
}

// Reclaimer decides which holdings to free and which owners to query. Self must be set.
type Reclaimer struct {
	Self invoker.Owner
	// queriedAt is when each holding was last queried about. Tokens is zero in its
	// keys, since the tokens of a holding change.
	queriedAt map[Free]time.Time
}

// Decide returns the actions for the holdings in one report.
func (rec *Reclaimer) Decide(rep Report, mem Members, loc LocalRequests, now time.Time) []Action {
	rec.dropOldQueries(now)
	var acts []Action
	queries := map[invoker.Owner]*Query{}
	for _, seq := range rep.Load.Sequences {
		fre := freeOf(rep, seq)
		fre.Reason = rec.reason(rep, seq, mem, loc, now)
		switch {
		case fre.Reason != "":
			acts = append(acts, fre)
		case rec.shouldQuery(fre, seq, now):
			rec.addToQuery(queries, fre, now)
		}
	}
	for _, que := range sortedQueries(queries) {
		acts = append(acts, *que)
	}
	return acts
}

func freeOf(rep Report, seq invoker.MemoryHolder) Free {
	return Free{
		Endpoint: rep.Endpoint, Address: rep.Address, Tokens: seq.Tokens,
		Holding: invoker.FreeRequest{Kind: seq.Kind, ID: seq.ID, RequestID: seq.RequestID, Attempt: seq.Attempt, Owner: seq.Owner},
	}
}

// reason returns the reason to free a holding. It is empty while the owner may still
// need the memory.
func (rec *Reclaimer) reason(rep Report, seq invoker.MemoryHolder, mem Members, loc LocalRequests, now time.Time) Reason {
	if time.Duration(seq.AgeMs)*time.Millisecond < MinAge {
		return ""
	}
	if seq.Owner == rec.Self {
		return localReason(seq, loc)
	}
	incarnation, known := rec.newestIncarnation(seq.Owner.Host, mem)
	if known && incarnation > seq.Owner.Incarnation {
		return Replaced
	}
	if seq.Expired(now.Sub(rep.At), ExpiryMargin) {
		return Expired
	}
	if since, dead := mem.DeadSince(seq.Owner.Host); dead && now.Sub(since) >= DeadGrace {
		return Dead
	}
	return ""
}

func (rec *Reclaimer) newestIncarnation(host string, mem Members) (uint64, bool) {
	if host == rec.Self.Host {
		return rec.Self.Incarnation, true
	}
	return mem.Incarnation(host)
}

// localReason returns the reason to free a holding that this host owns.
func localReason(seq invoker.MemoryHolder, loc LocalRequests) Reason {
	attempt, ok := loc.Attempt(workID(seq.RequestID, seq.ID))
	switch {
	case !ok:
		return Disowned
	case seq.Attempt > 0 && seq.Attempt < attempt:
		return Abandoned
	default:
		return ""
	}
}

// workID returns the identifier under which the owner of a holding lists its work: the
// request ID, or the holding's own ID if it has no request.
func workID(requestID, holdingID string) string {
	if requestID == "" {
		return holdingID
	}
	return requestID
}

// shouldQuery reports whether to query the owner of a holding: another process owns it,
// it is not younger than MinAge, it is detached or was idle for too long, and no query
// about it was made within queryInterval.
func (rec *Reclaimer) shouldQuery(fre Free, seq invoker.MemoryHolder, now time.Time) bool {
	if seq.Owner == rec.Self || time.Duration(seq.AgeMs)*time.Millisecond < MinAge {
		return false
	}
	limit := sequenceIdleLimit
	// Only reservations and exports have IDs of their own.
	if seq.ID != "" {
		limit = reservationIdleLimit
	}
	if !seq.Detached && time.Duration(seq.IdleMs)*time.Millisecond < limit {
		return false
	}
	fre.Tokens = 0
	at, queried := rec.queriedAt[fre]
	return !queried || now.Sub(at) >= queryInterval
}

func (rec *Reclaimer) addToQuery(queries map[invoker.Owner]*Query, fre Free, now time.Time) {
	owner := fre.Holding.Owner
	if queries[owner] == nil {
		queries[owner] = &Query{Host: owner.Host, Incarnation: owner.Incarnation}
	}
	que := queries[owner]
	if len(que.Holdings) >= maxQueryHoldings {
		return
	}
	que.Holdings = append(que.Holdings, fre)
	if rec.queriedAt == nil {
		rec.queriedAt = map[Free]time.Time{}
	}
	fre.Tokens = 0
	rec.queriedAt[fre] = now
}

func (rec *Reclaimer) dropOldQueries(now time.Time) {
	for fre, at := range rec.queriedAt {
		if now.Sub(at) > queryRetention {
			delete(rec.queriedAt, fre)
		}
	}
}

func sortedQueries(queries map[invoker.Owner]*Query) []*Query {
	out := make([]*Query, 0, len(queries))
	for _, que := range queries {
		out = append(out, que)
	}
	slices.SortFunc(out, func(que, other *Query) int {
		return cmp.Or(cmp.Compare(que.Host, other.Host), cmp.Compare(que.Incarnation, other.Incarnation))
	})
	return out
}

// ResolveQuery returns the holdings of a query that can be freed according to the
// answer. An answer of an older process than the owner frees nothing; an answer of a
// newer process shows that the owner was replaced.
func ResolveQuery(que Query, ans Answer) []Free {
	var out []Free
	for _, fre := range que.Holdings {
		attempt, known := ans.InProgress[workID(fre.Holding.RequestID, fre.Holding.ID)]
		switch {
		case ans.Incarnation < que.Incarnation:
			continue
		case ans.Incarnation > que.Incarnation:
			fre.Reason = Replaced
		case !known:
			fre.Reason = Disowned
		case fre.Holding.Attempt > 0 && fre.Holding.Attempt < attempt:
			fre.Reason = Abandoned
		default:
			continue
		}
		out = append(out, fre)
	}
	return out
}
