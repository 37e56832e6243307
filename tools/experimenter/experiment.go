package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strconv"
	"sync"
	"time"

	"hemlockpin/internal/testkit"
	"hemlockpin/load/driver"
	"hemlockpin/load/mixer"
	"hemlockpin/load/reporter"
	"hemlockpin/load/sender"
	"hemlockpin/load/summarizer"
	"hemlockpin/request/placer"

	"github.com/rotisserie/eris"
)

const (
	engineMemory = 400_000
	engineRate   = 200_000
	engineChunk  = 4096
	// decodeStep is the time that a step with decoding adds to the prefill of
	// a chunk in the engine stand-in.
	decodeStep = 10 * time.Millisecond
	// baseFirst is the least time to a first token beside the prefill: one step
	// of the engine and the way through a host.
	baseFirst     = 5 * time.Millisecond
	capacityDraws = 20_000
	capacitySeed  = 99
	percent       = 100
	// seedStride keeps the seeds of streams apart.
	seedStride = 1000
	// ledgerCount is the number of the longest prompts that come at once.
	ledgerCount = 12
)

// experiment holds what the runs share.
type experiment struct {
	set  settings
	mix  mixer.Mix
	logs io.WriteCloser
	res  *results
}

func newExperiment(set settings) (*experiment, error) {
	mix, _ := mixer.ByName(set.Mix)
	exp := &experiment{set: set, mix: mix.WithScale(set.Scale), res: newResults(set)}
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

// first is the time to the first token on idle engines.
func (exp *experiment) first(req mixer.Request) time.Duration { return exp.idle(req) + baseFirst }

// plan is the load of a run.
type plan struct {
	mix  mixer.Mix
	mean float64
	strs []mixer.Stream
	// limit is the first team's rate in tokens a second; 0 means none.
	limit float64
}

// plan returns the load of a run. Policies that are compared get the same
// requests at the same times.
func (exp *experiment) plan(cel summarizer.Cell) plan {
	rat := exp.capacity(exp.mix) * float64(cel.Load) / percent
	switch cel.Variant {
	case variantWithoutLong:
		mix, sha := exp.mix.WithoutLong(int64(mixer.ShortTokens / exp.set.Scale))
		return plan{mix: mix, mean: rat * sha}
	case variantEven, variantEvenAgain:
		return exp.teams(rat, 1)
	case variantTenfold:
		return exp.teams(rat, fairFactor)
	case variantTenfoldLimited:
		pla := exp.teams(rat, fairFactor)
		pla.limit = exp.limit()
		return pla
	default:
		return plan{mix: exp.mix, mean: rat}
	}
}

// limit is the limited team's rate in tokens a second.
func (exp *experiment) limit() float64 {
	return exp.capacity(exp.mix) * (1 - exp.mix.CallShare) * exp.mix.MeanTokens() * limitPercent / percent
}

// teams divides a rate into equal streams by team. The surplus of the first
// team is one more stream, so that the others stay the same.
func (exp *experiment) teams(rate, factor float64) plan {
	var teas []mixer.Team
	var strs []mixer.Stream
	for ind := range mixer.TeamCount {
		tea := mixer.Team{Key: mixer.TeamKey(ind), Weight: 1}
		teas = append(teas, tea)
		strs = append(strs, mixer.Stream{Team: tea, Rate: rate / mixer.TeamCount, Seed: exp.set.Seed*seedStride + uint64(ind)})
	}
	if factor > 1 {
		strs = append(strs, mixer.Stream{
			Team: teas[0], Rate: rate / mixer.TeamCount * (factor - 1), Seed: exp.set.Seed*seedStride + mixer.TeamCount,
		})
	}
	return plan{mix: exp.mix.WithTeams(teas), strs: strs}
}

func (exp *experiment) start(ctx context.Context, pla plan, args []string) (*testkit.Fleet, error) {
	set := exp.set
	var logs io.Writer
	if exp.logs != nil {
		logs = exp.logs
	}
	tab := testkit.TablesForMix(exp.mix)
	tab.Pools[0].LongShare = set.Long
	tab.Teams[0].TokensPerSecond = pla.limit
	return testkit.Start(ctx, testkit.Plan{
		Bin: set.Bin, Logs: logs, Hosts: set.Hosts, Engines: set.Engines, Services: set.Services, Model: exp.mix.Model,
		Tables: tab, HostArgs: args,
		EngineArgs: []string{
			"--memory-tokens", strconv.Itoa(int(engineMemory / set.Scale)),
			"--prefill-rate", strconv.FormatFloat(engineRate/set.Scale, 'f', -1, 64),
			"--chunk-tokens", strconv.Itoa(int(engineChunk / set.Scale)),
		},
	})
}

// run does all runs that are not finished yet, as far as the time allows.
func (exp *experiment) run(ctx context.Context) error {
	beg := time.Now()
	lef := 0
	for _, cel := range exp.set.cells() {
		if _, ok := exp.res.find(cel); ok {
			continue
		}
		if dur, _ := exp.set.times(cel); exp.set.For > 0 && time.Since(beg)+dur > exp.set.For {
			lef++
			continue
		}
		rep, err := exp.cell(ctx, cel)
		if err != nil {
			return eris.Wrap(err, cellName(cel))
		}
		printReport(os.Stdout, rep)
		if err := exp.res.add(rep); err != nil {
			return err
		}
	}
	if lef > 0 {
		fmt.Printf("\n%d runs are left; go on with --resume\n", lef)
	}
	return nil
}

// cell does one run on a fleet of its own, whose engines hold no prefixes yet.
func (exp *experiment) cell(ctx context.Context, cel summarizer.Cell) (summarizer.Report, error) {
	pla := exp.plan(cel)
	tra, err := exp.newTracing()
	if err != nil {
		return summarizer.Report{}, err
	}
	defer tra.col.Stop()
	fle, err := exp.start(ctx, pla, append(tra.hostArgs(), "--placement", cel.Policy))
	if err != nil {
		return summarizer.Report{}, err
	}
	defer fle.Stop()
	dur, war := exp.set.times(cel)
	run := &driver.Run{
		Mix: pla.mix, Rate: pla.mean, Streams: pla.strs, Seed: exp.set.Seed, Duration: dur, WarmUp: war,
		Sender: &sender.Sender{Model: pla.mix.Model, Verify: true, Traced: isLong}, Idle: exp.first, Observe: tra.observe,
	}
	for _, hos := range fle.Hosts {
		run.Sender.Hosts = append(run.Sender.Hosts, hos.Address)
		run.Operators = append(run.Operators, hos.Operator)
	}
	bgd, stop := context.WithCancel(ctx)
	var gro sync.WaitGroup
	gro.Go(func() { exp.disturb(bgd, fle, run.Sender, cel.Variant) })
	rep, err := run.Do(ctx)
	stop()
	gro.Wait()
	rep.Name = cellName(cel)
	rep.Cell = cel
	rep.Setup = exp.set.setup()
	rep.Parts = tra.parts(ctx, war)
	return rep, err
}

func printReport(wri io.Writer, rep summarizer.Report) {
	fmt.Fprintf(wri, "\n%s: seed %d, %.1f requests a second, in time %.1f a second, long slowdown p50 %.2f, p95 %.2f (%d), load average %.1f\n",
		rep.Name, rep.Seed, rep.Rate, rep.Goodput, rep.Long.P50, rep.Long.P95, rep.Long.Count, rep.LoadAverage)
	_ = reporter.Print(wri, rep)
	if par := rep.Parts; par != nil {
		fmt.Fprintf(wri, "large and huge (%d traced): wait for an engine p50 %.0f ms, p95 %.0f ms; from the grant to the first token p50 %.0f ms, p95 %.0f ms, over idle engines p50 %.2f, p95 %.2f\n",
			par.Placement.Count, par.Placement.P50, par.Placement.P95, par.Rest.P50, par.Rest.P95, par.Slowdown.P50, par.Slowdown.P95)
	}
	if len(rep.Codes) > 0 {
		fmt.Fprintln(wri, "codes:", rep.Codes)
	}
}

// disturb brings a fault about in the middle of a run.
func (exp *experiment) disturb(ctx context.Context, fle *testkit.Fleet, sen *sender.Sender, vari string) {
	select {
	case <-time.After(exp.set.Duration / 2):
	case <-ctx.Done():
		return
	}
	switch vari {
	case variantEngine:
		fle.Engines[0].Kill()
	case variantHost:
		fle.Hosts[0].Kill()
	case variantPlatform:
		_ = fle.Fault(ctx, fle.Platform, struct{ Down bool }{true})
	case variantLedgers:
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
		gro.Go(func() { sen.Send(ctx, req, req.Text()) })
	}
	gro.Wait()
}
