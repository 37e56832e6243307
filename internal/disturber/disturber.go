// Package disturber causes random faults in a fleet of real processes: kills,
// freezes, cuts, silent connections, outages of the platform, misbehaving
// endpoints. All draws come from one seed; each fault ends by itself.
package disturber

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"hemlockpin/connection/persister"
	"hemlockpin/internal/testkit"
)

const (
	minFault    = 500 * time.Millisecond
	maxFault    = 6 * time.Second
	exitTimeout = 3 * time.Minute
	listTimeout = 5 * time.Second
)

// InjectedFault is one fault with the time that it lasted.
type InjectedFault struct {
	Kind   string
	Target string
	// Host is the caller address of the host that the fault hit, if it hit one
	// in a way that its callers can see.
	Host string
	From time.Time
	To   time.Time
}

// Links are the fault-injecting proxies of a fleet.
type Links struct {
	// Platform stands between all hosts and the platform.
	Platform *testkit.Link
	mu       sync.Mutex
	byID     map[string]*testkit.Link
}

// Via puts a link in front of an address and returns the link's address.
func (lis *Links) Via(id, address string) string {
	lin, err := testkit.NewLink(id, address)
	if err != nil {
		panic(err)
	}
	lis.mu.Lock()
	defer lis.mu.Unlock()
	if lis.byID == nil {
		lis.byID = map[string]*testkit.Link{}
	}
	lis.byID[id] = lin
	return lin.Address()
}

// ViaPlatform puts a link in front of the platform, once for all hosts.
func (lis *Links) ViaPlatform(address string) string {
	lis.mu.Lock()
	defer lis.mu.Unlock()
	if lis.Platform == nil {
		lin, err := testkit.NewLink("platform", address)
		if err != nil {
			panic(err)
		}
		lis.Platform = lin
	}
	return lis.Platform.Address()
}

func (lis *Links) get(id string) *testkit.Link {
	lis.mu.Lock()
	defer lis.mu.Unlock()
	return lis.byID[id]
}

// Disturber causes faults in Fleet, whose endpoints and peers are reached
// through Links.
type Disturber struct {
	Fleet *testkit.Fleet
	Links *Links
	// MeanInterval is the mean time between the starts of faults.
	MeanInterval time.Duration
	Seed         uint64
	// Log receives a line a fault; nil for none.
	Log io.Writer

	mu    sync.Mutex
	spans []InjectedFault
	busy  map[string]bool
}

// fault is one kind of disturbance of a target; it returns when the fault is over.
type fault struct {
	kind    string
	targets []*testkit.Process
	// visible says that callers of the target host may lose connections or time.
	visible bool
	run     func(ctx context.Context, pro *testkit.Process, dur time.Duration) error
}

// Run causes faults until ctx ends, then waits until all are over.
func (dis *Disturber) Run(ctx context.Context) {
	ran := rand.New(rand.NewPCG(dis.Seed, dis.Seed+1))
	kinds := dis.faults()
	var gro sync.WaitGroup
	defer gro.Wait()
	for {
		wai := time.Duration(ran.ExpFloat64() * float64(dis.MeanInterval))
		fau := kinds[ran.IntN(len(kinds))]
		pro := fau.targets[ran.IntN(len(fau.targets))]
		dur := minFault + time.Duration(ran.Float64()*float64(maxFault-minFault))
		select {
		case <-time.After(wai):
		case <-ctx.Done():
			return
		}
		if dis.take(pro.ID) {
			gro.Go(func() { dis.cause(fau, pro, dur) })
		}
	}
}

// take reserves a target, so that two faults don't undo each other's switches.
func (dis *Disturber) take(id string) bool {
	dis.mu.Lock()
	defer dis.mu.Unlock()
	if dis.busy == nil {
		dis.busy = map[string]bool{}
	}
	if dis.busy[id] {
		return false
	}
	dis.busy[id] = true
	return true
}

func (dis *Disturber) cause(fau fault, pro *testkit.Process, dur time.Duration) {
	spa := InjectedFault{Kind: fau.kind, Target: pro.ID, From: time.Now()}
	if fau.visible {
		spa.Host = pro.Address
	}
	// A fault is always taken back, also after the run has ended.
	err := fau.run(context.Background(), pro, dur)
	spa.To = time.Now()
	dis.mu.Lock()
	defer dis.mu.Unlock()
	dis.spans = append(dis.spans, spa)
	delete(dis.busy, pro.ID)
	if dis.Log != nil {
		fmt.Fprintf(dis.Log, "%s to %s %s %s for %s: %v\n", spa.From.Format("05.000"), spa.To.Format("05.000"), fau.kind, pro.ID, spa.To.Sub(spa.From).Round(time.Millisecond), err)
	}
}

// Injected returns the faults that are over.
func (dis *Disturber) Injected() []InjectedFault {
	dis.mu.Lock()
	defer dis.mu.Unlock()
	return append([]InjectedFault(nil), dis.spans...)
}

func (dis *Disturber) faults() []fault {
	fle := dis.Fleet
	pla := []*testkit.Process{fle.Platform}
	return []fault{
		{"kill host", fle.Hosts, true, dis.kill},
		{"freeze host", fle.Hosts, true, freeze},
		{"restart host", fle.Hosts, false, dis.restart},
		{"silence peer connections of", fle.Hosts, false, dis.silence},
		{"block peer answers of", fle.Hosts, false, dis.block},
		{"kill engine", fle.Engines, false, dis.kill},
		{"freeze engine", fle.Engines, false, freeze},
		{"silence connections of", fle.Engines, false, dis.silence},
		{"cut engine", fle.Engines, false, dis.cut},
		{"cross answers of", fle.Engines, false, dis.switched(`{"Cross":true}`)},
		{"break streams of", fle.Engines, false, dis.switched(`{"BreakAfter":3}`)},
		{"mark as leaving", fle.Engines, false, dis.leave},
		{"lose answers of", fle.Services, false, dis.switched(`{"LoseAnswers":3}`)},
		{"slow service", fle.Services, false, dis.switched(`{"SlowMs":800}`)},
		{"cut service", fle.Services, false, dis.cut},
		{"platform down", pla, false, dis.switched(`{"Down":true}`)},
		{"platform slow", pla, false, dis.switched(`{"SlowMs":400}`)},
		{"platform loses answers", pla, false, dis.switched(`{"LoseAnswers":4}`)},
		{"silence platform connections", pla, false, dis.silencePlatform},
	}
}

func (dis *Disturber) kill(_ context.Context, pro *testkit.Process, dur time.Duration) error {
	pro.Kill()
	time.Sleep(dur)
	return pro.Start()
}

func freeze(_ context.Context, pro *testkit.Process, dur time.Duration) error {
	if err := pro.Freeze(); err != nil {
		return err
	}
	time.Sleep(dur)
	return pro.Resume()
}

func (dis *Disturber) restart(_ context.Context, pro *testkit.Process, _ time.Duration) error {
	if err := pro.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	if _, err := pro.Wait(exitTimeout); err != nil {
		return err
	}
	return pro.Start()
}

func (dis *Disturber) silence(_ context.Context, pro *testkit.Process, dur time.Duration) error {
	dis.Links.get(pro.ID).BlackholeEstablished()
	time.Sleep(dur)
	return nil
}

func (dis *Disturber) silencePlatform(_ context.Context, _ *testkit.Process, dur time.Duration) error {
	dis.Links.Platform.BlackholeEstablished()
	time.Sleep(dur)
	return nil
}

func (dis *Disturber) block(_ context.Context, pro *testkit.Process, dur time.Duration) error {
	lin := dis.Links.get(pro.ID)
	if err := lin.Block(testkit.Answers); err != nil {
		return err
	}
	time.Sleep(dur)
	return lin.Unblock(testkit.Answers)
}

func (dis *Disturber) cut(_ context.Context, pro *testkit.Process, dur time.Duration) error {
	lin := dis.Links.get(pro.ID)
	lin.Cut()
	time.Sleep(dur)
	return lin.Restore()
}

// switched returns a fault that a stand-in causes itself while it is switched on.
func (dis *Disturber) switched(faults string) func(context.Context, *testkit.Process, time.Duration) error {
	return func(ctx context.Context, pro *testkit.Process, dur time.Duration) error {
		if err := dis.Fleet.Fault(ctx, pro, json.RawMessage(faults)); err != nil {
			return err
		}
		time.Sleep(dur)
		return dis.Fleet.Fault(ctx, pro, json.RawMessage("{}"))
	}
}

// leave marks an engine as leaving in the platform's list, then takes it back.
func (dis *Disturber) leave(ctx context.Context, pro *testkit.Process, dur time.Duration) error {
	ctx, stop := context.WithTimeout(ctx, dur+2*listTimeout)
	defer stop()
	ent := persister.Entry{
		ID: pro.ID, Kind: persister.KindEngine, Service: dis.Fleet.Plan.Model, Address: dis.Links.get(pro.ID).Address(),
		DataCenter: "colombo", Models: []string{dis.Fleet.Plan.Model}, Leaving: true,
	}
	if err := dis.Fleet.List(ctx, ent); err != nil {
		return err
	}
	time.Sleep(dur)
	ent.Leaving = false
	return dis.Fleet.List(ctx, ent)
}
