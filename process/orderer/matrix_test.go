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
	giveTime = 30 * time.Second
	// transit is the longest way of an order that a taker still waits out.
	transit = OrderTimeout + leaser.Margin - time.Millisecond
)

type strike struct {
	step, fault string
	done        bool
}

type died struct{}

// world is a store with one lease, and one engine, on a clock that only moves
// when someone waits.
type world struct {
	engine  string
	now     time.Time
	lease   leaser.Lease
	version uint64
	config  invoker.EngineConfig
	fences  []uint64
	late    []delayed
	second  *giving
	played  bool
}

// delayed is an effect that lands at a time, or after the next read of the
// engine's configuration by the second host if the time is zero.
type delayed struct {
	at  time.Time
	fun func()
}

// advance moves the clock and lets the effects land that are due.
func (wor *world) advance(dur time.Duration) {
	wor.now = wor.now.Add(dur)
	wor.land(func(del delayed) bool { return !del.at.IsZero() && !del.at.After(wor.now) })
}

func (wor *world) land(due func(delayed) bool) {
	lef := wor.late
	wor.late = nil
	for _, del := range lef {
		if due(del) {
			del.fun()
		} else {
			wor.late = append(wor.late, del)
		}
	}
}

// delay keeps an effect back as the fault says, and reports whether it did.
func (giv *giving) delay(fault string, fun func()) bool {
	switch fault {
	case "late", "late-die":
		giv.wor.late = append(giv.wor.late, delayed{giv.wor.now.Add(transit), fun})
	case "later-die":
		giv.wor.late = append(giv.wor.late, delayed{time.Time{}, fun})
	default:
		return false
	}
	if fault != "late" {
		panic(died{})
	}
	return true
}

// giving is one order that one host gives.
type giving struct {
	wor      *world
	id       string
	strikes  []*strike
	lease    leaser.State
	deadline time.Time
	end      End
}

func (wor *world) newGiving(id string, strikes ...*strike) *giving {
	return &giving{wor: wor, id: id, strikes: strikes, lease: leaser.State{Host: id, Nonce: id}, deadline: wor.now.Add(giveTime)}
}

// fault returns the fault of a step and carries out what comes before its effect.
func (giv *giving) fault(step string) string {
	for _, str := range giv.strikes {
		if str.step != step || str.done {
			continue
		}
		str.done = true
		switch str.fault {
		case "die-before":
			panic(died{})
		case "pause":
			giv.wor.runSecond()
		case "hold":
			// The host goes on at the last moment at which it may give an order.
			giv.wor.watchSecond()
			giv.wor.advance(leaser.Term - OrderTimeout - time.Millisecond)
		case "stall":
			giv.wor.watchSecond()
			giv.wor.advance(leaser.Term + leaser.Margin - OrderTimeout/2)
		}
		return str.fault
	}
	return ""
}

func (giv *giving) after(fault string) {
	switch fault {
	case "die-after":
		panic(died{})
	case "slow":
		giv.wor.advance(OrderTimeout)
	}
}

// unanswered says that the caller of a step gets no answer.
func unanswered(fault string) bool { return fault == "lost" || fault == "late" || fault == "slow" }

// runSecond has another host give an order.
func (wor *world) runSecond() {
	if wor.second == nil {
		wor.second = wor.newGiving("second")
	}
	if !wor.played {
		wor.played = true
		wor.second.run()
	}
}

// watchSecond has the other host look at the lease, so that its wait begins.
func (wor *world) watchSecond() {
	if wor.second == nil {
		wor.second = wor.newGiving("second")
		wor.second.leaseNext(leaser.Loaded{Lease: wor.lease, Version: wor.version})
	}
}

func (giv *giving) run() {
	defer func() {
		if rec := recover(); rec != nil {
			if _, ok := rec.(died); !ok {
				panic(rec)
			}
			giv.end = End{Effect: Unknown, Code: "died"}
		}
	}()
	sta := State{Order: invoker.Order{ID: giv.id, Kind: invoker.LoadVersion, Model: "m", Version: giv.id}}
	var eve Event = Started{}
	for {
		nex, act := sta.Next(eve, giv.wor.now)
		sta = nex
		if end, ok := act.(End); ok {
			giv.end = end
			break
		}
		eve = giv.carryOut(act)
	}
	if sto, ok := giv.leaseNext(leaser.Released{}).(leaser.Store); ok {
		giv.store(sto, "release")
	}
}

func (giv *giving) carryOut(act Action) Event {
	if giv.wor.now.After(giv.deadline) {
		return Expired{}
	}
	switch act := act.(type) {
	case Lease:
		return giv.acquire()
	case RequestWeights:
		fau := giv.fault("weigh")
		giv.delay(fau, func() {})
		giv.wor.advance(act.Pause)
		giv.after(fau)
		if fau == "down" || unanswered(fau) {
			return Unavailable{fau}
		}
		return WeightsGranted{}
	case ReadConfig:
		fau := giv.fault("config")
		giv.delay(fau, func() {})
		giv.wor.advance(act.Pause)
		cfg := giv.wor.config
		if giv == giv.wor.second {
			giv.wor.land(func(del delayed) bool { return del.at.IsZero() })
		}
		giv.after(fau)
		if fau == "down" || unanswered(fau) {
			return Unavailable{fau}
		}
		return ConfigRead{cfg}
	case Send:
		return giv.send(act.Order)
	}
	return Expired{}
}

func (giv *giving) send(ord invoker.Order) Event {
	fau := giv.fault("send")
	if fau == "down" {
		return Unavailable{fau}
	}
	if giv.delay(fau, func() { giv.wor.take(ord) }) {
		return NoAnswer{fau}
	}
	cod := giv.wor.take(ord)
	giv.after(fau)
	switch {
	case unanswered(fau):
		return NoAnswer{fau}
	case cod != "":
		return Refused{Code: cod}
	default:
		return CarriedOut{}
	}
}

// take is the engine taking an order.
func (wor *world) take(ord invoker.Order) string {
	cfg := &wor.config
	switch {
	case slices.Contains(cfg.Orders, ord.ID):
		return ""
	case wor.engine == "checks-fence" && ord.Fence < cfg.Fence:
		return invoker.CodeStaleFence
	case wor.engine == "checks-generation" && ord.ExpectedGeneration != cfg.Generation:
		return invoker.CodeWrongGeneration
	}
	cfg.Fence = max(cfg.Fence, ord.Fence)
	cfg.Generation++
	cfg.Orders = append(slices.Clone(cfg.Orders), ord.ID)
	wor.fences = append(wor.fences, ord.Fence)
	return ""
}

func (giv *giving) leaseNext(eve leaser.Event) leaser.Action {
	sta, act := giv.lease.Next(eve, giv.wor.now)
	giv.lease = sta
	return act
}

func (giv *giving) acquire() Event {
	var eve leaser.Event = leaser.Wanted{}
	for {
		if giv.wor.now.After(giv.deadline) {
			return Expired{}
		}
		switch act := giv.leaseNext(eve).(type) {
		case leaser.Hold:
			return Leased(act)
		case leaser.Load:
			giv.wor.advance(max(0, act.At.Sub(giv.wor.now)))
			eve = giv.load()
		case leaser.Store:
			eve = giv.store(act, "lease-write")
		}
	}
}

func (giv *giving) load() leaser.Event {
	fau := giv.fault("lease-read")
	giv.delay(fau, func() {})
	loa := leaser.Loaded{Lease: giv.wor.lease, Version: giv.wor.version}
	giv.after(fau)
	if fau == "down" || unanswered(fau) {
		return leaser.LoadFailed{Message: fau}
	}
	return loa
}

func (giv *giving) store(sto leaser.Store, step string) leaser.Event {
	fau := giv.fault(step)
	put := func() bool {
		if sto.Version != giv.wor.version {
			return false
		}
		giv.wor.lease = sto.Lease
		giv.wor.version++
		return true
	}
	if fau == "down" {
		return leaser.Conflicted{}
	}
	if giv.delay(fau, func() { put() }) {
		return leaser.Lost{}
	}
	ok := put()
	giv.after(fau)
	switch {
	case unanswered(fau):
		return leaser.Lost{}
	case !ok:
		return leaser.Conflicted{}
	default:
		return leaser.Stored{Version: giv.wor.version}
	}
}

// play gives an order under faults and another one by a second host, during a
// pause of the first or after it.
func play(engine string, strikes ...*strike) string {
	wor := &world{engine: engine, now: time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC), config: invoker.EngineConfig{Generation: 1}}
	fir := wor.newGiving("first", strikes...)
	fir.run()
	wor.runSecond()
	wor.land(func(delayed) bool { return true })
	out := ""
	for _, giv := range []*giving{fir, wor.second} {
		app := slices.Contains(wor.config.Orders, giv.id)
		out += fmt.Sprintf("%s=%s ", giv.id, giv.end.Effect)
		if giv.end.Effect == Applied && !app || giv.end.Effect == NotApplied && app {
			out += "(FALSE) "
		}
	}
	out += "carried=" + strings.Join(wor.config.Orders, ",")
	if !slices.IsSorted(wor.fences) {
		out += " old-after-new"
	}
	return out
}

func cells() []string {
	var out []string
	for _, ste := range steps {
		for _, fau := range faults {
			out = append(out, ste+"/"+fau)
		}
	}
	return out
}

func newStrike(cell string) *strike {
	ste, fau, _ := strings.Cut(cell, "/")
	return &strike{step: ste, fault: fau}
}

// TestMatrix gives an order under every fault at every step, and under every
// two faults, to each kind of engine.
func TestMatrix(t *testing.T) {
	datadriven.RunTest(t, "testdata/matrix", func(t *testing.T, td *datadriven.TestData) string {
		ends := map[string][]string{}
		for _, eng := range engines {
			for _, two := range append([]string{"alone"}, cells()...) {
				end := play(eng, newStrike(td.Cmd), newStrike(two))
				require.NotContains(t, end, "FALSE", "%s: %s and %s", eng, td.Cmd, two)
				if eng != "checks-nothing" {
					require.NotContains(t, end, "old-after-new", "%s: %s and %s", eng, td.Cmd, two)
				}
				key := eng + ": " + end
				ends[key] = append(ends[key], two)
			}
		}
		var lins []string
		for end, twos := range ends {
			lins = append(lins, end+"\n  "+strings.Join(twos, " ")+"\n")
		}
		slices.Sort(lins)
		return strings.Join(lins, "")
	})
}

// TestMatrixWhole proves that no cell is missing from the data file.
func TestMatrixWhole(t *testing.T) {
	txt, err := os.ReadFile("testdata/matrix")
	require.NoError(t, err)
	var firs []string
	for _, blo := range strings.Split(string(txt), "\n\n") {
		lin, out, ok := strings.Cut(strings.TrimLeft(blo, "\n"), "\n----\n")
		require.True(t, ok, blo)
		firs = append(firs, lin)
		for _, eng := range engines {
			var twos []string
			var at string
			for lin := range strings.Lines(out) {
				if !strings.HasPrefix(lin, "  ") {
					at, _, _ = strings.Cut(lin, ":")
				} else if at == eng {
					twos = append(twos, strings.Fields(lin)...)
				}
			}
			require.ElementsMatch(t, append([]string{"alone"}, cells()...), twos, "%s %s", lin, eng)
		}
	}
	require.Equal(t, cells(), firs)
}
