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

// request carries the decisions out as the executor does.
type request struct {
	*world
	step      string
	faults    []string
	struck    bool
	armed     []string
	state     attempter.State
	assembler assembler.Assembler
	group     []invoker.Part
	stream    bool
	// silentStream marks a connection that has lost its way.
	silentStream bool
	tokens       []int64
	outcome      string
	fail         attempter.Fail
	endedAt      time.Time
}

func newRequest(step string, faults ...string) *request {
	wor := newWorld()
	wor.inProgress = true
	return &request{
		world: wor, step: step, faults: faults,
		state:     attempter.State{Deadline: epoch.Add(timeLimit), Jitter: 0.5},
		assembler: assembler.Assembler{RequestID: "request", MaxTokens: answerTokens},
	}
}

// at strikes the faults when the request first reaches their step.
func (req *request) at(step string) {
	if step != req.step || req.struck {
		return
	}
	req.struck = true
	for _, fau := range req.faults {
		req.note("strike %s", fau)
		req.strike(fau)
	}
}

func (req *request) strike(fault string) {
	lead := req.leader()
	switch fault {
	case "engine-dies":
		lead.die()
	case "engine-freezes":
		lead.frozen = req.now.Add(frozenTime)
	case "connection-silent":
		req.silentStream = req.stream
	case "one-way-cut":
		lead.deaf = req.now.Add(frozenTime)
	case "cancel-lost":
		req.cancelLost = true
	case "host-dies":
		req.hostDead = true
	case "host-frozen":
		req.wakes = req.now.Add(2 * timeLimit)
		req.pass(2 * timeLimit)
	case "member-lost":
		if len(req.group) > 1 {
			req.engine(req.group[1].Endpoint).die()
		}
	case "deadline":
		req.pass(max(0, req.state.Deadline.Sub(req.now)))
	default:
		req.armed = append(req.armed, fault)
	}
}

func (req *request) leader() *engine {
	if len(req.group) > 0 {
		return req.engine(req.group[0].Endpoint)
	}
	return req.engine("engine-0")
}

// run ends with the outcome and the memory settled.
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
	req.pass(settleTime)
}

func (req *request) decide(eve attempter.Event) {
	sta, act := req.state.Next(eve, true, req.now)
	req.state = sta
	req.note("%s -> %s", name(eve), name(act))
	switch act := act.(type) {
	case attempter.Resume:
		req.stream = false
	case attempter.Dispatch:
		req.cancel()
		req.release()
		req.pass(act.After)
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

func name(val any) string {
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
	for _, ste := range []string{"queue", "prefill"} {
		req.at(ste)
		if eve := req.read(); eve != nil {
			return eve
		}
	}
	for {
		if eve, done := req.next(); eve != nil || done {
			return eve
		}
	}
}

// place reserves the first two engines that live and were not excluded.
func (req *request) place() attempter.Event {
	var pars []invoker.Part
	id := fmt.Sprintf("reservation-%d-%d", req.attempt, len(req.trace))
	for _, eng := range req.engines {
		if !slices.Contains(req.state.Excluded, eng.id) && len(pars) < 2 && !eng.dead {
			pars = append(pars, invoker.Part{Endpoint: eng.id, Tokens: shareTokens, ReservationID: id})
		}
	}
	if len(pars) < 2 {
		return attempter.Refused{Code: "no_endpoint"}
	}
	req.current = id
	sta, act := grouper.New(pars, req.state.Deadline).Next(grouper.Started{}, req.now)
	for {
		switch one := act.(type) {
		case grouper.Complete:
			req.group = pars
			return nil
		case grouper.GiveUp:
			for _, par := range one.Release {
				req.releasePart(par)
			}
			return attempter.Refused{Code: "group_unavailable"}
		case grouper.Reserve:
			req.at("place")
			if req.hostDead {
				return nil
			}
			sta, act = sta.Next(req.reserve(one), req.now)
		}
	}
}

func (req *request) reserve(res grouper.Reserve) grouper.Event {
	eng := req.engine(res.Part.Endpoint)
	req.pass(callTime)
	if !req.now.Before(req.state.Deadline) {
		return grouper.Expired{}
	}
	if eng.dead {
		return grouper.Denied{}
	}
	if !req.now.Before(eng.frozen) {
		eng.holds[res.Part.ReservationID] = invoker.Sequence{
			ID: res.Part.ReservationID, RequestID: "request", Owner: req.owner, Tokens: res.Part.Tokens, Kind: "Reservation",
		}
		eng.heldAt[res.Part.ReservationID] = req.now
	}
	if eng.silent(req.now) {
		req.pass(time.Second)
		return grouper.NoAnswer{}
	}
	return grouper.Granted{}
}

func (req *request) connect() attempter.Event {
	req.state = req.state.WithAttempt()
	req.attempt = req.state.Attempt
	req.assembler = req.assembler.WithAttempt(req.attempt)
	req.silentStream = false
	req.at("connect")
	if req.hostDead {
		return nil
	}
	req.pass(callTime)
	lead := req.leader()
	if lead.dead {
		return attempter.Failed{Endpoint: lead.id, Ran: invoker.NotRun}
	}
	if !req.now.Before(lead.frozen) {
		lead.begin(req)
	}
	if lead.silent(req.now) {
		return req.silence(invoker.Unknown)
	}
	if lead.sequence == nil {
		return attempter.Failed{Endpoint: lead.id, Ran: invoker.NotRun}
	}
	req.stream = true
	return nil
}

// begin starts or resumes the sequence, if the reservation is held.
func (eng *engine) begin(req *request) {
	if _, held := eng.holds[req.current]; !held {
		return
	}
	eng.ran = true
	if seq := eng.sequence; seq != nil && seq.request == "request" {
		seq.attempt = req.attempt
		return
	}
	eng.sequence = &sequence{request: "request", attempt: req.attempt, next: req.assembler.Next, owner: req.owner, since: req.now}
}

func (req *request) silence(ran invoker.Execution) attempter.Event {
	req.pass(invoker.EventTimeout)
	return attempter.Failed{Endpoint: req.leader().id, Ran: ran, Connection: true}
}

// read fails where the stream does not bring the next event.
func (req *request) read() attempter.Event {
	req.pass(callTime)
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
	case req.silentStream || lead.silent(req.now):
		return req.silence(ran)
	case lead.sequence == nil:
		return attempter.Failed{Endpoint: lead.id, Ran: ran, Connection: true}
	case len(req.group) > 1 && req.engine(req.group[1].Endpoint).dead:
		return attempter.Failed{Endpoint: lead.id, Ran: ran}
	}
	return nil
}

// next relays one event; done reports the end of the request.
func (req *request) next() (eve attempter.Event, done bool) {
	seq := req.leader().sequence
	if seq != nil && seq.next == 3 {
		req.at("decode")
		if req.step == "cancel" && !req.struck {
			return attempter.Gone{}, false
		}
	}
	if seq != nil && seq.next == answerTokens {
		req.at("finish")
	}
	if eve := req.read(); eve != nil || req.hostDead {
		return eve, req.hostDead
	}
	if seq = req.leader().sequence; req.assembler.Next == answerTokens || req.take("early-finish") {
		return req.finish(invoker.Finish{RequestID: req.id(), Attempt: req.attempt, Reason: "length", CompletionTokens: req.assembler.Next})
	}
	tok := invoker.Token{RequestID: req.id(), Attempt: req.attempt, Index: req.assembler.Next}
	if req.take("gap") {
		tok.Index++
	}
	toks := []invoker.Token{tok}
	if req.take("doubled") {
		toks = append(toks, tok)
	}
	if req.take("late") {
		old := tok
		old.Attempt--
		toks = append([]invoker.Token{old}, toks...)
	}
	for _, tok := range toks {
		if !req.token(tok) {
			return attempter.Failed{Endpoint: req.leader().id, Ran: invoker.Unknown}, false
		}
	}
	seq.next = max(seq.next, req.assembler.Next)
	return nil, false
}

func (req *request) id() string {
	if req.take("crossed") {
		return "another"
	}
	return "request"
}

// take uses up a fault of the stream.
func (req *request) take(fault string) bool {
	ind := slices.Index(req.armed, fault)
	if ind < 0 {
		return false
	}
	req.armed = slices.Delete(req.armed, ind, ind+1)
	return true
}

func (req *request) token(tok invoker.Token) bool {
	ass, ver := req.assembler.Token(tok)
	req.assembler = ass
	switch ver {
	case assembler.Deliver:
		req.tokens = append(req.tokens, tok.Index)
		req.state = req.state.WithDelivered(ass.Next)
		return true
	case assembler.Drop:
		req.note("drop")
		return true
	default:
		req.note("untrusted %s", ver)
		return false
	}
}

func (req *request) finish(fin invoker.Finish) (attempter.Event, bool) {
	ver := req.assembler.Finish(fin)
	if ver != assembler.Complete {
		req.note("untrusted %s", ver)
		return attempter.Failed{Endpoint: req.leader().id, Ran: invoker.Unknown}, false
	}
	req.outcome = "whole"
	req.leader().sequence = nil
	req.at("release")
	req.release()
	return nil, true
}

func (req *request) cancel() {
	req.at("cancel")
	req.stream = false
	if len(req.group) == 0 || req.cancelLost || req.hostDead {
		return
	}
	lead := req.leader()
	if lead.dead || req.now.Before(lead.frozen) {
		return
	}
	lead.free(invoker.Free{Kind: "Running", RequestID: "request", Attempt: req.attempt, Owner: req.owner})
}

func (req *request) release() {
	for _, par := range req.group {
		req.releasePart(par)
	}
	req.group = nil
}

func (req *request) releasePart(par invoker.Part) {
	eng := req.engine(par.Endpoint)
	if req.cancelLost || req.hostDead || eng.dead || req.now.Before(eng.frozen) {
		return
	}
	eng.free(invoker.Free{Kind: "Reservation", ID: par.ReservationID, Owner: req.owner})
}
