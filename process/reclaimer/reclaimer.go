// Package reclaimer finds memory of engines that no live owner holds, and frees
// it. Every sequence, reservation and export names its owner: a host, the
// incarnation of its process, and a request. Memory is freed only when
//
//   - the owner's process is known to have been replaced,
//   - the owner is dead to the membership and absent from the platform's list
//     for DeadGrace,
//   - the owner itself says that the request or the attempt has ended, or
//   - the request's deadline has passed by ExpiryMargin.
//
// An owner that is silent or frozen keeps its memory until the last of these.
// Freeing names owner and attempt, so that an engine never drops newer work.
package reclaimer

import (
	"cmp"
	"slices"
	"time"

	"hemlockpin/connection/invoker"
)

const (
	// DeadGrace is how long a host must be dead and unlisted.
	DeadGrace = 15 * time.Second
	// ExpiryMargin is how long after its deadline a request may still hold memory.
	ExpiryMargin = 5 * time.Second
	// MinAge is the age below which work is left alone. It covers the lag of
	// the engines' reports.
	MinAge = 2 * time.Second

	// askPause is the time between two questions about the same holding.
	askPause = 5 * time.Second
	// suspectIdle is how long work may stand still before its owner is asked.
	suspectIdle = 5 * time.Second
	// suspectHold is how long memory may be set aside before its owner is asked.
	suspectHold = 10 * time.Second
	// maxAsked bounds the requests in one question.
	maxAsked = 256
	// askedRetention is how long a question is remembered.
	askedRetention = 10 * time.Minute
)

// Members is what the membership knows of the hosts.
type Members interface {
	// Incarnation returns the newest process of a host that was heard of.
	Incarnation(host string) (uint64, bool)
	// DeadSince returns since when a host is both dead to the membership and
	// absent from the platform's list.
	DeadSince(host string) (time.Time, bool)
}

// Owned is what this host itself works on.
type LocalRequests interface {
	// Attempt returns the newest attempt of a request in progress.
	Attempt(id string) (int, bool)
}

// Report is what an engine says of its memory.
type Report struct {
	Endpoint string
	Address  string
	Load     invoker.Load
	// At is when the engine took the report.
	At time.Time
}

// Reason says why memory is freed.
type Reason string

// Reasons.
const (
	Replaced  Reason = "Replaced"
	Dead      Reason = "Dead"
	Expired   Reason = "Expired"
	Disowned  Reason = "Disowned"
	Abandoned Reason = "Abandoned"
)

// Action is what to do next: Free or Ask.
type Action interface{ action() }

// Free drops one holding of an engine.
type Free struct {
	Endpoint string
	Address  string
	Free     invoker.Free
	Reason   Reason
	Tokens   int64
}

// Ask asks an owner which requests it still works on.
type Query struct {
	Host        string
	Incarnation uint64
	Holdings    []Free
}

func (Free) action()  {}
func (Query) action() {}

// Answer is the reply of an owner to an Ask.
type Answer struct {
	// Incarnation is that of the process that answered.
	Incarnation uint64
	// Known maps the requests in progress to their newest attempts.
	Known map[string]int
}

// Reclaimer decides. Its zero value needs Self.
type Reclaimer struct {
	Self  invoker.Owner
	asked map[Free]time.Time
}

// Decide judges the holdings of one report.
func (rec *Reclaimer) Decide(rep Report, mem Members, own LocalRequests, now time.Time) []Action {
	rec.forget(now)
	var acts []Action
	asks := map[invoker.Owner]*Query{}
	for _, seq := range rep.Load.Sequences {
		fre := freeOf(rep, seq)
		fre.Reason = rec.reason(rep, seq, mem, own, now)
		switch {
		case fre.Reason != "":
			acts = append(acts, fre)
		case rec.suspect(fre, seq, now):
			rec.ask(asks, fre, now)
		}
	}
	for _, ask := range sorted(asks) {
		acts = append(acts, *ask)
	}
	return acts
}

func freeOf(rep Report, seq invoker.Sequence) Free {
	return Free{
		Endpoint: rep.Endpoint, Address: rep.Address, Tokens: seq.Tokens,
		Free: invoker.Free{Kind: seq.Kind, ID: seq.ID, RequestID: seq.RequestID, Attempt: seq.Attempt, Owner: seq.Owner},
	}
}

// reason is empty while the owner may still need the memory.
func (rec *Reclaimer) reason(rep Report, seq invoker.Sequence, mem Members, own LocalRequests, now time.Time) Reason {
	if time.Duration(seq.AgeMs)*time.Millisecond < MinAge {
		return ""
	}
	if seq.Owner == rec.Self {
		return ended(seq, own)
	}
	inc, known := rec.newest(seq.Owner.Host, mem)
	if known && inc > seq.Owner.Incarnation {
		return Replaced
	}
	if seq.Expired(now.Sub(rep.At), ExpiryMargin) {
		return Expired
	}
	if sin, dead := mem.DeadSince(seq.Owner.Host); dead && now.Sub(sin) >= DeadGrace {
		return Dead
	}
	return ""
}

func (rec *Reclaimer) newest(host string, mem Members) (uint64, bool) {
	if host == rec.Self.Host {
		return rec.Self.Incarnation, true
	}
	return mem.Incarnation(host)
}

// ended judges a holding of this host itself.
func ended(seq invoker.Sequence, own LocalRequests) Reason {
	att, ok := own.Attempt(requestOf(seq.RequestID, seq.ID))
	switch {
	case !ok:
		return Disowned
	case seq.Attempt > 0 && seq.Attempt < att:
		return Abandoned
	default:
		return ""
	}
}

// requestOf names what an owner knows a holding by.
func requestOf(request, id string) string {
	if request == "" {
		return id
	}
	return request
}

// suspect tells the holdings worth a question from those in plain use.
func (rec *Reclaimer) suspect(fre Free, seq invoker.Sequence, now time.Time) bool {
	if seq.Owner == rec.Self || time.Duration(seq.AgeMs)*time.Millisecond < MinAge {
		return false
	}
	lim := suspectIdle
	if seq.ID != "" {
		lim = suspectHold
	}
	if !seq.Detached && time.Duration(seq.IdleMs)*time.Millisecond < lim {
		return false
	}
	fre.Tokens = 0
	at, asked := rec.asked[fre]
	return !asked || now.Sub(at) >= askPause
}

func (rec *Reclaimer) ask(asks map[invoker.Owner]*Query, fre Free, now time.Time) {
	own := fre.Free.Owner
	if asks[own] == nil {
		asks[own] = &Query{Host: own.Host, Incarnation: own.Incarnation}
	}
	ask := asks[own]
	if len(ask.Holdings) >= maxAsked {
		return
	}
	ask.Holdings = append(ask.Holdings, fre)
	if rec.asked == nil {
		rec.asked = map[Free]time.Time{}
	}
	fre.Tokens = 0
	rec.asked[fre] = now
}

func (rec *Reclaimer) forget(now time.Time) {
	for fre, at := range rec.asked {
		if now.Sub(at) > askedRetention {
			delete(rec.asked, fre)
		}
	}
}

func sorted(asks map[invoker.Owner]*Query) []*Query {
	out := make([]*Query, 0, len(asks))
	for _, ask := range asks {
		out = append(out, ask)
	}
	slices.SortFunc(out, func(one, two *Query) int {
		return cmp.Or(cmp.Compare(one.Host, two.Host), cmp.Compare(one.Incarnation, two.Incarnation))
	})
	return out
}

// Answered judges the holdings of a question by its answer. A process older
// than the owner can't speak for it; a newer one proves it replaced.
func ResolveQuery(ask Query, ans Answer) []Free {
	var fres []Free
	for _, fre := range ask.Holdings {
		att, known := ans.Known[requestOf(fre.Free.RequestID, fre.Free.ID)]
		switch {
		case ans.Incarnation < ask.Incarnation:
			continue
		case ans.Incarnation > ask.Incarnation:
			fre.Reason = Replaced
		case !known:
			fre.Reason = Disowned
		case fre.Free.Attempt > 0 && fre.Free.Attempt < att:
			fre.Reason = Abandoned
		default:
			continue
		}
		fres = append(fres, fre)
	}
	return fres
}
