// Package disturber injects random faults into a fleet of real processes: killed
// and frozen processes, network cuts, connections that drop all data, outages of
// the platform and misbehaving endpoints. All random numbers derive from one seed,
// and each fault ends after a limited time.
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

// InjectedFault describes a fault that is over.
type InjectedFault struct {
	Kind   string
	Target string
	// Host is the address on which the affected host serves callers; empty if
	// the fault is in no host or its callers can't notice it.
	Host string
	From time.Time
	To   time.Time
}

// Links are the fault-injecting proxies of a fleet.
type Links struct {
	// Platform is the link between all hosts and the platform; nil before the
	// first call of ViaPlatform.
	Platform *testkit.Link
	mu       sync.Mutex
	byID     map[string]*testkit.Link
}

// Via creates a link in front of an address and returns the link's address. It
// panics if the link can't listen.
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

// ViaPlatform returns the address of the link in front of the platform. The first
// call creates the link; all hosts share it. It panics if the link can't listen.
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

// Disturber injects faults into Fleet. The fleet must have been started with the
// Via functions of Links.
type Disturber struct {
	Fleet *testkit.Fleet
	Links *Links
	// MeanInterval is the mean time between the starts of faults.
	MeanInterval time.Duration
	Seed         uint64
	// Log receives one line per fault; nil discards them.
	Log io.Writer

	mu       sync.Mutex
	injected []InjectedFault
	busy     map[string]bool
}

// faultKind is a kind of fault together with the processes that it can affect.
type faultKind struct {
	kind    string
	targets []*testkit.Process
	// visible is set if callers of the target may notice broken connections or
	// delays.
	visible bool
	inject  func(ctx context.Context, target *testkit.Process, duration time.Duration) error
}

// Run injects faults until ctx ends, then waits until all of them are over.
func (dis *Disturber) Run(ctx context.Context) {
	ran := rand.New(rand.NewPCG(dis.Seed, dis.Seed+1))
	kinds := dis.faultKinds()
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		wait := time.Duration(ran.ExpFloat64() * float64(dis.MeanInterval))
		fau := kinds[ran.IntN(len(kinds))]
		target := fau.targets[ran.IntN(len(fau.targets))]
		duration := minFault + time.Duration(ran.Float64()*float64(maxFault-minFault))
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return
		}
		if dis.reserve(target.ID) {
			wg.Go(func() { dis.perform(fau, target, duration) })
		}
	}
}

// reserve marks a target as in use and reports whether it was free. Two faults at
// once on a target could undo each other's settings.
func (dis *Disturber) reserve(id string) bool {
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

func (dis *Disturber) perform(fau faultKind, target *testkit.Process, duration time.Duration) {
	inf := InjectedFault{Kind: fau.kind, Target: target.ID, From: time.Now()}
	if fau.visible {
		inf.Host = target.Address
	}
	// The context of the run is not passed on, so that a fault is undone even
	// if the run ends first.
	err := fau.inject(context.Background(), target, duration)
	inf.To = time.Now()
	dis.mu.Lock()
	defer dis.mu.Unlock()
	dis.injected = append(dis.injected, inf)
	delete(dis.busy, target.ID)
	if dis.Log != nil {
		fmt.Fprintf(dis.Log, "%s to %s %s %s for %s: %v\n", inf.From.Format("05.000"), inf.To.Format("05.000"), fau.kind, target.ID, inf.To.Sub(inf.From).Round(time.Millisecond), err)
	}
}

// Injected returns all faults that are over.
func (dis *Disturber) Injected() []InjectedFault {
	dis.mu.Lock()
	defer dis.mu.Unlock()
	return append([]InjectedFault(nil), dis.injected...)
}

func (dis *Disturber) faultKinds() []faultKind {
	fle := dis.Fleet
	platform := []*testkit.Process{fle.Platform}
	return []faultKind{
		{"kill host", fle.Hosts, true, dis.kill},
		{"freeze host", fle.Hosts, true, freeze},
		{"restart host", fle.Hosts, false, dis.restart},
		{"silence peer connections of", fle.Hosts, false, dis.blackhole},
		{"block peer answers of", fle.Hosts, false, dis.block},
		{"kill engine", fle.Engines, false, dis.kill},
		{"freeze engine", fle.Engines, false, freeze},
		{"silence connections of", fle.Engines, false, dis.blackhole},
		{"cut engine", fle.Engines, false, dis.cut},
		{"cross answers of", fle.Engines, false, dis.standInFault(`{"Cross":true}`)},
		{"break streams of", fle.Engines, false, dis.standInFault(`{"BreakAfter":3}`)},
		{"mark as leaving", fle.Engines, false, dis.markLeaving},
		{"lose answers of", fle.Services, false, dis.standInFault(`{"LoseAnswers":3}`)},
		{"slow service", fle.Services, false, dis.standInFault(`{"SlowMs":800}`)},
		{"cut service", fle.Services, false, dis.cut},
		{"platform down", platform, false, dis.standInFault(`{"Down":true}`)},
		{"platform slow", platform, false, dis.standInFault(`{"SlowMs":400}`)},
		{"platform loses answers", platform, false, dis.standInFault(`{"LoseAnswers":4}`)},
		{"silence platform connections", platform, false, dis.blackholePlatform},
	}
}

func (dis *Disturber) kill(_ context.Context, target *testkit.Process, duration time.Duration) error {
	target.Kill()
	time.Sleep(duration)
	return target.Start()
}

func freeze(_ context.Context, target *testkit.Process, duration time.Duration) error {
	if err := target.Freeze(); err != nil {
		return err
	}
	time.Sleep(duration)
	return target.Resume()
}

func (dis *Disturber) restart(_ context.Context, target *testkit.Process, _ time.Duration) error {
	if err := target.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	if _, err := target.Wait(exitTimeout); err != nil {
		return err
	}
	return target.Start()
}

func (dis *Disturber) blackhole(_ context.Context, target *testkit.Process, duration time.Duration) error {
	dis.Links.get(target.ID).BlackholeEstablished()
	time.Sleep(duration)
	return nil
}

func (dis *Disturber) blackholePlatform(_ context.Context, _ *testkit.Process, duration time.Duration) error {
	dis.Links.Platform.BlackholeEstablished()
	time.Sleep(duration)
	return nil
}

func (dis *Disturber) block(_ context.Context, target *testkit.Process, duration time.Duration) error {
	lin := dis.Links.get(target.ID)
	if err := lin.Block(testkit.Answers); err != nil {
		return err
	}
	time.Sleep(duration)
	return lin.Unblock(testkit.Answers)
}

func (dis *Disturber) cut(_ context.Context, target *testkit.Process, duration time.Duration) error {
	lin := dis.Links.get(target.ID)
	lin.Cut()
	time.Sleep(duration)
	return lin.Restore()
}

// standInFault returns a function that sets faults, given as JSON, in a stand-in
// and clears them after a time.
func (dis *Disturber) standInFault(faults string) func(context.Context, *testkit.Process, time.Duration) error {
	return func(ctx context.Context, target *testkit.Process, duration time.Duration) error {
		if err := dis.Fleet.Fault(ctx, target, json.RawMessage(faults)); err != nil {
			return err
		}
		time.Sleep(duration)
		return dis.Fleet.Fault(ctx, target, json.RawMessage("{}"))
	}
}

// markLeaving marks an engine as leaving in the platform's list for a time.
func (dis *Disturber) markLeaving(ctx context.Context, target *testkit.Process, duration time.Duration) error {
	ctx, stop := context.WithTimeout(ctx, duration+2*listTimeout)
	defer stop()
	ent := persister.Entry{
		ID: target.ID, Kind: persister.KindEngine, Service: dis.Fleet.Plan.Model, Address: dis.Links.get(target.ID).Address(),
		DataCenter: "colombo", Models: []string{dis.Fleet.Plan.Model}, Leaving: true,
	}
	if err := dis.Fleet.List(ctx, ent); err != nil {
		return err
	}
	time.Sleep(duration)
	ent.Leaving = false
	return dis.Fleet.List(ctx, ent)
}
