package journaler

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"hemlockpin/connection/invoker"
	"hemlockpin/connection/messenger"
	"hemlockpin/request/claimer"
)

// The steps of a call at which a fault can be injected, and the kinds of faults:
//
//   - down: the step fails without effect.
//   - outage: the step's dependency is down until the faults are ended.
//   - lost: the effect takes place, but its answer is lost.
//   - late: the effect takes place when the faults are ended.
//   - slow: the answer arrives after the call has expired.
//   - conflict: another key of the shard is changed first.
//   - foreign: another host runs the same call first.
//   - die-before, die-after: the host dies before or after the effect.
//   - pause-answer, pause-run: the host is paused while a repeat runs on another host;
//     then its call expires, or runs on.
//
// At the step read, lost, late and slow are failed reads.
var (
	steps      = []string{"forward", "read", "write", "place", "dispatch", "finish", "release"}
	faultKinds = []string{"down", "outage", "lost", "late", "slow", "conflict", "foreign", "die-before", "die-after", "pause-answer", "pause-run"}
)

// notApplicable returns why a fault cannot occur at a step, or an empty string.
func notApplicable(step, fault string) string {
	if step != "place" {
		return ""
	}
	switch fault {
	case "lost", "late", "die-after":
		return "placement sends nothing that could be lost"
	}
	return ""
}

// injectedFault is a fault at a step. It is injected the first time that its call
// reaches the step; an outage lasts until all faults are ended.
type injectedFault struct {
	step, kind string
	done       bool
}

// hostDied is the panic value that ends the work of a host that dies.
type hostDied struct{ host string }

// simulation runs the decisions of several hosts with one store and one service, in
// memory and one step at a time.
type simulation struct {
	shard        *Shard
	seq          uint64
	otherChanges int
	// delayed holds effects that take place when the faults are ended.
	delayed     []func()
	retries     []func() bool
	runs        int
	serviceDown bool
	forwards    bool
	faultsEnded bool
	outage      map[string]bool
	otherCalls  []*simCall
}

// simCall is one call with the key on one host.
type simCall struct {
	sim     *simulation
	host    string
	faults  []*injectedFault
	state   claimer.State
	expired bool
	dead    bool
	answer  string
	ran     bool
}

func (sim *simulation) newCall(host string, faults ...*injectedFault) *simCall {
	return &simCall{sim: sim, host: host, faults: faults, state: claimer.State{KeyFromCaller: true}}
}

// dependency returns the dependency of a step, which an outage at the step makes
// unavailable.
func dependency(step string) string {
	switch step {
	case "read", "write", "finish", "release":
		return "store"
	default:
		return step
	}
}

// nextFault returns the fault to inject at a step of the call now.
func (cal *simCall) nextFault(step string) string {
	if cal.sim.outage[dependency(step)] && !cal.sim.faultsEnded {
		return "down"
	}
	for _, injected := range cal.faults {
		if injected.step == step && !injected.done {
			injected.done = true
			if injected.kind == "outage" {
				cal.sim.outage[dependency(step)] = true
				return "down"
			}
			return injected.kind
		}
	}
	return ""
}

// beforeEffect carries out the part of a fault that precedes the effect of a step.
func (cal *simCall) beforeEffect(fault string) {
	switch fault {
	case "conflict":
		cal.sim.changeOtherKey()
	case "foreign":
		cal.sim.repeatOn("foreign")
	case "die-before":
		panic(hostDied{cal.host})
	case "pause-answer":
		cal.sim.repeatOn("meanwhile")
		cal.expire()
	case "pause-run":
		cal.sim.repeatOn("meanwhile")
		cal.expired = true
	}
}

// afterEffect carries out the part of a fault that follows the effect of a step.
func (cal *simCall) afterEffect(fault string) {
	switch fault {
	case "die-after":
		panic(hostDied{cal.host})
	case "slow":
		cal.expire()
	}
}

// changeOtherKey changes another key of the shard, as a second writer would.
func (sim *simulation) changeOtherKey() {
	sim.otherChanges++
	com := &messenger.ClaimCommit{Key: "other" + strconv.Itoa(sim.otherChanges), Nonce: "other", KeyTimeMs: epoch.UnixMilli()}
	del, _, _ := sim.shard.Evaluate([]*messenger.ClaimCommit{com}, epoch)
	sim.write(del)
}

// write replaces the shard by a changed copy, so that earlier readers keep what they
// read.
func (sim *simulation) write(del Delta) {
	next := &Shard{}
	next.apply(Delta{sim.shard.forgottenMs, sim.shard.bodilessMs, sim.shard.claims})
	next.apply(del)
	sim.shard = next
	sim.seq++
}

// repeatOn runs the same call on another host.
func (sim *simulation) repeatOn(host string) {
	cal := sim.newCall(host)
	sim.otherCalls = append(sim.otherCalls, cal)
	cal.run()
}

func (cal *simCall) expire() {
	cal.expired = true
	sta, act := cal.state.Next(claimer.Expired{})
	cal.state = sta
	switch act := act.(type) {
	case claimer.Release:
		cal.settle(messenger.ClaimCommit_STEP_RELEASE, "release")
		cal.recordAnswer(act.Fail)
	case claimer.Fail:
		cal.recordAnswer(act)
	}
}

// recordAnswer records the caller's answer. It marks an answer as false that reports that
// the call did not run if the service has run it.
func (cal *simCall) recordAnswer(act claimer.Action) {
	if cal.answer != "" {
		return
	}
	switch act := act.(type) {
	case claimer.Record:
		cal.answer = "Ran"
	case claimer.Replay:
		cal.answer = "Replayed"
	case claimer.Fail:
		cal.answer = act.Code + "/" + string(act.Ran)
		if act.Ran == invoker.NotRun && cal.sim.runs > 0 {
			cal.answer += "/FALSE"
		}
	}
}

// runUntilDeath runs fn until it returns or the host dies in it.
func (cal *simCall) runUntilDeath(fn func()) {
	defer func() {
		recovered := recover()
		if recovered == nil {
			return
		}
		if death, ok := recovered.(hostDied); !ok || death.host != cal.host {
			panic(recovered)
		}
		cal.dead = true
		if cal.answer == "" {
			cal.answer = "cut"
		}
	}()
	fn()
}

func (cal *simCall) run() { cal.runUntilDeath(cal.runSteps) }

// runSteps runs the call until its caller has an answer.
func (cal *simCall) runSteps() {
	res := cal.commit(messenger.ClaimCommit_STEP_CLAIM, "write")
	// The time left suffices for one Await.
	var eve claimer.Event = claimer.Claimed{State: res.GetState(), Outcome: res.GetOutcome(), Message: res.GetMessage(), Left: time.Second}
	for {
		sta, act := cal.state.Next(eve)
		cal.state = sta
		switch act := act.(type) {
		case claimer.Await:
			res = cal.commit(messenger.ClaimCommit_STEP_CLAIM, "write")
			eve = claimer.Claimed{State: res.GetState(), Outcome: res.GetOutcome(), Message: res.GetMessage()}
		case claimer.Place:
			eve = cal.place()
		case claimer.Dispatch:
			eve = cal.dispatch()
		case claimer.Record:
			cal.settle(messenger.ClaimCommit_STEP_FINISH, "finish")
			cal.recordAnswer(act)
			return
		case claimer.Release:
			cal.settle(messenger.ClaimCommit_STEP_RELEASE, "release")
			cal.recordAnswer(act.Fail)
			return
		default:
			cal.recordAnswer(act)
			return
		}
	}
}

func (cal *simCall) place() claimer.Event {
	fault := cal.nextFault("place")
	cal.beforeEffect(fault)
	cal.afterEffect(fault)
	if fault == "down" {
		return claimer.Refused{Message: "none"}
	}
	return claimer.Placed{}
}

func (cal *simCall) dispatch() claimer.Event {
	fault := cal.nextFault("dispatch")
	cal.beforeEffect(fault)
	if fault == "down" || cal.sim.serviceDown && !cal.sim.faultsEnded {
		cal.afterEffect(fault)
		return claimer.Failed{Endpoint: "service-0", Ran: invoker.NotRun}
	}
	if fault == "late" {
		cal.sim.delayed = append(cal.sim.delayed, func() { cal.runService() })
		return claimer.Failed{Endpoint: "service-0", Ran: invoker.Unknown}
	}
	cal.runService()
	cal.afterEffect(fault)
	if fault == "lost" {
		return claimer.Failed{Endpoint: "service-0", Ran: invoker.Unknown}
	}
	return claimer.Replied{Reply: invoker.ServiceReply{Status: 200}}
}

// runService carries out the call on the service.
func (cal *simCall) runService() {
	cal.sim.runs++
	cal.ran = true
}

// settle commits a change now and, if that fails, again when the faults are ended.
func (cal *simCall) settle(claimStep messenger.ClaimCommit_Step, faultStep string) {
	try := func() bool {
		sta := cal.commit(claimStep, faultStep).GetState()
		return sta != messenger.ClaimResult_STATE_UNKNOWN && sta != messenger.ClaimResult_STATE_NOT_COMMITTED
	}
	if try() {
		return
	}
	cal.sim.retries = append(cal.sim.retries, func() bool {
		done := false
		cal.runUntilDeath(func() { done = cal.dead || try() })
		return done || cal.dead
	})
}

func (cal *simCall) commit(claimStep messenger.ClaimCommit_Step, faultStep string) *messenger.ClaimResult {
	com := &messenger.ClaimCommit{Step: claimStep, Key: "key", BodyDigest: []byte("x"), Host: cal.host, Nonce: cal.host, KeyTimeMs: epoch.UnixMilli()}
	if claimStep == messenger.ClaimCommit_STEP_FINISH {
		com.Outcome = &messenger.Outcome{Status: 200}
	}
	if !cal.sim.forwards || cal.host != "first" {
		return cal.write(com, faultStep, cal)
	}
	if res := cal.forward(com, faultStep); res != nil {
		return res
	}
	res := cal.write(com, faultStep, cal)
	if res.GetState() == messenger.ClaimResult_STATE_NOT_COMMITTED {
		// The forwarded change may still take effect.
		return unknownResult(res.GetMessage())
	}
	return res
}

// forward lets another host write the change. It returns nil if no answer arrives.
func (cal *simCall) forward(com *messenger.ClaimCommit, faultStep string) *messenger.ClaimResult {
	wri := &simCall{sim: cal.sim, host: "writer", faults: cal.faults}
	fault := cal.nextFault("forward")
	cal.beforeEffect(fault)
	switch fault {
	case "down":
		return nil
	case "late":
		cal.sim.delayed = append(cal.sim.delayed, func() { wri.write(com, faultStep, wri) })
		return nil
	}
	res := wri.serve(com, faultStep)
	cal.afterEffect(fault)
	if fault == "lost" || res.GetState() == messenger.ClaimResult_STATE_UNKNOWN || res.GetState() == messenger.ClaimResult_STATE_NOT_COMMITTED {
		return nil
	}
	return res
}

// serve writes a forwarded change and returns even if the writer dies.
func (cal *simCall) serve(com *messenger.ClaimCommit, faultStep string) *messenger.ClaimResult {
	res := unknownResult("the writer died")
	cal.runUntilDeath(func() { res = cal.write(com, faultStep, cal) })
	return res
}

// write runs a batch of one change against the store. target is the receiver in all
// calls. The repeat starts with an outdated cached copy of the shard.
func (cal *simCall) write(com *messenger.ClaimCommit, faultStep string, target *simCall) *messenger.ClaimResult {
	bat := NewBatch([]*messenger.ClaimCommit{com}, &Shard{}, 0, target.host == "repeat")
	var eve Event = Started{}
	target.expired = target.expired && com.GetStep() == messenger.ClaimCommit_STEP_CLAIM
	for try := 0; ; try++ {
		next, act := bat.Next(eve, epoch)
		bat = next
		ans, ok := act.(Answer)
		switch {
		case ok:
			return ans.Results[0]
		case try > 8 || target.expired && try > 0:
			eve = Expired{}
		default:
			eve = target.execute(act, faultStep)
		}
	}
}

func (cal *simCall) execute(act Action, faultStep string) Event {
	sim := cal.sim
	if _, ok := act.(Load); ok {
		fault := cal.nextFault("read")
		cal.beforeEffect(fault)
		shard, seq := sim.shard, sim.seq
		cal.afterEffect(fault)
		if fault == "down" || fault == "lost" || fault == "late" || fault == "slow" {
			return LoadFailed{fault}
		}
		return Loaded{shard, seq}
	}
	sto, _ := act.(Store)
	fault := cal.nextFault(faultStep)
	cal.beforeEffect(fault)
	put := func() bool {
		if sto.Seq != sim.seq {
			return false
		}
		sim.write(sto.Delta)
		return true
	}
	switch fault {
	case "down":
		return Refused{fault}
	case "late":
		sim.delayed = append(sim.delayed, func() { put() })
		return WriteUnknown{fault}
	}
	ok := put()
	cal.afterEffect(fault)
	switch {
	case fault == "lost" || fault == "slow":
		return WriteUnknown{fault}
	case !ok:
		return Conflicted{}
	default:
		return Stored{sim.seq}
	}
}

// endFaults ends the outage, carries out delayed effects and retries changes that failed.
func (sim *simulation) endFaults() {
	sim.faultsEnded = true
	for _, fn := range sim.delayed {
		fn()
	}
	for _, fn := range sim.retries {
		for range 3 {
			if fn() {
				break
			}
		}
	}
}

// simulate runs the first call with its faults, a repeat on a second host and, after the
// faults have ended, a repeat on a third host.
func simulate(faults ...*injectedFault) string {
	sim := &simulation{shard: &Shard{}, outage: map[string]bool{}}
	for _, fault := range faults {
		// A claim is released only if the service could not run the call.
		sim.serviceDown = sim.serviceDown || fault.step == "release"
		sim.forwards = sim.forwards || fault.step == "forward"
	}
	first := sim.newCall("first", faults...)
	first.run()
	repeat := sim.newCall("repeat")
	repeat.run()
	sim.endFaults()
	later := sim.newCall("later")
	later.run()
	for _, cal := range append(sim.otherCalls, first, repeat, later) {
		if cal.ran && strings.Contains(cal.answer, string(invoker.NotRun)) {
			cal.answer += "/FALSE"
		}
	}
	out := fmt.Sprintf("first=%s repeat=%s later=%s", first.answer, repeat.answer, later.answer)
	for _, cal := range sim.otherCalls {
		out += fmt.Sprintf(" %s=%s", cal.host, cal.answer)
	}
	return out + fmt.Sprintf(" runs=%d", sim.runs)
}
