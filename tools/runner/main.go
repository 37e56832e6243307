// Command runner demonstrates a small deployment. It starts a simulated platform,
// engines, services and some entry hosts as processes, sends a short prompt, a
// prompt of a million tokens and a booking, edits the tables, and shows the output
// of the operators' command line.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"hemlockpin/internal/testkit"

	"github.com/jessevdk/go-flags"
)

const (
	exitFailure = 1
	exitUsage   = 2
	services    = 2
)

type settings struct {
	Bin     string `long:"bin" default:"bin" description:"folder of the built programs"`
	Hosts   int    `long:"hosts" default:"3" description:"entry hosts"`
	Engines int    `long:"engines" default:"4" description:"model engines"`
	Keep    bool   `long:"keep" description:"leave the fleet running until interrupted"`
	Verbose bool   `long:"verbose" description:"show the logs of the processes"`
}

func main() {
	var set settings
	if _, err := flags.Parse(&set); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(exitUsage)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	err := run(ctx, set)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "runner:", err)
		os.Exit(exitFailure)
	}
}

func run(ctx context.Context, set settings) error {
	pla := testkit.Plan{Bin: set.Bin, Hosts: set.Hosts, Engines: set.Engines, Services: services, Model: testkit.Model, Tables: testkit.SampleTables(), Logs: io.Discard}
	if set.Verbose {
		pla.Logs = os.Stderr
	}
	start := time.Now()
	fle, err := testkit.Start(ctx, pla)
	if err != nil {
		return err
	}
	defer fle.Stop()
	fmt.Printf("%d hosts, %d engines and %d services started in %s\n\n", set.Hosts, set.Engines, services, time.Since(start).Round(time.Millisecond))
	if err := showRequests(ctx, fle); err != nil {
		return err
	}
	if err := showOperations(ctx, fle); err != nil {
		return err
	}
	if set.Keep {
		showAddresses(fle)
		<-ctx.Done()
	}
	return nil
}

// showAddresses prints the commands to use the hosts from another shell.
func showAddresses(fle *testkit.Fleet) {
	fmt.Print("The fleet runs until it is interrupted. From another shell:\n\n")
	fmt.Printf("  export HEMLOCKPIN_OPERATOR=http://%s\n", fle.Hosts[0].Operator)
	fmt.Printf("  %s status\n\n", fle.Plan.Bin+"/hemlockpin")
	fmt.Printf("  curl http://%s/v1/chat/completions -H 'Authorization: Bearer %s' \\\n", fle.Hosts[0].Address, testkit.Key)
	fmt.Printf("    -d '{\"model\":%q,\"stream\":true,\"max_tokens\":16,\"messages\":[{\"role\":\"user\",\"content\":\"Why does the treadle stick?\"}]}'\n", testkit.Model)
}
