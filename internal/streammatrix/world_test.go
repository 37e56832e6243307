// Package streammatrix_test drives the decisions on prompts, groups of engines
// and their memory through every fault at every step, in virtual time.
package streammatrix_test

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"hemlockpin/connection/invoker"
	"hemlockpin/process/reclaimer"
)

const (
	answerTokens = 6
	shareTokens  = 1000
	timeLimit    = 10 * time.Second
	callTime     = 10 * time.Millisecond
	frozenTime   = 6 * time.Second
	reclaimEvery = 2 * time.Second
	settleTime   = 90 * time.Second
)

var epoch = time.Unix(1_700_000_000, 0)

// sequence is a generation on a modelled engine.
type sequence struct {
	request string
	attempt int
	next    int64
	owner   invoker.Owner
	since   time.Time
}

// engine is a modelled engine: what it holds, and whether it answers.
type engine struct {
	id       string
	dead     bool
	frozen   time.Time
	deaf     time.Time
	holds    map[string]invoker.Sequence
	heldAt   map[string]time.Time
	sequence *sequence
	// ran marks an engine that has begun any sequence.
	ran bool
}

func (eng *engine) silent(now time.Time) bool { return now.Before(eng.frozen) || now.Before(eng.deaf) }

func (eng *engine) die() {
	eng.dead = true
	eng.holds = map[string]invoker.Sequence{}
	eng.sequence = nil
}

// report lists the holders of memory as the engine would.
func (eng *engine) report(now time.Time) []invoker.Sequence {
	var out []invoker.Sequence
	for id, hol := range eng.holds {
		hol.AgeMs = now.Sub(eng.heldAt[id]).Milliseconds()
		hol.IdleMs = hol.AgeMs
		hol.ExpiresMs = epoch.Add(timeLimit).Sub(now).Milliseconds()
		out = append(out, hol)
	}
	if seq := eng.sequence; seq != nil {
		age := now.Sub(seq.since).Milliseconds()
		out = append(out, invoker.Sequence{
			RequestID: seq.request, Attempt: seq.attempt, Owner: seq.owner, Kind: "Running", AgeMs: age, IdleMs: age,
			ExpiresMs: epoch.Add(timeLimit).Sub(now).Milliseconds(),
		})
	}
	sort.Slice(out, func(one, two int) bool { return out[one].ID < out[two].ID })
	return out
}

func (eng *engine) free(fre invoker.Free) {
	if hol, ok := eng.holds[fre.ID]; ok && hol.Owner == fre.Owner {
		delete(eng.holds, fre.ID)
	}
	if seq := eng.sequence; seq != nil && fre.ID == "" && seq.owner == fre.Owner && seq.attempt <= fre.Attempt {
		eng.sequence = nil
	}
}

// world is the fleet around one request.
type world struct {
	now     time.Time
	engines []*engine
	owner   invoker.Owner
	// hostDead and hostFrozen describe the owner's process; wakes is when a
	// frozen one goes on.
	hostDead   bool
	wakes      time.Time
	inProgress bool
	// exporting is set while the owner needs its export.
	exporting  bool
	attempt    int
	current    string
	cancelLost bool
	reclaimers []*reclaimer.Reclaimer
	reclaimAt  time.Time
	trace      []string
	robbed     []string
}

func newWorld() *world {
	wor := &world{now: epoch, owner: invoker.Owner{Host: "host-a", Incarnation: 7}, reclaimAt: epoch.Add(reclaimEvery)}
	for ind := range 5 {
		wor.engines = append(wor.engines, &engine{
			id: fmt.Sprintf("engine-%d", ind), holds: map[string]invoker.Sequence{}, heldAt: map[string]time.Time{},
		})
	}
	wor.reclaimers = []*reclaimer.Reclaimer{{Self: wor.owner}, {Self: invoker.Owner{Host: "host-b", Incarnation: 3}}}
	return wor
}

func (wor *world) note(format string, args ...any) {
	wor.trace = append(wor.trace, fmt.Sprintf(format, args...))
}

func (wor *world) engine(id string) *engine {
	ind := slices.IndexFunc(wor.engines, func(eng *engine) bool { return eng.id == id })
	return wor.engines[ind]
}

// pass lets time go by with the reclaimers at work.
func (wor *world) pass(dur time.Duration) {
	end := wor.now.Add(dur)
	for !wor.reclaimAt.After(end) {
		wor.now = wor.reclaimAt
		wor.reclaim()
		wor.reclaimAt = wor.reclaimAt.Add(reclaimEvery)
	}
	wor.now = end
}

func (wor *world) hostFrozen() bool { return wor.now.Before(wor.wakes) }

func (wor *world) reclaim() {
	for ind, rec := range wor.reclaimers {
		if ind == 0 && (wor.hostDead || wor.hostFrozen()) {
			continue
		}
		for _, eng := range wor.engines {
			if eng.dead || eng.silent(wor.now) {
				continue
			}
			rep := reclaimer.Report{Endpoint: eng.id, Load: invoker.Load{Sequences: eng.report(wor.now)}, At: wor.now}
			for _, act := range rec.Decide(rep, wor, wor, wor.now) {
				wor.carryOut(eng, act)
			}
		}
	}
}

func (wor *world) carryOut(eng *engine, act reclaimer.Action) {
	switch act := act.(type) {
	case reclaimer.Free:
		wor.drop(eng, act)
	case reclaimer.Query:
		if wor.hostFrozen() || wor.hostDead {
			return
		}
		ans := reclaimer.Answer{Incarnation: wor.owner.Incarnation, Known: map[string]int{}}
		if wor.inProgress {
			ans.Known["request"] = wor.attempt
		}
		if wor.exporting {
			ans.Known[exportID] = 0
		}
		for _, fre := range reclaimer.ResolveQuery(act, ans) {
			wor.drop(eng, fre)
		}
	}
}

func (wor *world) drop(eng *engine, fre reclaimer.Free) {
	if wor.inProgress && !wor.hostDead && wor.now.Before(epoch.Add(timeLimit)) {
		if fre.Free.ID == wor.current && fre.Free.ID != "" || fre.Free.ID == "" && fre.Free.Attempt == wor.attempt {
			wor.robbed = append(wor.robbed, eng.id)
		}
	}
	eng.free(fre.Free)
	wor.note("reclaim %s: %s", fre.Free.Kind, fre.Reason)
}

// Incarnation is what host-b knows: a dead host restarts three seconds later.
func (wor *world) Incarnation(string) (uint64, bool) {
	if wor.hostDead {
		return wor.owner.Incarnation + 1, true
	}
	return wor.owner.Incarnation, true
}

// DeadSince takes nobody for dead.
func (wor *world) DeadSince(string) (time.Time, bool) { return time.Time{}, false }

// Attempt is what the owner itself knows.
func (wor *world) Attempt(id string) (int, bool) {
	if id == exportID {
		return 0, wor.exporting
	}
	return wor.attempt, wor.inProgress
}

// held lists what is left on the engines that live.
func (wor *world) held() []string {
	var out []string
	for _, eng := range wor.engines {
		if !eng.dead && (len(eng.holds) > 0 || eng.sequence != nil) {
			out = append(out, eng.id)
		}
	}
	return out
}
