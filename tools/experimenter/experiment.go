package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"sync"
	"time"

	"hemlockpin/internal/testkit"
	"hemlockpin/load/driver"
	"hemlockpin/load/mixer"
	"hemlockpin/load/sender"
	"hemlockpin/load/summarizer"
	"hemlockpin/request/placer"
)

const (
	engineMemory = 400_000
	engineRate   = 200_000
	engineChunk  = 4096
	// decodeStep is the time that a step with decoding adds to the prefill of
	// a chunk in the engine stand-in.
	decodeStep    = 10 * time.Millisecond
	capacityDraws = 20_000
	capacitySeed  = 99
	percent       = 100
	// seedStride keeps the seeds of the runs of two seeds apart.
	seedStride = 1000
	pauseTime  = 2 * time.Second

	faultCalm     = "calm"
	faultEngine   = "engine-killed"
	faultHost     = "host-killed"
	faultPlatform = "platform-out"
	faultLedgers  = "ledgers"
	// ledgerCount is the number of the longest prompts that come at once.
	ledgerCount = 12
)

func validFault(nam string) bool {
	return slices.Contains([]string{faultCalm, faultEngine, faultHost, faultPlatform, faultLedgers}, nam)
}

// experiment holds what the runs share.
type experiment struct {
	set     settings
	mix     mixer.Mix
	logs    io.WriteCloser
	reports []summarizer.Report
	// runs counts the runs. Each has a seed of its own, as engines hold the
	// prefixes of the prompts of earlier ones.
	runs uint64
}

func newExperiment(set settings) (*experiment, error) {
	mix, _ := mixer.ByName(set.Mix)
	exp := &experiment{set: set, mix: mix.WithScale(set.Scale)}
	if set.Log != "" {
		fil, err := os.Create(set.Log)
		if err != nil {
			return nil, err
		}
		exp.logs = fil
	}
	return exp, nil
}

func (exp *experiment) close() {
	if exp.logs != nil {
		exp.logs.Close()
	}
}

// capacity is the number of requests a second at which the engines only
// prefill and decode: the mean time of the prefills of the mix.
func (exp *experiment) capacity(mix mixer.Mix) float64 {
	mi := mixer.New(mix, 1, capacitySeed)
	var sum float64
	for range capacityDraws {
		if req := mi.Next(); req.Kind == mixer.KindPrompt {
			sum += exp.idle(req).Seconds()
		}
	}
	chu := engineChunk / float64(engineRate)
	return float64(exp.set.Engines) * capacityDraws / sum * chu / (chu + decodeStep.Seconds())
}

// idle is the time of a prefill on idle engines. A group prefills together.
func (exp *experiment) idle(req mixer.Request) time.Duration {
	mems := make([]int64, exp.set.Engines)
	for ind := range mems {
		mems[ind] = int64(engineMemory / exp.set.Scale)
	}
	sec := float64(req.PromptTokens) * exp.set.Scale / engineRate
	if need := req.PromptTokens + req.AnswerTokens; need > mems[0] {
		sec /= float64(max(1, len(placer.Split(need, mems))))
	}
	return time.Duration(sec * float64(time.Second))
}

func (exp *experiment) start(ctx context.Context, pol string) (*testkit.Fleet, error) {
	set := exp.set
	var logs io.Writer
	if exp.logs != nil {
		logs = exp.logs
	}
	tab := testkit.LoadTables(exp.mix)
	tab.Pools[0].LongShare = set.Long
	return testkit.Start(ctx, testkit.Plan{
		Bin: set.Bin, Logs: logs, Hosts: set.Hosts, Engines: set.Engines, Services: set.Services, Model: exp.mix.Model,
		Tables: tab, HostArgs: []string{"--placement", pol},
		EngineArgs: []string{
			"--memory-tokens", strconv.Itoa(int(engineMemory / set.Scale)),
			"--prefill-rate", strconv.FormatFloat(engineRate/set.Scale, 'f', -1, 64),
			"--chunk-tokens", strconv.Itoa(int(engineChunk / set.Scale)),
		},
	})
}

// policy runs all loads and faults of one policy.
func (exp *experiment) policy(ctx context.Context, pol string) error {
	for _, fau := range exp.set.Faults {
		fle, err := exp.start(ctx, pol)
		if err != nil {
			return err
		}
		err = exp.loads(ctx, fle, pol, fau)
		fle.Stop()
		if err != nil {
			return err
		}
	}
	if !exp.set.Targets {
		return nil
	}
	return exp.targets(ctx, pol)
}

func (exp *experiment) loads(ctx context.Context, fle *testkit.Fleet, pol, fau string) error {
	for _, loa := range exp.set.Loads {
		nam := fmt.Sprintf("%s %d%% %s", pol, loa, fau)
		res, err := exp.one(ctx, fle, nam, exp.mix, exp.capacity(exp.mix)*float64(loa)/percent, fau)
		if err != nil {
			return err
		}
		exp.reports = append(exp.reports, res.report)
		res.print(os.Stdout)
		pause(ctx)
	}
	return nil
}

func pause(ctx context.Context) {
	select {
	case <-time.After(pauseTime):
	case <-ctx.Done():
	}
}

// one does one run with a fault in its middle.
func (exp *experiment) one(ctx context.Context, fle *testkit.Fleet, nam string, mix mixer.Mix, rate float64, fau string) (*result, error) {
	res := newResult(exp)
	exp.runs++
	run := &driver.Run{
		Mix: mix, Rate: rate, Seed: exp.set.Seed*seedStride + exp.runs, Duration: exp.set.Duration, WarmUp: exp.set.WarmUp,
		Sender: &sender.Sender{Model: mix.Model, Verify: true}, Observe: res.observe,
	}
	for _, hos := range fle.Hosts {
		run.Sender.Hosts = append(run.Sender.Hosts, hos.Address)
		run.Operators = append(run.Operators, hos.Operator)
	}
	bgd, stop := context.WithCancel(ctx)
	defer stop()
	var gro sync.WaitGroup
	gro.Go(func() { exp.disturb(bgd, fle, run.Sender, fau) })
	rep, err := run.Do(ctx)
	stop()
	gro.Wait()
	rep.Name = nam
	res.report = rep
	return res, err
}

// disturb brings a fault about in the middle of a run and mends it at its end.
func (exp *experiment) disturb(ctx context.Context, fle *testkit.Fleet, sen *sender.Sender, fau string) {
	select {
	case <-time.After(exp.set.Duration / 2):
	case <-ctx.Done():
		return
	}
	switch fau {
	case faultEngine:
		fle.Engines[0].Kill()
		<-ctx.Done()
		_ = fle.Engines[0].Start()
	case faultHost:
		fle.Hosts[0].Kill()
		<-ctx.Done()
		_ = fle.Hosts[0].Start()
	case faultPlatform:
		_ = fle.Fault(ctx, fle.Platform, struct{ Down bool }{true})
		<-ctx.Done()
		_ = fle.Fault(context.WithoutCancel(ctx), fle.Platform, struct{ Down bool }{false})
	case faultLedgers:
		exp.ledgers(ctx, sen)
	}
}

// ledgers sends the longest prompts of the mix at once.
func (exp *experiment) ledgers(ctx context.Context, sen *sender.Sender) {
	mix := exp.mix
	mix.Classes = mix.Classes[len(mix.Classes)-1:]
	mix.CallShare = 0
	mi := mixer.New(mix, 1, exp.set.Seed*seedStride)
	var gro sync.WaitGroup
	for range ledgerCount {
		req := mi.Next()
		gro.Go(func() { sen.Send(ctx, req, mi.Text(req)) })
	}
	gro.Wait()
}
