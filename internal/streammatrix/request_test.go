package streammatrix_test

import (
	"fmt"
	"slices"
	"time"

	"hemlockpin/connection/invoker"
	"hemlockpin/process/grouper"
	"hemlockpin/request/assembler"
	"hemlockpin/request/attempter"
)

// request carries out the decisions on a request as the executor does.
type request struct {
	*simulation
	step          string
	faults        []string
	injected      bool
	pendingFaults []string
	state         attempter.State
	assembler     assembler.Assembler
	group         []invoker.Part
	stream        bool
	// streamStalled is set if the connection no longer delivers data.
	streamStalled bool
	tokens        []int64
	outcome       string
	fail          attempter.Fail
	endedAt       time.Time
}

func newRequest(step string, faults ...string) *request {
	sim := newSimulation()
	sim.inProgress = true
	return &request{
		simulation: sim, step: step, faults: faults,
		state:     attempter.State{Deadline: epoch.Add(timeLimit), Jitter: 0.5},
		assembler: assembler.Assembler{RequestID: "request", MaxTokens: answerTokens},
	}
}

// injectAt injects the faults when the request first reaches their step.
func (req *request) injectAt(step string) {
	if step != req.step || req.injected {
		return
	}
	req.injected = true
	for _, fault := range req.faults {
		req.tracef("strike %s", fault)
		req.inject(fault)
	}
}

func (req *request) inject(fault string) {
	lead := req.leader()
	switch fault {
	case "engine-dies":
		lead.die()
	case "engine-freezes":
		lead.frozenUntil = req.now.Add(frozenTime)
	case "connection-silent":
		req.streamStalled = req.stream
	case "one-way-cut":
		lead.answersLostUntil = req.now.Add(frozenTime)
	case "cancel-lost":
		req.cancelLost = true
	case "host-dies":
		req.hostDead = true
	case "host-frozen":
		req.hostFrozenUntil = req.now.Add(2 * timeLimit)
		req.advance(2 * timeLimit)
	case "member-lost":
		if len(req.group) > 1 {
			req.engine(req.group[1].Endpoint).die()
		}
	case "deadline":
		req.advance(max(0, req.state.Deadline.Sub(req.now)))
	default:
		req.pendingFaults = append(req.pendingFaults, fault)
	}
}

func (req *request) leader() *engine {
	if len(req.group) > 0 {
		return req.engine(req.group[0].Endpoint)
	}
	return req.engine("engine-0")
}

// run processes the request to its outcome, then gives the reclaimers time to free
// all memory.
func (req *request) run() {
	for req.outcome == "" && !req.hostDead {
		eve := req.attemptOnce()
		if req.hostDead {
			break
		}
		if !req.now.Before(req.state.Deadline) && req.outcome == "" {
			eve = attempter.Expired{}
		}
		if req.outcome == "" {
			req.decide(eve)
		}
	}
	if req.hostDead {
		req.outcome = "host gone"
	}
	req.endedAt = req.now
	req.inProgress = false
	req.advance(settleTime)
}

func (req *request) decide(eve attempter.Event) {
	sta, act := req.state.Next(eve, true, req.now)
	req.state = sta
	req.tracef("%s -> %s", typeName(eve), typeName(act))
	switch act := act.(type) {
	case attempter.Resume:
		req.stream = false
	case attempter.Dispatch:
		req.cancel()
		req.release()
		req.advance(act.After)
	case attempter.Fail:
		req.outcome = "failed " + act.Code + " " + string(act.Ran)
		req.fail = act
		req.cancel()
		req.release()
	case attempter.Abandon:
		req.outcome = "abandoned"
		req.cancel()
		req.release()
	}
}

func typeName(val any) string {
	out := fmt.Sprintf("%T", val)
	out = out[slices.Index([]byte(out), '.')+1:]
	switch val := val.(type) {
	case attempter.Failed:
		if val.Connection {
			out += "(connection)"
		}
	case attempter.Fail:
		out += "(" + val.Code + "," + string(val.Ran) + ")"
	}
	return out
}

func (req *request) attemptOnce() attempter.Event {
	if req.group == nil {
		if eve := req.place(); eve != nil {
			return eve
		}
	}
	if !req.stream {
		if eve := req.connect(); eve != nil {
			return eve
		}
	}
	for _, step := range []string{"queue", "prefill"} {
		req.injectAt(step)
		if eve := req.awaitEvent(); eve != nil {
			return eve
		}
	}
	for {
		if eve, done := req.relayEvent(); eve != nil || done {
			return eve
		}
	}
}

// place reserves memory on the first two engines that are alive and not excluded.
func (req *request) place() attempter.Event {
	var parts []invoker.Part
	id := fmt.Sprintf("reservation-%d-%d", req.attempt, len(req.trace))
	for _, eng := range req.engines {
		if !slices.Contains(req.state.Excluded, eng.id) && len(parts) < 2 && !eng.dead {
			parts = append(parts, invoker.Part{Endpoint: eng.id, Tokens: shareTokens, ReservationID: id})
		}
	}
	if len(parts) < 2 {
		return attempter.Refused{Code: "no_endpoint"}
	}
	req.holdID = id
	sta, act := grouper.New(parts, req.state.Deadline).Next(grouper.Started{}, req.now)
	for {
		switch next := act.(type) {
		case grouper.Complete:
			req.group = parts
			return nil
		case grouper.GiveUp:
			for _, par := range next.Release {
				req.releasePart(par)
			}
			return attempter.Refused{Code: "group_unavailable"}
		case grouper.Reserve:
			req.injectAt("place")
			if req.hostDead {
				return nil
			}
			sta, act = sta.Next(req.reserve(next), req.now)
		}
	}
}

func (req *request) reserve(res grouper.Reserve) grouper.Event {
	eng := req.engine(res.Part.Endpoint)
	req.advance(callTime)
	if !req.now.Before(req.state.Deadline) {
		return grouper.RequestEnded{}
	}
	if eng.dead {
		return grouper.Denied{}
	}
	if !req.now.Before(eng.frozenUntil) {
		eng.holds[res.Part.ReservationID] = invoker.MemoryHolder{
			ID: res.Part.ReservationID, RequestID: "request", Owner: req.owner, Tokens: res.Part.Tokens, Kind: "Reservation",
		}
		eng.heldAt[res.Part.ReservationID] = req.now
	}
	if eng.unresponsive(req.now) {
		req.advance(time.Second)
		return grouper.NoAnswer{}
	}
	return grouper.Granted{}
}

func (req *request) connect() attempter.Event {
	req.state = req.state.WithAttempt()
	req.attempt = req.state.Attempt
	req.assembler = req.assembler.WithAttempt(req.attempt)
	req.streamStalled = false
	req.injectAt("connect")
	if req.hostDead {
		return nil
	}
	req.advance(callTime)
	lead := req.leader()
	if lead.dead {
		return attempter.Failed{Endpoint: lead.id, Ran: invoker.NotRun}
	}
	if !req.now.Before(lead.frozenUntil) {
		lead.startSequence(req)
	}
	if lead.unresponsive(req.now) {
		return req.awaitTimeout(invoker.Unknown)
	}
	if lead.sequence == nil {
		return attempter.Failed{Endpoint: lead.id, Ran: invoker.NotRun}
	}
	req.stream = true
	return nil
}

// startSequence starts or resumes the sequence if the engine holds the reservation.
func (eng *engine) startSequence(req *request) {
	if _, held := eng.holds[req.holdID]; !held {
		return
	}
	eng.ran = true
	if seq := eng.sequence; seq != nil && seq.request == "request" {
		seq.attempt = req.attempt
		return
	}
	eng.sequence = &sequence{request: "request", attempt: req.attempt, next: req.assembler.Next, owner: req.owner, since: req.now}
}

func (req *request) awaitTimeout(ran invoker.Execution) attempter.Event {
	req.advance(invoker.EventTimeout)
	return attempter.Failed{Endpoint: req.leader().id, Ran: ran, Connection: true}
}

// awaitEvent returns the failure that prevents the next event of the stream; nil if
// the event arrives.
func (req *request) awaitEvent() attempter.Event {
	req.advance(callTime)
	lead := req.leader()
	ran := invoker.Unknown
	if len(req.tokens) > 0 {
		ran = invoker.Ran
	}
	switch {
	case req.hostDead:
		return attempter.Expired{}
	case !req.now.Before(req.state.Deadline):
		return attempter.Expired{}
	case lead.dead:
		return attempter.Failed{Endpoint: lead.id, Ran: ran, Connection: true}
	case req.streamStalled || lead.unresponsive(req.now):
		return req.awaitTimeout(ran)
	case lead.sequence == nil:
		return attempter.Failed{Endpoint: lead.id, Ran: ran, Connection: true}
	case len(req.group) > 1 && req.engine(req.group[1].Endpoint).dead:
		return attempter.Failed{Endpoint: lead.id, Ran: ran}
	}
	return nil
}

// relayEvent relays one event of the stream; done reports the end of the request.
func (req *request) relayEvent() (eve attempter.Event, done bool) {
	seq := req.leader().sequence
	if seq != nil && seq.next == 3 {
		req.injectAt("decode")
		if req.step == "cancel" && !req.injected {
			return attempter.Gone{}, false
		}
	}
	if seq != nil && seq.next == answerTokens {
		req.injectAt("finish")
	}
	if eve := req.awaitEvent(); eve != nil || req.hostDead {
		return eve, req.hostDead
	}
	if seq = req.leader().sequence; req.assembler.Next == answerTokens || req.consumeFault("early-finish") {
		return req.finish(invoker.Finish{RequestID: req.id(), Attempt: req.attempt, Reason: "length", CompletionTokens: req.assembler.Next})
	}
	tok := invoker.Token{RequestID: req.id(), Attempt: req.attempt, Index: req.assembler.Next}
	if req.consumeFault("gap") {
		tok.Index++
	}
	toks := []invoker.Token{tok}
	if req.consumeFault("doubled") {
		toks = append(toks, tok)
	}
	if req.consumeFault("late") {
		old := tok
		old.Attempt--
		toks = append([]invoker.Token{old}, toks...)
	}
	for _, tok := range toks {
		if !req.relayToken(tok) {
			return attempter.Failed{Endpoint: req.leader().id, Ran: invoker.Unknown}, false
		}
	}
	seq.next = max(seq.next, req.assembler.Next)
	return nil, false
}

func (req *request) id() string {
	if req.consumeFault("crossed") {
		return "another"
	}
	return "request"
}

// consumeFault removes a pending fault of the stream and reports whether there was
// one.
func (req *request) consumeFault(fault string) bool {
	i := slices.Index(req.pendingFaults, fault)
	if i < 0 {
		return false
	}
	req.pendingFaults = slices.Delete(req.pendingFaults, i, i+1)
	return true
}

func (req *request) relayToken(tok invoker.Token) bool {
	asm, ver := req.assembler.Token(tok)
	req.assembler = asm
	switch ver {
	case assembler.Deliver:
		req.tokens = append(req.tokens, tok.Index)
		req.state = req.state.WithDelivered(asm.Next)
		return true
	case assembler.Drop:
		req.tracef("drop")
		return true
	default:
		req.tracef("untrusted %s", ver)
		return false
	}
}

func (req *request) finish(fin invoker.Finish) (attempter.Event, bool) {
	ver := req.assembler.Finish(fin)
	if ver != assembler.Complete {
		req.tracef("untrusted %s", ver)
		return attempter.Failed{Endpoint: req.leader().id, Ran: invoker.Unknown}, false
	}
	req.outcome = "whole"
	req.leader().sequence = nil
	req.injectAt("release")
	req.release()
	return nil, true
}

func (req *request) cancel() {
	req.injectAt("cancel")
	req.stream = false
	if len(req.group) == 0 || req.cancelLost || req.hostDead {
		return
	}
	lead := req.leader()
	if lead.dead || req.now.Before(lead.frozenUntil) {
		return
	}
	lead.free(invoker.FreeRequest{Kind: "Running", RequestID: "request", Attempt: req.attempt, Owner: req.owner})
}

func (req *request) release() {
	for _, par := range req.group {
		req.releasePart(par)
	}
	req.group = nil
}

func (req *request) releasePart(par invoker.Part) {
	eng := req.engine(par.Endpoint)
	if req.cancelLost || req.hostDead || eng.dead || req.now.Before(eng.frozenUntil) {
		return
	}
	eng.free(invoker.FreeRequest{Kind: "Reservation", ID: par.ReservationID, Owner: req.owner})
}
