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

// The steps of a call at which a fault can strike, and the faults.
var (
	steps  = []string{"forward", "read", "write", "place", "dispatch", "finish", "release"}
	faults = []string{"down", "outage", "lost", "late", "slow", "conflict", "foreign", "die-before", "die-after", "pause-answer", "pause-run"}
)

// notApplicable says why a fault can't strike a step, or is empty.
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

// strike is one fault at one step. It strikes the first time that its call
// comes to the step; an outage lasts until the world is healed.
type strike struct {
	step, fault string
	done        bool
}

// died unwinds the work of a host that dies.
type died struct{ host string }

// world joins the deciding code of hosts with one store and one service, all in
// memory and one step at a time.
type world struct {
	value   *Shard
	version uint64
	stales  int
	// late holds what takes effect when the world heals.
	late     []func()
	settling []func() bool
	runs     int
	endless  bool
	forwards bool
	healed   bool
	outage   map[string]bool
	nested   []*simCall
}

// simCall is one call of the key on one host.
type simCall struct {
	wor     *world
	host    string
	strikes []*strike
	state   claimer.State
	expired bool
	dead    bool
	answer  string
	ran     bool
}

func (wor *world) newCall(host string, strikes ...*strike) *simCall {
	return &simCall{wor: wor, host: host, strikes: strikes, state: claimer.State{KeyFromCaller: true}}
}

// system names what a step depends on, and what an outage at it takes away.
func system(step string) string {
	switch step {
	case "read", "write", "finish", "release":
		return "store"
	default:
		return step
	}
}

// fault returns the fault that strikes a step of a call now.
func (cal *simCall) fault(step string) string {
	if cal.wor.outage[system(step)] && !cal.wor.healed {
		return "down"
	}
	for _, str := range cal.strikes {
		if str.step == step && !str.done {
			str.done = true
			if str.fault == "outage" {
				cal.wor.outage[system(step)] = true
				return "down"
			}
			return str.fault
		}
	}
	return ""
}

// before carries out the part of a fault that comes before the effect of a step.
func (cal *simCall) before(fault string) {
	switch fault {
	case "conflict":
		cal.wor.touch()
	case "foreign":
		cal.wor.repeat("foreign")
	case "die-before":
		panic(died{cal.host})
	case "pause-answer":
		cal.wor.repeat("meanwhile")
		cal.expire()
	case "pause-run":
		cal.wor.repeat("meanwhile")
		cal.expired = true
	}
}

func (cal *simCall) after(fault string) {
	switch fault {
	case "die-after":
		panic(died{cal.host})
	case "slow":
		cal.expire()
	}
}

// touch changes another key of the shard, as a second writer would.
func (wor *world) touch() {
	wor.stales++
	com := &messenger.ClaimCommit{Key: "other" + strconv.Itoa(wor.stales), Nonce: "other", KeyTimeMs: epoch.UnixMilli()}
	del, _, _ := wor.value.Apply([]*messenger.ClaimCommit{com}, epoch)
	wor.put(del)
}

// put writes a change. Who has read the shard keeps what was read.
func (wor *world) put(del Delta) {
	nex := &Shard{}
	nex.take(Delta{wor.value.forgottenMs, wor.value.bodilessMs, wor.value.claims})
	nex.take(del)
	wor.value = nex
	wor.version++
}

// repeat runs the same call on another host.
func (wor *world) repeat(host string) {
	cal := wor.newCall(host)
	wor.nested = append(wor.nested, cal)
	cal.run()
}

func (cal *simCall) expire() {
	cal.expired = true
	sta, act := cal.state.Next(claimer.Expired{})
	cal.state = sta
	switch act := act.(type) {
	case claimer.Release:
		cal.settle(messenger.ClaimCommit_STEP_RELEASE, "release")
		cal.tell(act.Fail)
	case claimer.Fail:
		cal.tell(act)
	}
}

// tell notes what the caller is told, with the runs of the service so far.
func (cal *simCall) tell(act claimer.Action) {
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
		if act.Ran == invoker.NotRun && cal.wor.runs > 0 {
			cal.answer += "/FALSE"
		}
	}
}

// guard runs fun until it ends or the host dies in it.
func (cal *simCall) guard(fun func()) {
	defer func() {
		rec := recover()
		if rec == nil {
			return
		}
		if die, ok := rec.(died); !ok || die.host != cal.host {
			panic(rec)
		}
		cal.dead = true
		if cal.answer == "" {
			cal.answer = "cut"
		}
	}()
	fun()
}

func (cal *simCall) run() { cal.guard(cal.decide) }

func (cal *simCall) decide() {
	res := cal.commit(messenger.ClaimCommit_STEP_CLAIM, "write")
	// There is time for one pause.
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
			cal.tell(act)
			return
		case claimer.Release:
			cal.settle(messenger.ClaimCommit_STEP_RELEASE, "release")
			cal.tell(act.Fail)
			return
		default:
			cal.tell(act)
			return
		}
	}
}

func (cal *simCall) place() claimer.Event {
	fau := cal.fault("place")
	cal.before(fau)
	cal.after(fau)
	if fau == "down" {
		return claimer.Refused{Message: "none"}
	}
	return claimer.Placed{}
}

func (cal *simCall) dispatch() claimer.Event {
	fau := cal.fault("dispatch")
	cal.before(fau)
	if fau == "down" || cal.wor.endless && !cal.wor.healed {
		cal.after(fau)
		return claimer.Failed{Endpoint: "service-0", Ran: invoker.NotRun}
	}
	if fau == "late" {
		cal.wor.late = append(cal.wor.late, func() { cal.effect() })
		return claimer.Failed{Endpoint: "service-0", Ran: invoker.Unknown}
	}
	cal.effect()
	cal.after(fau)
	if fau == "lost" {
		return claimer.Failed{Endpoint: "service-0", Ran: invoker.Unknown}
	}
	return claimer.Replied{Reply: invoker.ServiceReply{Status: 200}}
}

// effect is the service carrying out the call.
func (cal *simCall) effect() {
	cal.wor.runs++
	cal.ran = true
}

// settle commits a change now and, if that fails, again when the world heals.
func (cal *simCall) settle(ste messenger.ClaimCommit_Step, step string) {
	try := func() bool {
		sta := cal.commit(ste, step).GetState()
		return sta != messenger.ClaimResult_STATE_UNKNOWN && sta != messenger.ClaimResult_STATE_NOT_COMMITTED
	}
	if try() {
		return
	}
	cal.wor.settling = append(cal.wor.settling, func() bool {
		don := false
		cal.guard(func() { don = cal.dead || try() })
		return don || cal.dead
	})
}

func (cal *simCall) commit(ste messenger.ClaimCommit_Step, step string) *messenger.ClaimResult {
	com := &messenger.ClaimCommit{Step: ste, Key: "key", BodyDigest: []byte("x"), Host: cal.host, Nonce: cal.host, KeyTimeMs: epoch.UnixMilli()}
	if ste == messenger.ClaimCommit_STEP_FINISH {
		com.Outcome = &messenger.Outcome{Status: 200}
	}
	if !cal.wor.forwards || cal.host != "first" {
		return cal.write(com, step, cal)
	}
	if res := cal.forward(com, step); res != nil {
		return res
	}
	res := cal.write(com, step, cal)
	if res.GetState() == messenger.ClaimResult_STATE_NOT_COMMITTED {
		// The forward may still take effect.
		return unknown(res.GetMessage())
	}
	return res
}

// forward has another host write the change. It returns nil if no answer came.
func (cal *simCall) forward(com *messenger.ClaimCommit, step string) *messenger.ClaimResult {
	wri := &simCall{wor: cal.wor, host: "writer", strikes: cal.strikes}
	fau := cal.fault("forward")
	cal.before(fau)
	switch fau {
	case "down":
		return nil
	case "late":
		cal.wor.late = append(cal.wor.late, func() { wri.write(com, step, wri) })
		return nil
	}
	res := wri.serve(com, step)
	cal.after(fau)
	if fau == "lost" || res.GetState() == messenger.ClaimResult_STATE_UNKNOWN || res.GetState() == messenger.ClaimResult_STATE_NOT_COMMITTED {
		return nil
	}
	return res
}

// serve writes a forwarded change and survives the death of the writer.
func (cal *simCall) serve(com *messenger.ClaimCommit, step string) *messenger.ClaimResult {
	res := unknown("the writer died")
	cal.guard(func() { res = cal.write(com, step, cal) })
	return res
}

// write drives a batch of one change against the store.
func (cal *simCall) write(com *messenger.ClaimCommit, step string, at *simCall) *messenger.ClaimResult {
	bat := NewBatch([]*messenger.ClaimCommit{com}, &Shard{}, 0, at.host == "repeat")
	var eve Event = Begun{}
	at.expired = at.expired && com.GetStep() == messenger.ClaimCommit_STEP_CLAIM
	for try := 0; ; try++ {
		nex, act := bat.Next(eve, epoch)
		bat = nex
		ans, ok := act.(Answer)
		switch {
		case ok:
			return ans.Results[0]
		case try > 8 || at.expired && try > 0:
			eve = Expired{}
		default:
			eve = at.carryOut(act, step)
		}
	}
}

func (cal *simCall) carryOut(act Action, step string) Event {
	wor := cal.wor
	if _, ok := act.(Load); ok {
		fau := cal.fault("read")
		cal.before(fau)
		val, ver := wor.value, wor.version
		cal.after(fau)
		if fau == "down" || fau == "lost" || fau == "late" || fau == "slow" {
			return LoadFailed{fau}
		}
		return Loaded{val, ver}
	}
	sto, _ := act.(Store)
	fau := cal.fault(step)
	cal.before(fau)
	put := func() bool {
		if sto.Version != wor.version {
			return false
		}
		wor.put(sto.Delta)
		return true
	}
	switch fau {
	case "down":
		return Refused{fau}
	case "late":
		wor.late = append(wor.late, func() { put() })
		return Lost{fau}
	}
	ok := put()
	cal.after(fau)
	switch {
	case fau == "lost" || fau == "slow":
		return Lost{fau}
	case !ok:
		return Conflicted{}
	default:
		return Stored{wor.version}
	}
}

// heal ends the outage, lets late effects land and settles what is left.
func (wor *world) heal() {
	wor.healed = true
	for _, fun := range wor.late {
		fun()
	}
	for _, fun := range wor.settling {
		for range 3 {
			if fun() {
				break
			}
		}
	}
}

// play runs the first call under its strikes, a repeat on a second host, and
// after the world has healed a repeat on a third.
func play(strikes ...*strike) string {
	wor := &world{value: &Shard{}, outage: map[string]bool{}}
	for _, str := range strikes {
		wor.endless = wor.endless || str.step == "release"
		wor.forwards = wor.forwards || str.step == "forward"
	}
	fir := wor.newCall("first", strikes...)
	fir.run()
	rep := wor.newCall("repeat")
	rep.run()
	wor.heal()
	lat := wor.newCall("later")
	lat.run()
	for _, cal := range append(wor.nested, fir, rep, lat) {
		if cal.ran && strings.Contains(cal.answer, string(invoker.NotRun)) {
			cal.answer += "/FALSE"
		}
	}
	out := fmt.Sprintf("first=%s repeat=%s later=%s", fir.answer, rep.answer, lat.answer)
	for _, cal := range wor.nested {
		out += fmt.Sprintf(" %s=%s", cal.host, cal.answer)
	}
	return out + fmt.Sprintf(" runs=%d", wor.runs)
}
