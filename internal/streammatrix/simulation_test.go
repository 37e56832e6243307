// Package streammatrix_test simulates a request in virtual time and injects every
// fault at every step. It runs the real decisions on attempts, on groups of engines,
// on moves and on reclaimed memory against modelled engines.
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
	answerTokens    = 6
	shareTokens     = 1000
	timeLimit       = 10 * time.Second
	callTime        = 10 * time.Millisecond
	frozenTime      = 6 * time.Second
	reclaimInterval = 2 * time.Second
	settleTime      = 90 * time.Second
)

var epoch = time.Unix(1_700_000_000, 0)

// sequence is a running generation on a modelled engine.
type sequence struct {
	request string
	attempt int
	next    int64
	owner   invoker.Owner
	since   time.Time
}

// engine models an engine: the memory that it holds, and whether it answers.
type engine struct {
	id               string
	dead             bool
	frozenUntil      time.Time
	answersLostUntil time.Time
	holds            map[string]invoker.MemoryHolder
	heldAt           map[string]time.Time
	sequence         *sequence
	// ran is set once the engine has started a sequence.
	ran bool
}

func (eng *engine) unresponsive(now time.Time) bool {
	return now.Before(eng.frozenUntil) || now.Before(eng.answersLostUntil)
}

func (eng *engine) die() {
	eng.dead = true
	eng.holds = map[string]invoker.MemoryHolder{}
	eng.sequence = nil
}

// report returns the sequences that hold memory, as the engine would report them.
func (eng *engine) report(now time.Time) []invoker.MemoryHolder {
	var out []invoker.MemoryHolder
	for id, held := range eng.holds {
		held.AgeMs = now.Sub(eng.heldAt[id]).Milliseconds()
		held.IdleMs = held.AgeMs
		held.ExpiresMs = epoch.Add(timeLimit).Sub(now).Milliseconds()
		out = append(out, held)
	}
	if seq := eng.sequence; seq != nil {
		age := now.Sub(seq.since).Milliseconds()
		out = append(out, invoker.MemoryHolder{
			RequestID: seq.request, Attempt: seq.attempt, Owner: seq.owner, Kind: "Running", AgeMs: age, IdleMs: age,
			ExpiresMs: epoch.Add(timeLimit).Sub(now).Milliseconds(),
		})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

func (eng *engine) free(fre invoker.FreeRequest) {
	if held, ok := eng.holds[fre.ID]; ok && held.Owner == fre.Owner {
		delete(eng.holds, fre.ID)
	}
	if seq := eng.sequence; seq != nil && fre.ID == "" && seq.owner == fre.Owner && seq.attempt <= fre.Attempt {
		eng.sequence = nil
	}
}

// simulation is the fleet around one request.
type simulation struct {
	now     time.Time
	engines []*engine
	owner   invoker.Owner
	// hostDead is set once the owner's process has been killed;
	// hostFrozenUntil is when the frozen process resumes.
	hostDead        bool
	hostFrozenUntil time.Time
	inProgress      bool
	// exporting is set while the owner needs the exported memory.
	exporting    bool
	attempt      int
	holdID       string
	cancelLost   bool
	reclaimers   []*reclaimer.Reclaimer
	reclaimAt    time.Time
	trace        []string
	wronglyFreed []string
}

func newSimulation() *simulation {
	sim := &simulation{now: epoch, owner: invoker.Owner{Host: "host-a", Incarnation: 7}, reclaimAt: epoch.Add(reclaimInterval)}
	for i := range 5 {
		sim.engines = append(sim.engines, &engine{
			id: fmt.Sprintf("engine-%d", i), holds: map[string]invoker.MemoryHolder{}, heldAt: map[string]time.Time{},
		})
	}
	sim.reclaimers = []*reclaimer.Reclaimer{{Self: sim.owner}, {Self: invoker.Owner{Host: "host-b", Incarnation: 3}}}
	return sim
}

func (sim *simulation) tracef(format string, args ...any) {
	sim.trace = append(sim.trace, fmt.Sprintf(format, args...))
}

func (sim *simulation) engine(id string) *engine {
	i := slices.IndexFunc(sim.engines, func(eng *engine) bool { return eng.id == id })
	return sim.engines[i]
}

// advance moves the virtual time on and runs the reclaimers at their interval.
func (sim *simulation) advance(duration time.Duration) {
	end := sim.now.Add(duration)
	for !sim.reclaimAt.After(end) {
		sim.now = sim.reclaimAt
		sim.reclaim()
		sim.reclaimAt = sim.reclaimAt.Add(reclaimInterval)
	}
	sim.now = end
}

func (sim *simulation) hostFrozen() bool { return sim.now.Before(sim.hostFrozenUntil) }

func (sim *simulation) reclaim() {
	for i, rec := range sim.reclaimers {
		if i == 0 && (sim.hostDead || sim.hostFrozen()) {
			continue
		}
		for _, eng := range sim.engines {
			if eng.dead || eng.unresponsive(sim.now) {
				continue
			}
			rep := reclaimer.Report{Endpoint: eng.id, Load: invoker.Load{Sequences: eng.report(sim.now)}, At: sim.now}
			for _, act := range rec.Decide(rep, sim, sim, sim.now) {
				sim.applyReclaim(eng, act)
			}
		}
	}
}

func (sim *simulation) applyReclaim(eng *engine, act reclaimer.Action) {
	switch act := act.(type) {
	case reclaimer.Free:
		sim.freeReclaimed(eng, act)
	case reclaimer.Query:
		if sim.hostFrozen() || sim.hostDead {
			return
		}
		ans := reclaimer.Answer{Incarnation: sim.owner.Incarnation, InProgress: map[string]int{}}
		if sim.inProgress {
			ans.InProgress["request"] = sim.attempt
		}
		if sim.exporting {
			ans.InProgress[exportID] = 0
		}
		for _, fre := range reclaimer.ResolveQuery(act, ans) {
			sim.freeReclaimed(eng, fre)
		}
	}
}

func (sim *simulation) freeReclaimed(eng *engine, fre reclaimer.Free) {
	if sim.inProgress && !sim.hostDead && sim.now.Before(epoch.Add(timeLimit)) {
		if fre.Holding.ID == sim.holdID && fre.Holding.ID != "" || fre.Holding.ID == "" && fre.Holding.Attempt == sim.attempt {
			sim.wronglyFreed = append(sim.wronglyFreed, eng.id)
		}
	}
	eng.free(fre.Holding)
	sim.tracef("reclaim %s: %s", fre.Holding.Kind, fre.Reason)
}

// Incarnation implements the view of host-b: the owner counts as restarted as soon
// as it is dead.
func (sim *simulation) Incarnation(string) (uint64, bool) {
	if sim.hostDead {
		return sim.owner.Incarnation + 1, true
	}
	return sim.owner.Incarnation, true
}

// DeadSince reports no host as dead.
func (sim *simulation) DeadSince(string) (time.Time, bool) { return time.Time{}, false }

// Attempt returns the owner's current attempt of a request, or whether it still
// needs the export.
func (sim *simulation) Attempt(id string) (int, bool) {
	if id == exportID {
		return 0, sim.exporting
	}
	return sim.attempt, sim.inProgress
}

// enginesInUse returns the IDs of the live engines that hold memory.
func (sim *simulation) enginesInUse() []string {
	var out []string
	for _, eng := range sim.engines {
		if !eng.dead && (len(eng.holds) > 0 || eng.sequence != nil) {
			out = append(out, eng.id)
		}
	}
	return out
}
