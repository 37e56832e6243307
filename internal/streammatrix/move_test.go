package streammatrix_test

import (
	"fmt"
	"strings"
	"time"

	"hemlockpin/connection/invoker"
	"hemlockpin/request/assembler"
	"hemlockpin/request/attempter"
	"hemlockpin/request/mover"
)

const (
	exportID   = "request-export"
	moveTokens = 100
)

var moveFaults = []string{
	"none", "source-dies", "source-freezes", "target-dies", "target-freezes", "target-full", "diverges", "slow",
	"cancel-lost", "deadline", "caller-gone", "answer-ends", "host-dies", "host-frozen",
}

// move is a request whose generation moves from engine-0 to engine-1.
type move struct {
	*simulation
	step, fault string
	state       mover.State
	request     attempter.State
	assembler   assembler.Assembler
	source      *engine
	target      *engine
	newAttempt  int
	reports     []string
	outcome     string
}

func newMove(step, fault string) *move {
	sim := newSimulation()
	sim.inProgress = true
	mov := &move{
		simulation: sim, step: step, fault: fault, state: mover.State{PromptTokens: 4096, Blocks: 4},
		request:   attempter.State{Deadline: epoch.Add(timeLimit)}.WithAttempt(),
		assembler: assembler.Assembler{RequestID: "request", Attempt: 1, MaxTokens: moveTokens},
		source:    sim.engines[0], target: sim.engines[1],
	}
	mov.attempt = 1
	mov.source.sequence = &sequence{request: "request", attempt: 1, owner: sim.owner, since: sim.now}
	return mov
}

// runCell runs the move with its fault and returns the trace and the outcome.
func (mov *move) runCell() string {
	mov.deliverTokens(1)
	act := mov.next(mover.Began{Remaining: mov.remaining()})
	mov.request = mov.request.WithMove()
	mov.newAttempt = mov.request.Attempt
	for over := false; !over && mov.outcome == ""; {
		act, over = mov.perform(act)
	}
	mov.finish()
	mov.inProgress = false
	mov.advance(settleTime)
	return strings.Join(append(mov.trace, "= "+mov.verdict()), "\n")
}

func (mov *move) verdict() string {
	switch left := mov.enginesInUse(); {
	case len(left) > 0:
		return fmt.Sprintf("VIOLATION: memory was not freed on %v", left)
	case len(mov.wronglyFreed) > 0:
		return fmt.Sprintf("VIOLATION: memory of a live request was freed on %v", mov.wronglyFreed)
	case len(mov.reports) > 1 || len(mov.reports) == 0 && !mov.hostDead:
		return fmt.Sprintf("VIOLATION: the cell received the reports %v", mov.reports)
	case mov.outcome == "" && mov.assembler.Next != moveTokens:
		return fmt.Sprintf("VIOLATION: complete with %d tokens", mov.assembler.Next)
	case mov.outcome == "":
		mov.outcome = "whole"
	}
	return mov.outcome + " " + strings.Join(mov.reports, "")
}

func (mov *move) remaining() mover.Remaining {
	return mover.Remaining{Tokens: moveTokens - mov.assembler.Next, Time: mov.request.Deadline.Sub(mov.now)}
}

func (mov *move) next(eve mover.Event) mover.Action {
	sta, act := mov.state.Next(eve)
	mov.state = sta
	mov.tracef("%s -> %s", typeName(eve), typeName(act))
	if abo, ok := act.(mover.Abort); ok {
		mov.abort(abo)
	}
	return act
}

// inject injects the fault when the move reaches its step. It returns the event by
// which the request notices the fault at once; nil if there is none.
func (mov *move) inject() mover.Event {
	if mov.state.Step.String() != mov.step || mov.fault == "" {
		return nil
	}
	fault := mov.fault
	mov.fault = ""
	mov.tracef("strike %s", fault)
	switch fault {
	case "source-dies":
		mov.source.die()
		return mover.SourceFailed{}
	case "source-freezes":
		mov.source.frozenUntil = mov.now.Add(frozenTime)
		return mover.SourceFailed{}
	case "target-dies":
		mov.target.die()
	case "target-freezes":
		mov.target.frozenUntil = mov.now.Add(frozenTime)
	case "cancel-lost":
		mov.cancelLost = true
	case "host-dies":
		mov.hostDead = true
		mov.outcome = "host gone"
	case "host-frozen":
		mov.hostFrozenUntil = mov.now.Add(2 * timeLimit)
		mov.advance(2 * timeLimit)
		mov.outcome = "failed time_limit"
		return mover.Ended{}
	case "deadline", "caller-gone", "answer-ends":
		mov.outcome = fault
		return mover.Ended{}
	default:
		mov.fault = fault + " struck"
	}
	return nil
}

// perform carries out one action while the source engine goes on generating. It
// returns the next action and whether the move is over.
func (mov *move) perform(act mover.Action) (mover.Action, bool) {
	swi, switched := act.(mover.Switch)
	if eve := mov.inject(); eve != nil && !switched {
		if next := mov.next(eve); typeName(next) != "Await" {
			return next, true
		}
	}
	if mov.hostDead {
		return act, true
	}
	mov.advance(callTime)
	switch act.(type) {
	case mover.Switch:
		mov.completeSwitch(swi)
		return act, true
	case mover.Abort, mover.Nothing:
		return act, true
	}
	return mov.next(mov.execute(act)), false
}

func (mov *move) execute(act mover.Action) mover.Event {
	switch act.(type) {
	case mover.Ask:
		return mover.Offered{}
	case mover.Export:
		mov.exporting = true
		mov.holdID = exportID
		mov.source.holds[exportID] = invoker.MemoryHolder{ID: exportID, Owner: mov.owner, Kind: "Export"}
		mov.source.heldAt[exportID] = mov.now
		return mover.Exported{}
	case mover.Import:
		if !mov.reachable(mov.target) || !mov.reachable(mov.source) || mov.fault == "target-full struck" {
			return mover.Failed{}
		}
		return mover.Imported{Remaining: mov.remaining()}
	case mover.CatchUp:
		return mov.catchUp()
	default:
		return mov.compare()
	}
}

func (mov *move) reachable(eng *engine) bool { return !eng.dead && !eng.unresponsive(mov.now) }

func (mov *move) catchUp() mover.Event {
	if !mov.reachable(mov.target) || mov.fault == "target-full struck" {
		return mover.Failed{}
	}
	mov.target.sequence = &sequence{request: "request", attempt: mov.newAttempt, owner: mov.owner, since: mov.now}
	if mov.fault == "slow struck" {
		mov.deliverTokens(5)
		mov.advance(mover.CatchUpLimit)
		return mover.Failed{}
	}
	return mover.CaughtUp{}
}

func (mov *move) compare() mover.Event {
	switch mov.fault {
	case "diverges struck":
		return mover.Failed{}
	case "slow struck":
		mov.fault = ""
		return mover.Behind{}
	}
	return mover.Agreed{}
}

// deliverTokens relays tokens of the current attempt to the caller.
func (mov *move) deliverTokens(n int64) {
	for range n {
		asm, ver := mov.assembler.Token(invoker.Token{RequestID: "request", Attempt: mov.assembler.Attempt, Index: mov.assembler.Next})
		mov.assembler = asm
		if ver != assembler.Deliver {
			mov.tracef("VIOLATION: %s", ver)
		}
	}
}

func (mov *move) completeSwitch(act mover.Switch) {
	mov.request = mov.request.WithSwitch()
	mov.assembler = mov.assembler.WithAttempt(mov.newAttempt)
	mov.attempt = mov.newAttempt
	mov.cancel(mov.source, mov.newAttempt-1)
	if act.Export {
		mov.releaseExport()
	}
	mov.source = mov.target
	mov.reports = append(mov.reports, "moved")
}

func (mov *move) abort(abo mover.Abort) {
	if abo.Dispatch {
		mov.cancel(mov.target, mov.newAttempt)
	}
	if abo.Export {
		mov.releaseExport()
	}
	if abo.Target {
		mov.reports = append(mov.reports, "stayed")
	}
}

func (mov *move) cancel(eng *engine, att int) {
	if !mov.cancelLost && mov.reachable(eng) {
		eng.free(invoker.FreeRequest{Kind: "Running", RequestID: "request", Attempt: att, Owner: mov.owner})
	}
}

func (mov *move) releaseExport() {
	mov.exporting = false
	mov.holdID = ""
	if !mov.cancelLost && mov.reachable(mov.engines[0]) {
		delete(mov.engines[0].holds, exportID)
	}
}

// finish lets the engine that runs the request generate the rest of the answer. If
// that engine has failed, the request is dispatched to another one.
func (mov *move) finish() {
	if mov.hostDead {
		return
	}
	mov.advance(time.Second)
	if mov.outcome == "" && !mov.reachable(mov.source) {
		sta, act := mov.request.Next(attempter.Failed{Endpoint: mov.source.id}, true, mov.now)
		mov.request = sta.WithAttempt()
		mov.tracef("Failed -> %s", typeName(act))
		mov.cancel(mov.source, mov.request.Attempt)
		mov.source = mov.engines[2]
		mov.attempt = mov.request.Attempt
		mov.assembler = mov.assembler.WithAttempt(mov.attempt)
	}
	if mov.outcome == "" {
		mov.deliverTokens(moveTokens - mov.assembler.Next)
	}
	// The engine frees a sequence that is complete, so there is nothing to cancel.
	mov.source.sequence = nil
}
