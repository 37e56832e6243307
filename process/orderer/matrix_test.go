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
	engines = []string{"checks-fence", "checks-generation", "checks-nothing"}
	steps   = []string{"lease-read", "lease-write", "weigh", "config", "send", "release"}
	faults  = []string{"down", "lost", "late", "slow", "die-before", "die-after", "late-die", "later-die", "hold", "stall", "pause"}
)

const (
	attemptTimeout = 30 * time.Second
	// maxTransit is the longest time for which an order may be in transit such that a host
	// that takes over the lease still waits for its arrival.
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

// delay delays an effect if the fault says so and reports whether it did.
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

// nextFault returns the fault injected into a step and simulates what precedes its effect.
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
			att.sim.watchSecond()
			att.sim.advance(leaser.Term - OrderTimeout - time.Millisecond)
		case "stall":
			att.sim.watchSecond()
			att.sim.advance(leaser.Term + leaser.Margin - OrderTimeout/2)
		}
		return inj.fault
	}
	return ""
}

func (att *attempt) after(fault string) {
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

// watchSecond makes the second host read the lease, so that its wait begins.
func (sim *simulation) watchSecond() {
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
		att.after(fault)
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
		att.after(fault)
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
	att.after(fault)
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
		case leaser.Hold:
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
	att.after(fault)
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
	att.after(fault)
	switch {
	case unanswered(fault):
		return leaser.WriteUnknown{}
	case !ok:
		return leaser.Conflicted{}
	default:
		return leaser.Stored{Version: att.sim.version}
	}
}

// simulate issues an order under faults, and another one from a second host during a pause
// of the first host or after it.
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

func faultCells() []string {
	var out []string
	for _, step := range steps {
		for _, fault := range faults {
			out = append(out, step+"/"+fault)
		}
	}
	return out
}

func newFault(cell string) *injectedFault {
	step, fault, _ := strings.Cut(cell, "/")
	return &injectedFault{step: step, fault: fault}
}

// TestMatrix issues an order under every injected fault at every step, and under every two
// of them, to each kind of engine.
func TestMatrix(t *testing.T) {
	datadriven.RunTest(t, "testdata/matrix", func(t *testing.T, td *datadriven.TestData) string {
		ends := map[string][]string{}
		for _, eng := range engines {
			for _, other := range append([]string{"alone"}, faultCells()...) {
				end := simulate(eng, newFault(td.Cmd), newFault(other))
				require.NotContains(t, end, "FALSE", "%s: %s and %s", eng, td.Cmd, other)
				if eng != "checks-nothing" {
					require.NotContains(t, end, "old-after-new", "%s: %s and %s", eng, td.Cmd, other)
				}
				key := eng + ": " + end
				ends[key] = append(ends[key], other)
			}
		}
		var lines []string
		for end, others := range ends {
			lines = append(lines, end+"\n  "+strings.Join(others, " ")+"\n")
		}
		slices.Sort(lines)
		return strings.Join(lines, "")
	})
}

// TestMatrixIsComplete checks that the data file contains every pair of faults.
func TestMatrixIsComplete(t *testing.T) {
	text, err := os.ReadFile("testdata/matrix")
	require.NoError(t, err)
	var cells []string
	for _, block := range strings.Split(string(text), "\n\n") {
		line, out, ok := strings.Cut(strings.TrimLeft(block, "\n"), "\n----\n")
		require.True(t, ok, block)
		cells = append(cells, line)
		for _, eng := range engines {
			var others []string
			var engine string
			for line := range strings.Lines(out) {
				if !strings.HasPrefix(line, "  ") {
					engine, _, _ = strings.Cut(line, ":")
				} else if engine == eng {
					others = append(others, strings.Fields(line)...)
				}
			}
			require.ElementsMatch(t, append([]string{"alone"}, faultCells()...), others, "%s %s", line, eng)
		}
	}
	require.Equal(t, faultCells(), cells)
}
