// Command experimenter compares the placement policies at several loads and under
// faults, each run with its own host and engine processes, and prints which
// targets are met. Prompt lengths, prefill rates and engine memories are divided
// by the same scale, so that all times are those of the full sizes. The results of
// a grid are written after each run, so that a long grid can be done in parts with
// --resume.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"hemlockpin/load/mixer"
	"hemlockpin/load/reporter"
	"hemlockpin/request/placer"

	"github.com/jessevdk/go-flags"
	"github.com/rotisserie/eris"
)

const exitUsage = 2

type settings struct {
	Bin       string        `long:"bin" default:"bin" description:"folder of the built programs"`
	Out       string        `long:"out" default:"out/placement" description:"folder of the reports"`
	Mix       string        `long:"mix" default:"wijesinghe" description:"wijesinghe or port-louis"`
	Policies  []string      `long:"policy" description:"placement policy; may be repeated; all if missing"`
	Loads     []int         `long:"load" description:"per cent of what the engines can do; may be repeated; 50, 80, 95 and 120 if missing"`
	Faults    []string      `long:"fault" description:"calm, engine-killed, host-killed, platform-out or ledgers; may be repeated; calm if missing"`
	Targets   []string      `long:"target" description:"also measure a part of the targets: lengths, goodput or fairness; may be repeated"`
	Quick     bool          `long:"quick" description:"short runs, for trials"`
	Resume    bool          `long:"resume" description:"continue a grid: skip the runs that are in its file"`
	MaxTime   time.Duration `long:"for" description:"start no run that would end after this time; 0 does all"`
	Fill      time.Duration `long:"fill" description:"time before the counted part of the run at 120 per cent in which queues fill; 0 means the time after which the wait reaches the longest latency target, 10 minutes"`
	Duration  time.Duration `long:"duration" default:"60s" description:"time of each run"`
	WarmUp    time.Duration `long:"warm-up" default:"5s" description:"part of each run that is not counted"`
	Seed      uint64        `long:"seed" default:"1" description:"seed of the load"`
	Hosts     int           `long:"hosts" default:"15" description:"entry hosts"`
	Engines   int           `long:"engines" default:"14" description:"model engines"`
	Services  int           `long:"services" default:"3" description:"plain services"`
	Scale     float64       `long:"scale" default:"10" description:"divides lengths, prefill rates and memories"`
	LongShare float64       `long:"long-share" description:"the pool's share of engines for long prompts; 0 follows the work"`
	Log       string        `long:"log" description:"file for the logs of all processes"`
}

// Defaults returns the settings with the empty lists and the fill time set to
// their defaults, and with the times of --quick.
func (set settings) Defaults() settings {
	if len(set.Policies) == 0 {
		for _, policy := range placer.Policies() {
			set.Policies = append(set.Policies, string(policy))
		}
	}
	if len(set.Loads) == 0 {
		set.Loads = []int{50, 80, 95, 120}
	}
	if len(set.Faults) == 0 {
		set.Faults = []string{variantNoFault}
	}
	if mix, ok := mixer.ByName(set.Mix); ok && set.Fill == 0 {
		set.Fill = fillTime(mix)
	}
	if set.Quick {
		set.Duration = quickDuration
		set.WarmUp = quickWarmUp
		set.Fill = quickWarmUp
	}
	return set
}

// Validate returns an error that lists everything that is wrong in the settings.
func (set settings) Validate() error {
	var problems []string
	if _, ok := mixer.ByName(set.Mix); !ok {
		problems = append(problems, "unknown mix "+set.Mix)
	}
	for _, policy := range set.Policies {
		if !placer.Policy(policy).Valid() {
			problems = append(problems, "unknown policy "+policy)
		}
	}
	for _, fault := range set.Faults {
		if !validFault(fault) {
			problems = append(problems, "unknown fault "+fault)
		}
	}
	for _, target := range set.Targets {
		if _, ok := targetCells[target]; !ok {
			problems = append(problems, "unknown target "+target)
		}
	}
	if set.Duration <= set.WarmUp {
		problems = append(problems, "--duration must be longer than --warm-up")
	}
	if set.Scale < 1 || set.Hosts < 1 || set.Engines < 1 {
		problems = append(problems, "--scale, --hosts and --engines must be at least 1")
	}
	if len(problems) > 0 {
		return eris.Errorf("bad settings: %q", problems)
	}
	return nil
}

const (
	quickDuration = 12 * time.Second
	quickWarmUp   = 3 * time.Second
)

func main() {
	var set settings
	if _, err := flags.Parse(&set); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(exitUsage)
	}
	set = set.Defaults()
	err := set.Validate()
	if err == nil {
		err = run(set)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "experimenter:", err)
		os.Exit(1)
	}
}

func run(set settings) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := os.MkdirAll(set.Out, 0o755); err != nil {
		return eris.Wrap(err, "run: folder")
	}
	exp, err := newExperiment(set)
	if err != nil {
		return err
	}
	defer exp.close()
	if err := exp.resume(); err != nil {
		return err
	}
	if err := exp.runCells(ctx); err != nil {
		return err
	}
	if err := reporter.PrintScores(os.Stdout, exp.res.reps); err != nil || len(set.Targets) == 0 {
		return err
	}
	for _, policy := range set.Policies {
		judge{wri: os.Stdout, res: exp.res, policy: policy, limit: exp.limit()}.print(set)
	}
	return nil
}

// resume loads the results of earlier runs if --resume is set. It returns an error
// if they have other settings.
func (exp *experiment) resume() error {
	if !exp.set.Resume {
		return nil
	}
	if err := exp.res.load(); err != nil {
		return err
	}
	return exp.res.check(exp.set)
}
