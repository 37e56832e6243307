package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"hemlockpin/load/driver"
	"hemlockpin/load/mixer"
	"hemlockpin/load/reporter"
	"hemlockpin/load/sender"
	"hemlockpin/load/summarizer"
	"hemlockpin/process/limiter"

	"github.com/rotisserie/eris"
)

const (
	runShort = "send load and report the outcomes"
	runLong  = `Sends requests of a mix to one or more hosts at a mean rate. Arrivals are a
Poisson process that does not wait for answers. All draws come from the seed.

A fault is given as AT=URL=BODY: at the time AT after the start, BODY is sent
with PUT to URL, which is the control of a stand-in. For example:

  --fault '10s=http://127.0.0.1:7000/control/faults={"Down":true}'

The report is written as JSON with --json and as one HTML page with --html.
The exit code is 1 if an answer was wrong or a connection broke.`
)

type runCommand struct {
	Hosts     []string      `long:"host" required:"true" description:"caller address of a host, as IP:port; may be repeated"`
	Operators []string      `long:"operator" description:"operator address of a host whose usage is reported; may be repeated"`
	Keys      []string      `long:"key" description:"bearer key to send with in place of the mix's teams; may be repeated"`
	Mix       string        `long:"mix" default:"wijesinghe" description:"name of the mix"`
	Rate      float64       `long:"rate" default:"20" description:"requests a second"`
	Duration  time.Duration `long:"duration" default:"30s" description:"time during which requests start"`
	WarmUp    time.Duration `long:"warm-up" default:"5s" description:"part at the start that is not counted"`
	Seed      uint64        `long:"seed" default:"1" description:"seed of all draws"`
	Scale     float64       `long:"length-scale" default:"1" description:"divides the lengths of prompts"`
	OnlyShort bool          `long:"only-short" description:"leave out the prompts over 4,000 tokens, the rate of the rest unchanged"`
	TeamRate  float64       `long:"team-rate" description:"tokens a second that the tables give each sending team; what was admitted is printed beside the bound"`
	Faults    []string      `long:"fault" description:"AT=URL=BODY; may be repeated"`
	Name      string        `long:"name" default:"run" description:"name of the run in the report"`
	JSON      string        `long:"json" description:"file for the report as JSON"`
	HTML      string        `long:"html" description:"file for the report as HTML"`
	Quiet     bool          `long:"quiet" description:"no progress lines"`
}

// Execute runs the load.
func (com *runCommand) Execute([]string) error {
	run, err := com.newRun()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	rep, err := run.Do(ctx)
	if err != nil {
		return err
	}
	rep.Name = com.Name
	if err := com.writeReport(rep); err != nil {
		return err
	}
	out := rep.Outcomes()
	if failures := out[sender.Wrong] + out[sender.Broken]; failures > 0 {
		return eris.Errorf("%d answers were wrong or broken", failures)
	}
	return nil
}

func (com *runCommand) newRun() (*driver.Run, error) {
	mix, ok := mixer.ByName(com.Mix)
	if !ok {
		return nil, eris.Errorf("unknown mix %q; see hemlockload mixes", com.Mix)
	}
	rate := com.Rate
	if com.OnlyShort {
		short, share := mix.WithoutLong(mixer.ShortTokens)
		mix = short
		rate *= share
	}
	if len(com.Keys) > 0 {
		mix = mix.WithTeams(teams(com.Keys))
	}
	run := &driver.Run{
		Mix: mix.WithScale(com.Scale), Rate: rate, Seed: com.Seed, Duration: com.Duration, WarmUp: com.WarmUp,
		Sender: &sender.Sender{Hosts: com.Hosts, Model: mix.Model, Verify: true}, Operators: com.Operators,
	}
	if !com.Quiet {
		run.Progress = os.Stderr
	}
	for _, text := range com.Faults {
		fau, err := parseFault(text)
		if err != nil {
			return nil, err
		}
		run.Faults = append(run.Faults, fau)
	}
	return run, nil
}

func teams(keys []string) []mixer.Team {
	var teas []mixer.Team
	for _, key := range keys {
		teas = append(teas, mixer.Team{Key: key, Weight: 1})
	}
	return teas
}

// parseFault parses a fault of the form AT=URL=BODY.
func parseFault(text string) (driver.Fault, error) {
	parts := strings.SplitN(text, "=", 3)
	if len(parts) != 3 {
		return driver.Fault{}, eris.Errorf("bad fault %q: use AT=URL=BODY", text)
	}
	at, err := time.ParseDuration(parts[0])
	if err != nil {
		return driver.Fault{}, eris.Errorf("bad fault %q: %q is not a duration", text, parts[0])
	}
	return driver.Fault{At: at, URL: parts[1], Body: parts[2]}, nil
}

func (com *runCommand) writeReport(rep summarizer.Report) error {
	fmt.Printf("%s: mix %s, seed %d, %.1f requests a second, %.2f a second whole and in time\n", rep.Name, rep.Mix, rep.Seed, rep.Rate, rep.Goodput)
	if err := reporter.Print(os.Stdout, rep); err != nil {
		return err
	}
	if com.TeamRate > 0 {
		com.printAdmitted(rep)
	}
	reps := []summarizer.Report{rep}
	if com.JSON != "" {
		if err := reporter.WriteJSON(com.JSON, reps); err != nil {
			return err
		}
	}
	if com.HTML != "" {
		return reporter.WriteHTML(com.HTML, "Load report: "+rep.Name, reps)
	}
	return nil
}

// printAdmitted prints for each team the tokens that were admitted and the maximum
// that TeamRate allows while all hosts can reach each other.
func (com *runCommand) printAdmitted(rep summarizer.Report) {
	fle := limiter.Fleet{Hosts: len(com.Hosts)}
	for _, tea := range rep.Teams {
		bound := fle.Bound(com.TeamRate, com.Duration, tea.LargestTokens)
		fmt.Printf("%s: admitted %d tokens, bound %.0f, %.2f of the rate\n",
			tea.Key, tea.AdmittedTokens, bound, float64(tea.AdmittedTokens)/com.TeamRate/com.Duration.Seconds())
	}
}
