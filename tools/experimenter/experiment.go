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
	// decodeStep is the time that decoding adds to a step of the simulated engine.
	decodeStep = 10 * time.Millisecond
	// firstTokenOverhead is the least time to the first token in addition to the
	// prefill: one step of the engine and the processing in a host.
	firstTokenOverhead = 5 * time.Millisecond
	capacityDraws      = 20_000
	capacitySeed       = 99
	percent            = 100
	// seedStride is the distance between the seeds of the streams of two runs with
	// successive seeds, so that no two streams have the same seed.
	seedStride = 1000
	// ledgerCount is the number of prompts of the longest class that are sent at
	// once.
	ledgerCount = 12
)

// experiment holds the settings, results and log file that the runs share.
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

// capacity returns the number of requests a second of a mix at which the engines
// are fully used. It is estimated from the mean prefill time of drawn requests,
// with a decode step for each chunk of prefill.
func (exp *experiment) capacity(mix mixer.Mix) float64 {
	mi := mixer.New(mix, 1, capacitySeed)
	var sum float64
	for range capacityDraws {
		if req := mi.Next(); req.Kind == mixer.KindPrompt {
			sum += exp.idlePrefill(req).Seconds()
		}
	}
	chunkTime := engineChunk / float64(engineRate)
	return float64(exp.set.Engines) * capacityDraws / sum * chunkTime / (chunkTime + decodeStep.Seconds())
}

// idlePrefill returns the prefill time of a prompt on idle engines. A prompt that
// exceeds the memory of one engine is prefilled by a group of them in parallel.
func (exp *experiment) idlePrefill(req mixer.Request) time.Duration {
	memories := make([]int64, exp.set.Engines)
	for i := range memories {
		memories[i] = int64(engineMemory / exp.set.Scale)
	}
	seconds := float64(req.PromptTokens) * exp.set.Scale / engineRate
	if need := req.PromptTokens + req.AnswerTokens; need > memories[0] {
		seconds /= float64(max(1, len(placer.Split(need, memories))))
	}
	return time.Duration(seconds * float64(time.Second))
}

// idleFirstToken returns the time to the first token on idle engines.
func (exp *experiment) idleFirstToken(req mixer.Request) time.Duration {
	return exp.idlePrefill(req) + firstTokenOverhead
}

// runLoad is the load of a run: requests of mix at rate, or streams if there are
// any.
type runLoad struct {
	mix     mixer.Mix
	rate    float64
	streams []mixer.Stream
	// limit is the first team's rate in tokens a second; 0 means none.
	limit float64
}

// loadOf returns the load of a run. It does not depend on the policy, so that
// policies are compared with the same requests at the same times.
func (exp *experiment) loadOf(cel summarizer.Cell) runLoad {
	rate := exp.capacity(exp.mix) * float64(cel.Load) / percent
	switch cel.Variant {
	case variantWithoutLong:
		mix, share := exp.mix.WithoutLong(int64(mixer.ShortTokens / exp.set.Scale))
		return runLoad{mix: mix, rate: rate * share}
	case variantEven, variantEvenAgain:
		return exp.teams(rate, 1)
	case variantTenfold:
		return exp.teams(rate, fairFactor)
	case variantTenfoldLimited:
		load := exp.teams(rate, fairFactor)
		load.limit = exp.limit()
		return load
	default:
		return runLoad{mix: exp.mix, rate: rate}
	}
}

// limit returns the rate limit of the limited team in tokens a second.
func (exp *experiment) limit() float64 {
	return exp.capacity(exp.mix) * (1 - exp.mix.CallShare) * exp.mix.MeanTokens() * limitPercent / percent
}

// teams divides a rate into equal streams, one per team. If factor is above 1, the
// first team sends factor times as much: the additional requests are a stream of
// their own, so that all other requests stay the same.
func (exp *experiment) teams(rate, factor float64) runLoad {
	var teas []mixer.Team
	var streams []mixer.Stream
	for i := range mixer.TeamCount {
		tea := mixer.Team{Key: mixer.TeamKey(i), Weight: 1}
		teas = append(teas, tea)
		streams = append(streams, mixer.Stream{Team: tea, Rate: rate / mixer.TeamCount, Seed: exp.set.Seed*seedStride + uint64(i)})
	}
	if factor > 1 {
		streams = append(streams, mixer.Stream{
			Team: teas[0], Rate: rate / mixer.TeamCount * (factor - 1), Seed: exp.set.Seed*seedStride + mixer.TeamCount,
		})
	}
	return runLoad{mix: exp.mix.WithTeams(teas), streams: streams}
}

func (exp *experiment) start(ctx context.Context, load runLoad, args []string) (*testkit.Fleet, error) {
	set := exp.set
	var logs io.Writer
	if exp.logs != nil {
		logs = exp.logs
	}
	tab := testkit.TablesForMix(exp.mix)
	tab.Pools[0].LongShare = set.LongShare
	tab.Teams[0].TokensPerSecond = load.limit
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

// runCells does the runs that are not finished yet. It skips those that would end
// after --for.
func (exp *experiment) runCells(ctx context.Context) error {
	start := time.Now()
	skipped := 0
	for _, cel := range exp.set.cells() {
		if _, ok := exp.res.find(cel); ok {
			continue
		}
		if duration, _ := exp.set.times(cel); exp.set.MaxTime > 0 && time.Since(start)+duration > exp.set.MaxTime {
			skipped++
			continue
		}
		rep, err := exp.runCell(ctx, cel)
		if err != nil {
			return eris.Wrap(err, cellName(cel))
		}
		printReport(os.Stdout, rep)
		if err := exp.res.add(rep); err != nil {
			return err
		}
	}
	if skipped > 0 {
		fmt.Printf("\n%d runs are left; go on with --resume\n", skipped)
	}
	return nil
}

// runCell does one run with newly started processes, so that the prefix caches of
// the engines are empty.
func (exp *experiment) runCell(ctx context.Context, cel summarizer.Cell) (summarizer.Report, error) {
	load := exp.loadOf(cel)
	tra, err := exp.newTracing()
	if err != nil {
		return summarizer.Report{}, err
	}
	defer tra.col.Stop()
	fle, err := exp.start(ctx, load, append(tra.hostArgs(), "--placement", cel.Policy))
	if err != nil {
		return summarizer.Report{}, err
	}
	defer fle.Stop()
	duration, warmUp := exp.set.times(cel)
	run := &driver.Run{
		Mix: load.mix, Rate: load.rate, Streams: load.streams, Seed: exp.set.Seed, Duration: duration, WarmUp: warmUp,
		Sender: &sender.Sender{Model: load.mix.Model, Verify: true, ShouldTrace: isLong}, IdleFirstToken: exp.idleFirstToken, Observe: tra.observe,
	}
	for _, host := range fle.Hosts {
		run.Sender.Hosts = append(run.Sender.Hosts, host.Address)
		run.Operators = append(run.Operators, host.Operator)
	}
	faultCtx, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { exp.injectFault(faultCtx, fle, run.Sender, cel.Variant) })
	rep, err := run.Do(ctx)
	stop()
	wg.Wait()
	rep.Name = cellName(cel)
	rep.Cell = cel
	rep.Setup = exp.set.setup()
	rep.Parts = tra.parts(ctx, warmUp)
	return rep, err
}

func printReport(wri io.Writer, rep summarizer.Report) {
	fmt.Fprintf(wri, "\n%s: seed %d, %.1f requests a second, in time %.1f a second, long slowdown p50 %.2f, p95 %.2f (%d), load average %.1f\n",
		rep.Name, rep.Seed, rep.Rate, rep.Goodput, rep.Long.P50, rep.Long.P95, rep.Long.Count, rep.LoadAverage)
	_ = reporter.Print(wri, rep)
	if parts := rep.Parts; parts != nil {
		fmt.Fprintf(wri, "large and huge (%d traced): wait for an engine p50 %.0f ms, p95 %.0f ms; from the grant to the first token p50 %.0f ms, p95 %.0f ms, over idle engines p50 %.2f, p95 %.2f\n",
			parts.Placement.Count, parts.Placement.P50, parts.Placement.P95, parts.Rest.P50, parts.Rest.P95, parts.Slowdown.P50, parts.Slowdown.P95)
	}
	if len(rep.Codes) > 0 {
		fmt.Fprintln(wri, "codes:", rep.Codes)
	}
}

// injectFault injects the fault of a variant in the middle of a run.
func (exp *experiment) injectFault(ctx context.Context, fle *testkit.Fleet, sen *sender.Sender, variant string) {
	select {
	case <-time.After(exp.set.Duration / 2):
	case <-ctx.Done():
		return
	}
	switch variant {
	case variantEngine:
		fle.Engines[0].Kill()
	case variantHost:
		fle.Hosts[0].Kill()
	case variantPlatform:
		_ = fle.Fault(ctx, fle.Platform, struct{ Down bool }{true})
	case variantLedgers:
		exp.sendLedgers(ctx, sen)
	}
}

// sendLedgers sends ledgerCount prompts of the longest class at once.
func (exp *experiment) sendLedgers(ctx context.Context, sen *sender.Sender) {
	mix := exp.mix
	mix.Classes = mix.Classes[len(mix.Classes)-1:]
	mix.CallShare = 0
	mi := mixer.New(mix, 1, exp.set.Seed*seedStride)
	var wg sync.WaitGroup
	for range ledgerCount {
		req := mi.Next()
		wg.Go(func() { sen.Send(ctx, req, req.Text()) })
	}
	wg.Wait()
}
