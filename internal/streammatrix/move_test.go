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

// moving is a request whose answer moves from engine-0 to engine-1.
type moving struct {
	*world
	step, fault string
	state       mover.State
	request     attempter.State
	assembler   assembler.Assembler
	source      *engine
	target      *engine
	second      int
	told        []string
	ended       string
}

func newMoving(step, fault string) *moving {
	wor := newWorld()
	wor.inProgress = true
	mov := &moving{
		world: wor, step: step, fault: fault, state: mover.State{PromptTokens: 4096, Blocks: 4},
		request:   attempter.State{Deadline: epoch.Add(timeLimit)}.WithAttempt(),
		assembler: assembler.Assembler{RequestID: "request", Attempt: 1, MaxTokens: moveTokens},
		source:    wor.engines[0], target: wor.engines[1],
	}
	mov.attempt = 1
	mov.source.sequence = &sequence{request: "request", attempt: 1, owner: wor.owner, since: wor.now}
	return mov
}

// cell returns the trace of one fault at one step, with its end.
func (mov *moving) cell() string {
	mov.deliver(1)
	act := mov.next(mover.Began{Remaining: mov.rest()})
	mov.request = mov.request.WithMove()
	mov.second = mov.request.Attempt
	for over := false; !over && mov.ended == ""; {
		act, over = mov.carry(act)
	}
	mov.finish()
	mov.inProgress = false
	mov.pass(settleTime)
	return strings.Join(append(mov.trace, "= "+mov.verdict()), "\n")
}

func (mov *moving) verdict() string {
	switch lef := mov.held(); {
	case len(lef) > 0:
		return fmt.Sprintf("VIOLATION: memory is left on %v", lef)
	case len(mov.robbed) > 0:
		return fmt.Sprintf("VIOLATION: a live request lost memory on %v", mov.robbed)
	case len(mov.told) > 1 || len(mov.told) == 0 && !mov.hostDead:
		return fmt.Sprintf("VIOLATION: the cell was told %v", mov.told)
	case mov.ended == "" && mov.assembler.Next != moveTokens:
		return fmt.Sprintf("VIOLATION: %d tokens", mov.assembler.Next)
	case mov.ended == "":
		mov.ended = "whole"
	}
	return mov.ended + " " + strings.Join(mov.told, "")
}

func (mov *moving) rest() mover.Remaining {
	return mover.Remaining{Tokens: moveTokens - mov.assembler.Next, Time: mov.request.Deadline.Sub(mov.now)}
}

func (mov *moving) next(eve mover.Event) mover.Action {
	sta, act := mov.state.Next(eve)
	mov.state = sta
	mov.note("%s -> %s", name(eve), name(act))
	if abo, ok := act.(mover.Abort); ok {
		mov.abandon(abo)
	}
	return act
}

// strike returns the event by which the request itself learns of the fault.
func (mov *moving) strike() mover.Event {
	if mov.state.Step.String() != mov.step || mov.fault == "" {
		return nil
	}
	fau := mov.fault
	mov.fault = ""
	mov.note("strike %s", fau)
	switch fau {
	case "source-dies":
		mov.source.die()
		return mover.SourceFailed{}
	case "source-freezes":
		mov.source.frozen = mov.now.Add(frozenTime)
		return mover.SourceFailed{}
	case "target-dies":
		mov.target.die()
	case "target-freezes":
		mov.target.frozen = mov.now.Add(frozenTime)
	case "cancel-lost":
		mov.cancelLost = true
	case "host-dies":
		mov.hostDead = true
		mov.ended = "host gone"
	case "host-frozen":
		mov.wakes = mov.now.Add(2 * timeLimit)
		mov.pass(2 * timeLimit)
		mov.ended = "failed time_limit"
		return mover.Ended{}
	case "deadline", "caller-gone", "answer-ends":
		mov.ended = fau
		return mover.Ended{}
	default:
		mov.fault = fau + " struck"
	}
	return nil
}

// carry does one action while the first engine goes on, and reports the end of
// the move.
func (mov *moving) carry(act mover.Action) (mover.Action, bool) {
	swi, switched := act.(mover.Switch)
	if eve := mov.strike(); eve != nil && !switched {
		if now := mov.next(eve); name(now) != "Await" {
			return now, true
		}
	}
	if mov.hostDead {
		return act, true
	}
	mov.pass(callTime)
	switch act.(type) {
	case mover.Switch:
		mov.leave(swi)
		return act, true
	case mover.Abort, mover.Nothing:
		return act, true
	}
	return mov.next(mov.do(act)), false
}

func (mov *moving) do(act mover.Action) mover.Event {
	switch act.(type) {
	case mover.Ask:
		return mover.Offered{}
	case mover.Export:
		mov.exporting = true
		mov.current = exportID
		mov.source.holds[exportID] = invoker.Sequence{ID: exportID, Owner: mov.owner, Kind: "Export"}
		mov.source.heldAt[exportID] = mov.now
		return mover.Exported{}
	case mover.Import:
		if !mov.reaches(mov.target) || !mov.reaches(mov.source) || mov.fault == "target-full struck" {
			return mover.Failed{}
		}
		return mover.Imported{Remaining: mov.rest()}
	case mover.CatchUp:
		return mov.catchUp()
	default:
		return mov.compare()
	}
}

func (mov *moving) reaches(eng *engine) bool { return !eng.dead && !eng.silent(mov.now) }

func (mov *moving) catchUp() mover.Event {
	if !mov.reaches(mov.target) || mov.fault == "target-full struck" {
		return mover.Failed{}
	}
	mov.target.sequence = &sequence{request: "request", attempt: mov.second, owner: mov.owner, since: mov.now}
	if mov.fault == "slow struck" {
		mov.deliver(5)
		mov.pass(mover.CatchUpLimit)
		return mover.Failed{}
	}
	return mover.CaughtUp{}
}

func (mov *moving) compare() mover.Event {
	switch mov.fault {
	case "diverges struck":
		return mover.Failed{}
	case "slow struck":
		mov.fault = ""
		return mover.Behind{}
	}
	return mover.Agreed{}
}

// deliver passes tokens of the current dispatch on.
func (mov *moving) deliver(cou int64) {
	for range cou {
		ass, ver := mov.assembler.Token(invoker.Token{RequestID: "request", Attempt: mov.assembler.Attempt, Index: mov.assembler.Next})
		mov.assembler = ass
		if ver != assembler.Deliver {
			mov.note("VIOLATION: %s", ver)
		}
	}
}

func (mov *moving) leave(act mover.Switch) {
	mov.request = mov.request.WithSwitch()
	mov.assembler = mov.assembler.WithAttempt(mov.second)
	mov.attempt = mov.second
	mov.cancel(mov.source, mov.second-1)
	if act.Export {
		mov.releaseExport()
	}
	mov.source = mov.target
	mov.told = append(mov.told, "moved")
}

func (mov *moving) abandon(abo mover.Abort) {
	if abo.Dispatch {
		mov.cancel(mov.target, mov.second)
	}
	if abo.Export {
		mov.releaseExport()
	}
	if abo.Target {
		mov.told = append(mov.told, "stayed")
	}
}

func (mov *moving) cancel(eng *engine, att int) {
	if !mov.cancelLost && mov.reaches(eng) {
		eng.free(invoker.Free{Kind: "Running", RequestID: "request", Attempt: att, Owner: mov.owner})
	}
}

func (mov *moving) releaseExport() {
	mov.exporting = false
	mov.current = ""
	if !mov.cancelLost && mov.reaches(mov.engines[0]) {
		delete(mov.engines[0].holds, exportID)
	}
}

// finish lets the engine that has the request answer to the end; if it has
// failed, the request is dispatched elsewhere.
func (mov *moving) finish() {
	if mov.hostDead {
		return
	}
	mov.pass(time.Second)
	if mov.ended == "" && !mov.reaches(mov.source) {
		sta, act := mov.request.Next(attempter.Failed{Endpoint: mov.source.id}, true, mov.now)
		mov.request = sta.WithAttempt()
		mov.note("Failed -> %s", name(act))
		mov.cancel(mov.source, mov.request.Attempt)
		mov.source = mov.engines[2]
		mov.attempt = mov.request.Attempt
		mov.assembler = mov.assembler.WithAttempt(mov.attempt)
	}
	if mov.ended == "" {
		mov.deliver(moveTokens - mov.assembler.Next)
	}
	// An answer that ends whole leaves nothing to cancel.
	mov.source.sequence = nil
}
