package orderer

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"hemlockpin/connection/invoker"
	"hemlockpin/process/leaser"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
)

var (
	engineKinds = []string{"checks-fence", "checks-generation", "checks-nothing"}
	// steps are the steps of an attempt; weigh is the request to the weight store.
	steps = []string{"lease-read", "lease-write", "weigh", "config", "send", "release"}
	// faults are the faults that are injected into steps:
	//   - down: the other side cannot be reached.
	//   - lost: the answer is lost.
	//   - late: the effect is delayed by maxTransit, and there is no answer.
	//   - slow: the answer arrives after the time limit.
	//   - die-before, die-after: the host ends before or after the step.
	//   - late-die: the host ends, and the effect is delayed by maxTransit.
	//   - later-die: the host ends, and the effect follows the second host's next read of
	//     the engine's configuration.
	//   - hold: the host pauses until the last moment at which it may send an order.
	//   - stall: the host pauses until after the end of its lease.
	//   - pause: the second host issues its order before the step.
	faults = []string{"down", "lost", "late", "slow", "die-before", "die-after", "late-die", "later-die", "hold", "stall", "pause"}
)

const (
	attemptTimeout = 30 * time.Second
	// maxTransit is the longest delay of an order that still arrives before the next holder
	// of the lease may send its first order.
	maxTransit = OrderTimeout + leaser.Margin - time.Millisecond
)

type injectedFault struct {
	step, fault string
	done        bool
}

type hostDied struct{}

// simulation simulates a store with one lease and one engine, on a clock that only
// advances when a host waits.
type simulation struct {
	engine    string
	now       time.Time
	lease     leaser.Lease
	version   uint64
	config    invoker.EngineConfig
	fences    []uint64
	delayed   []delayedEffect
	second    *attempt
	secondRan bool
}

// delayedEffect is an effect that is applied at a time or, if the time is zero, after the
// second host's next read of the engine's configuration.
type delayedEffect struct {
	at    time.Time
	apply func()
}

// advance advances the clock and applies the effects that are due.
func (sim *simulation) advance(dur time.Duration) {
	sim.now = sim.now.Add(dur)
	sim.applyDelayed(func(del delayedEffect) bool { return !del.at.IsZero() && !del.at.After(sim.now) })
}

func (sim *simulation) applyDelayed(due func(delayedEffect) bool) {
	pending := sim.delayed
	sim.delayed = nil
	for _, del := range pending {
		if due(del) {
			del.apply()
		} else {
			sim.delayed = append(sim.delayed, del)
		}
	}
}

// delay applies an effect later if the fault is late, late-die or later-die, and reports
// whether it does so. The last two faults also end the host, by a panic.
func (att *attempt) delay(fault string, apply func()) bool {
	switch fault {
	case "late", "late-die":
		att.sim.delayed = append(att.sim.delayed, delayedEffect{att.sim.now.Add(maxTransit), apply})
	case "later-die":
		att.sim.delayed = append(att.sim.delayed, delayedEffect{time.Time{}, apply})
	default:
		return false
	}
	if fault != "late" {
		panic(hostDied{})
	}
	return true
}

// attempt is one host's attempt to issue one order.
type attempt struct {
	sim      *simulation
	id       string
	faults   []*injectedFault
	lease    leaser.State
	deadline time.Time
	end      End
}

func (sim *simulation) newAttempt(id string, injected ...*injectedFault) *attempt {
	return &attempt{sim: sim, id: id, faults: injected, lease: leaser.State{Host: id, Nonce: id}, deadline: sim.now.Add(attemptTimeout)}
}

// nextFault returns the fault injected into a step and simulates the part of the fault
// before the step.
func (att *attempt) nextFault(step string) string {
	for _, inj := range att.faults {
		if inj.step != step || inj.done {
			continue
		}
		inj.done = true
		switch inj.fault {
		case "die-before":
			panic(hostDied{})
		case "pause":
			att.sim.runSecond()
		case "hold":
			// The host continues at the last moment at which it may send an order.
			att.sim.startSecondWait()
			att.sim.advance(leaser.Term - OrderTimeout - time.Millisecond)
		case "stall":
			// The host continues after its own lease has ended, shortly before the second
			// host's wait ends.
			att.sim.startSecondWait()
			att.sim.advance(leaser.Term + leaser.Margin - OrderTimeout/2)
		}
		return inj.fault
	}
	return ""
}

// applyAfterStep simulates the part of a fault after the step.
func (att *attempt) applyAfterStep(fault string) {
	switch fault {
	case "die-after":
		panic(hostDied{})
	case "slow":
		att.sim.advance(OrderTimeout)
	}
}

// unanswered reports whether the caller of a step gets no answer.
func unanswered(fault string) bool { return fault == "lost" || fault == "late" || fault == "slow" }

// runSecond makes the second host issue its order, unless it already has.
func (sim *simulation) runSecond() {
	if sim.second == nil {
		sim.second = sim.newAttempt("second")
	}
	if !sim.secondRan {
		sim.secondRan = true
		sim.second.run()
	}
}

// startSecondWait makes the second host read the lease, so that its wait begins.
func (sim *simulation) startSecondWait() {
	if sim.second == nil {
		sim.second = sim.newAttempt("second")
		sim.second.leaseNext(leaser.Loaded{Lease: sim.lease, Version: sim.version})
	}
}

func (att *attempt) run() {
	defer func() {
		if recovered := recover(); recovered != nil {
			if _, ok := recovered.(hostDied); !ok {
				panic(recovered)
			}
			att.end = End{Effect: Unknown, Code: "died"}
		}
	}()
	sta := State{Order: invoker.Order{ID: att.id, Kind: invoker.LoadVersion, Model: "m", Version: att.id}}
	var eve Event = Started{}
	for {
		next, act := sta.Next(eve, att.sim.now)
		sta = next
		if end, ok := act.(End); ok {
			att.end = end
			break
		}
		eve = att.perform(act)
	}
	if sto, ok := att.leaseNext(leaser.ReleaseRequested{}).(leaser.Store); ok {
		att.store(sto, "release")
	}
}

func (att *attempt) perform(act Action) Event {
	if att.sim.now.After(att.deadline) {
		return Expired{}
	}
	switch act := act.(type) {
	case Lease:
		return att.acquire()
	case RequestWeights:
		fault := att.nextFault("weigh")
		att.delay(fault, func() {})
		att.sim.advance(act.Pause)
		att.applyAfterStep(fault)
		if fault == "down" || unanswered(fault) {
			return Unavailable{fault}
		}
		return WeightsGranted{}
	case ReadConfig:
		fault := att.nextFault("config")
		att.delay(fault, func() {})
		att.sim.advance(act.Pause)
		cfg := att.sim.config
		if att == att.sim.second {
			att.sim.applyDelayed(func(del delayedEffect) bool { return del.at.IsZero() })
		}
		att.applyAfterStep(fault)
		if fault == "down" || unanswered(fault) {
			return Unavailable{fault}
		}
		return ConfigRead{cfg}
	case Send:
		return att.send(act.Order)
	}
	return Expired{}
}

func (att *attempt) send(ord invoker.Order) Event {
	fault := att.nextFault("send")
	if fault == "down" {
		return Unavailable{fault}
	}
	if att.delay(fault, func() { att.sim.applyOrder(ord) }) {
		return NoAnswer{fault}
	}
	code := att.sim.applyOrder(ord)
	att.applyAfterStep(fault)
	switch {
	case unanswered(fault):
		return NoAnswer{fault}
	case code != "":
		return Refused{Code: code}
	default:
		return CarriedOut{}
	}
}

// applyOrder applies an order to the engine; it returns the code of a refusal, or "".
func (sim *simulation) applyOrder(ord invoker.Order) string {
	cfg := &sim.config
	switch {
	case slices.Contains(cfg.Orders, ord.ID):
		return ""
	case sim.engine == "checks-fence" && ord.Fence < cfg.Fence:
		return invoker.CodeStaleFence
	case sim.engine == "checks-generation" && ord.ExpectedGeneration != cfg.Generation:
		return invoker.CodeWrongGeneration
	}
	cfg.Fence = max(cfg.Fence, ord.Fence)
	cfg.Generation++
	cfg.Orders = append(slices.Clone(cfg.Orders), ord.ID)
	sim.fences = append(sim.fences, ord.Fence)
	return ""
}

func (att *attempt) leaseNext(eve leaser.Event) leaser.Action {
	sta, act := att.lease.Next(eve, att.sim.now)
	att.lease = sta
	return act
}

func (att *attempt) acquire() Event {
	var eve leaser.Event = leaser.AcquireRequested{}
	for {
		if att.sim.now.After(att.deadline) {
			return Expired{}
		}
		switch act := att.leaseNext(eve).(type) {
		case leaser.Held:
			return Leased(act)
		case leaser.Load:
			att.sim.advance(max(0, act.At.Sub(att.sim.now)))
			eve = att.load()
		case leaser.Store:
			eve = att.store(act, "lease-write")
		}
	}
}

func (att *attempt) load() leaser.Event {
	fault := att.nextFault("lease-read")
	att.delay(fault, func() {})
	loa := leaser.Loaded{Lease: att.sim.lease, Version: att.sim.version}
	att.applyAfterStep(fault)
	if fault == "down" || unanswered(fault) {
		return leaser.LoadFailed{Message: fault}
	}
	return loa
}

func (att *attempt) store(sto leaser.Store, step string) leaser.Event {
	fault := att.nextFault(step)
	put := func() bool {
		if sto.Version != att.sim.version {
			return false
		}
		att.sim.lease = sto.Lease
		att.sim.version++
		return true
	}
	if fault == "down" {
		return leaser.Conflicted{}
	}
	if att.delay(fault, func() { put() }) {
		return leaser.WriteUnknown{}
	}
	ok := put()
	att.applyAfterStep(fault)
	switch {
	case unanswered(fault):
		return leaser.WriteUnknown{}
	case !ok:
		return leaser.Conflicted{}
	default:
		return leaser.Stored{Version: att.sim.version}
	}
}

// simulate issues an order under faults, and another order from a second host during a pause
// of the first host or after the first host's attempt.
func simulate(engine string, injected ...*injectedFault) string {
	sim := &simulation{engine: engine, now: time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC), config: invoker.EngineConfig{Generation: 1}}
	first := sim.newAttempt("first", injected...)
	first.run()
	sim.runSecond()
	sim.applyDelayed(func(delayedEffect) bool { return true })
	out := ""
	for _, att := range []*attempt{first, sim.second} {
		applied := slices.Contains(sim.config.Orders, att.id)
		out += fmt.Sprintf("%s=%s ", att.id, att.end.Effect)
		if att.end.Effect == Applied && !applied || att.end.Effect == NotApplied && applied {
			out += "(FALSE) "
		}
	}
	out += "carried=" + strings.Join(sim.config.Orders, ",")
	if !slices.IsSorted(sim.fences) {
		out += " old-after-new"
	}
	return out
}

func faultNames() []string {
	var out []string
	for _, step := range steps {
		for _, fault := range faults {
			out = append(out, step+"/"+fault)
		}
	}
	return out
}

func newFault(name string) *injectedFault {
	step, fault, _ := strings.Cut(name, "/")
	return &injectedFault{step: step, fault: fault}
}

// TestFaultMatrix issues an order under every injected fault at every step, and under every
// two of these faults, to each kind of engine. The result must not contradict what the
// engine did, and an engine that checks fencing numbers or generations must not carry out
// an order of an earlier lease after an order of a later lease.
func TestFaultMatrix(t *testing.T) {
	datadriven.RunTest(t, "testdata/matrix", func(t *testing.T, td *datadriven.TestData) string {
		outcomes := map[string][]string{}
		for _, eng := range engineKinds {
			for _, other := range append([]string{"alone"}, faultNames()...) {
				outcome := simulate(eng, newFault(td.Cmd), newFault(other))
				require.NotContains(t, outcome, "FALSE", "%s: %s and %s", eng, td.Cmd, other)
				if eng != "checks-nothing" {
					require.NotContains(t, outcome, "old-after-new", "%s: %s and %s", eng, td.Cmd, other)
				}
				key := eng + ": " + outcome
				outcomes[key] = append(outcomes[key], other)
			}
		}
		var lines []string
		for outcome, others := range outcomes {
			lines = append(lines, outcome+"\n  "+strings.Join(others, " ")+"\n")
		}
		slices.Sort(lines)
		return strings.Join(lines, "")
	})
}

// TestFaultMatrixIsComplete checks that the data file contains every pair of faults.
func TestFaultMatrixIsComplete(t *testing.T) {
	text, err := os.ReadFile("testdata/matrix")
	require.NoError(t, err)
	var names []string
	for _, block := range strings.Split(string(text), "\n\n") {
		line, out, ok := strings.Cut(strings.TrimLeft(block, "\n"), "\n----\n")
		require.True(t, ok, block)
		names = append(names, line)
		for _, eng := range engineKinds {
			var others []string
			var engine string
			for line := range strings.Lines(out) {
				if !strings.HasPrefix(line, "  ") {
					engine, _, _ = strings.Cut(line, ":")
				} else if engine == eng {
					others = append(others, strings.Fields(line)...)
				}
			}
			require.ElementsMatch(t, append([]string{"alone"}, faultNames()...), others, "%s %s", line, eng)
		}
	}
	require.Equal(t, faultNames(), names)
}
