// Command experimenter runs the placement policies side by side on fleets of
// real processes, at several loads and under faults, and says which targets are
// met. Lengths, prefill rates and memories are scaled down together, so that
// all times stay those of the full sizes. Runs of a grid are kept as they end, so
// that a long grid can be done in parts.
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
	Bin      string        `long:"bin" default:"bin" description:"folder of the built programs"`
	Out      string        `long:"out" default:"out/placement" description:"folder of the reports"`
	Mix      string        `long:"mix" default:"wijesinghe" description:"wijesinghe or port-louis"`
	Policies []string      `long:"policy" description:"placement policy; may be repeated; all if missing"`
	Loads    []int         `long:"load" description:"per cent of what the engines can do; may be repeated; 50, 80, 95 and 120 if missing"`
	Faults   []string      `long:"fault" description:"calm, engine-killed, host-killed, platform-out or ledgers; may be repeated; calm if missing"`
	Targets  []string      `long:"target" description:"also measure a part of the targets: lengths, goodput or fairness; may be repeated"`
	Quick    bool          `long:"quick" description:"short runs, for trials"`
	Resume   bool          `long:"resume" description:"go on with the file of an earlier part: leave out the runs in it"`
	For      time.Duration `long:"for" description:"start no run that would end after this time; 0 does all"`
	Fill     time.Duration `long:"fill" description:"time before the counted part of the run at 120 per cent in which queues fill; 0 is the longest patience over the surplus, 10 minutes"`
	Duration time.Duration `long:"duration" default:"60s" description:"time of each run"`
	WarmUp   time.Duration `long:"warm-up" default:"5s" description:"part of each run that is not counted"`
	Seed     uint64        `long:"seed" default:"1" description:"seed of the load"`
	Hosts    int           `long:"hosts" default:"15" description:"entry hosts"`
	Engines  int           `long:"engines" default:"14" description:"model engines"`
	Services int           `long:"services" default:"3" description:"plain services"`
	Scale    float64       `long:"scale" default:"10" description:"divides lengths, prefill rates and memories"`
	Long     float64       `long:"long-share" description:"the pool's share of engines for long prompts; 0 follows the work"`
	Log      string        `long:"log" description:"file for the logs of all processes"`
}

// Defaults fills in the lists left empty.
func (set settings) Defaults() settings {
	if len(set.Policies) == 0 {
		for _, pol := range placer.Policies() {
			set.Policies = append(set.Policies, string(pol))
		}
	}
	if len(set.Loads) == 0 {
		set.Loads = []int{50, 80, 95, 120}
	}
	if len(set.Faults) == 0 {
		set.Faults = []string{variantCalm}
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

// Validate reports every fault of the settings.
func (set settings) Validate() error {
	var fas []string
	if _, ok := mixer.ByName(set.Mix); !ok {
		fas = append(fas, "unknown mix "+set.Mix)
	}
	for _, pol := range set.Policies {
		if !placer.Policy(pol).Valid() {
			fas = append(fas, "unknown policy "+pol)
		}
	}
	for _, fau := range set.Faults {
		if !validFault(fau) {
			fas = append(fas, "unknown fault "+fau)
		}
	}
	for _, par := range set.Targets {
		if _, ok := targetCells[par]; !ok {
			fas = append(fas, "unknown target "+par)
		}
	}
	if set.Duration <= set.WarmUp {
		fas = append(fas, "--duration must be longer than --warm-up")
	}
	if set.Scale < 1 || set.Hosts < 1 || set.Engines < 1 {
		fas = append(fas, "--scale, --hosts and --engines must be at least 1")
	}
	if len(fas) > 0 {
		return eris.Errorf("bad settings: %q", fas)
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
	if err := exp.prepare(); err != nil {
		return err
	}
	if err := exp.run(ctx); err != nil {
		return err
	}
	if err := reporter.PrintScores(os.Stdout, exp.res.reps); err != nil || len(set.Targets) == 0 {
		return err
	}
	for _, pol := range set.Policies {
		judge{wri: os.Stdout, res: exp.res, pol: pol, limit: exp.limit()}.print(set)
	}
	return nil
}

// prepare takes over what is finished.
func (exp *experiment) prepare() error {
	if !exp.set.Resume {
		return nil
	}
	if err := exp.res.load(); err != nil {
		return err
	}
	return exp.res.check(exp.set)
}
