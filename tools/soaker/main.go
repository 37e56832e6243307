// Command soaker is a soak test. It runs hosts, engines and services as processes
// under load, random faults and edits of the tables for a time. Then it checks the
// system's guarantees from the results of requests and the state of the processes,
// and exits with status 1 if a guarantee was violated.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strconv"
	"sync"
	"syscall"
	"time"

	"hemlockpin/internal/auditor"
	"hemlockpin/internal/disturber"
	"hemlockpin/internal/testkit"
	"hemlockpin/load/driver"
	"hemlockpin/load/mixer"
	"hemlockpin/load/reporter"
	"hemlockpin/load/sender"

	"github.com/jessevdk/go-flags"
	"github.com/rotisserie/eris"
)

const (
	exitUsage     = 2
	watchInterval = 500 * time.Millisecond
	callRepeats   = 3
	operators     = 2
)

type settings struct {
	Bin        string        `long:"bin" default:"bin" description:"folder of the built programs"`
	Duration   time.Duration `long:"duration" default:"2m" description:"time under load and faults"`
	Seed       uint64        `long:"seed" default:"1" description:"seed of load, faults and edits"`
	Hosts      int           `long:"hosts" default:"5" description:"entry hosts"`
	Engines    int           `long:"engines" default:"6" description:"model engines"`
	Services   int           `long:"services" default:"3" description:"plain services"`
	Rate       float64       `long:"rate" default:"25" description:"requests a second"`
	Scale      float64       `long:"length-scale" default:"10" description:"divides the lengths of prompts and the memory of engines"`
	FaultEvery time.Duration `long:"fault-every" default:"1500ms" description:"mean time between faults; 0 for none"`
	EditEvery  time.Duration `long:"edit-every" default:"2s" description:"mean time between the edits of each operator"`
	TimeLimit  time.Duration `long:"time-limit" default:"15s" description:"time limit of each request"`
	Log        string        `long:"log" description:"file for the logs of all processes"`
}

func main() {
	var set settings
	if _, err := flags.Parse(&set); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(exitUsage)
	}
	if err := run(set); err != nil {
		fmt.Fprintln(os.Stderr, "soaker:", err)
		os.Exit(1)
	}
}

func run(set settings) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	var logs io.Writer
	if set.Log != "" {
		fil, err := os.Create(set.Log)
		if err != nil {
			return err
		}
		defer fil.Close()
		logs = fil
	}
	mix := mixer.Wijesinghe().WithScale(set.Scale)
	mix.CallShare = 0.4
	links := &disturber.Links{}
	fle, err := testkit.Start(ctx, plan(set, mix, links, logs))
	if err != nil {
		return err
	}
	defer fle.Stop()
	return soak(ctx, set, mix, links, fle)
}

func plan(set settings, mix mixer.Mix, links *disturber.Links, logs io.Writer) testkit.Plan {
	const engineMemory = 400_000
	return testkit.Plan{
		Bin: set.Bin, Logs: logs, Hosts: set.Hosts, Engines: set.Engines, Services: set.Services, Model: mix.Model,
		Tables:      testkit.TablesForMix(mix),
		EngineArgs:  []string{"--memory-tokens", strconv.Itoa(int(engineMemory / set.Scale))},
		PlatformVia: links.ViaPlatform, EndpointVia: links.Via, PeerVia: links.Via,
	}
}

func soak(ctx context.Context, set settings, mix mixer.Mix, links *disturber.Links, fle *testkit.Fleet) error {
	aud := &auditor.Auditor{Fleet: fle, TimeLimit: set.TimeLimit}
	dis := &disturber.Disturber{Fleet: fle, Links: links, MeanInterval: set.FaultEvery, Seed: set.Seed, Log: os.Stderr}
	run := &driver.Run{
		Mix: mix, Rate: set.Rate, Seed: set.Seed, Duration: set.Duration, Progress: os.Stderr, Observe: func(res sender.Result) { aud.Observe(res); printFailed(res) },
		Sender: &sender.Sender{Model: mix.Model, Verify: true, MaxRetries: callRepeats, TimeLimit: set.TimeLimit},
	}
	for _, host := range fle.Hosts {
		run.Sender.Hosts = append(run.Sender.Hosts, host.Address)
	}
	aud.RecordAccepted(1)
	background, stop := context.WithCancel(ctx)
	defer stop()
	var wg sync.WaitGroup
	wg.Go(func() { aud.WatchTables(background, watchInterval) })
	if set.FaultEvery > 0 {
		wg.Go(func() { dis.Run(background) })
	}
	for i := range operators {
		wg.Go(func() { aud.Edit(background, set.EditEvery, set.Seed+uint64(i)) })
	}
	rep, err := run.Do(ctx)
	stop()
	wg.Wait()
	if err != nil {
		return err
	}
	rep.Name = "soak"
	if err := reporter.Print(os.Stdout, rep); err != nil {
		return err
	}
	fmt.Println("codes:", rep.Codes)
	return checkGuarantees(ctx, set, aud, dis)
}

// printFailed prints a request without a complete answer, to help find the cause.
func printFailed(res sender.Result) {
	if res.Outcome != sender.Whole && res.Outcome != sender.Late {
		fmt.Fprintf(os.Stderr, "%s %s %s at %s after %s: %s: %s\n", res.StartedAt.Format("05.000"), res.Request.Class, res.Outcome, res.Host, res.Total.Round(time.Millisecond), res.Code, res.Message)
	}
}

func checkGuarantees(ctx context.Context, set settings, aud *auditor.Auditor, dis *disturber.Disturber) error {
	spans := dis.Injected()
	findings := aud.Check(ctx, spans)
	fmt.Printf("seed %d, %s, %d requests, %d faults, %d accepted edits\n", set.Seed, set.Duration, aud.Requests(), len(spans), aud.AcceptedRevision())
	for _, fin := range findings {
		fmt.Printf("%6d  %s\n", fin.Count, fin.Kind)
		for _, example := range fin.Examples {
			fmt.Println("        ", example)
		}
	}
	if auditor.Failed(findings) {
		return eris.New("guarantees were violated")
	}
	return nil
}
