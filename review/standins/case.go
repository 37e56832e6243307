package standins

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseTimeout is the longest time of a case.
const caseTimeout = 115 * time.Second

// Verdict is the result of a case. Broken says how the rule was broken; empty if it held.
type Verdict struct{ Broken string }

// Case plays a case. It gets whether the disruption takes place.
type Case func(ctx context.Context, fle *Fleet, trouble bool) (Verdict, error)

// Main plays a case and ends the program with its exit code. TROUBLE=0 in the environment
// leaves the disruption out.
func Main(run Case) { os.Exit(runCase(run)) }

// runUntilDone runs a case. It returns early if ctx ends.
func runUntilDone(ctx context.Context, fle *Fleet, trouble bool, run Case) (Verdict, error) {
	type result struct {
		verdict Verdict
		err     error
	}
	done := make(chan result, 1)
	go func() {
		verdict, err := run(ctx, fle, trouble)
		done <- result{verdict, err}
	}()
	select {
	case res := <-done:
		return res.verdict, res.err
	case <-ctx.Done():
		return Verdict{}, ctx.Err()
	}
}

func runCase(run Case) int {
	path := flag.String("record", "record.txt", "file for the record")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, caseTimeout)
	defer cancel()
	rec, err := NewRecord(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.Close()
	fle, err := NewFleet(rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer fle.Close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.Printf("disruption: %t", trouble)
	verdict, err := runUntilDone(ctx, fle, trouble, run)
	switch {
	case err != nil:
		rec.Printf("the case could not run: %s", err)
		fmt.Println("not run:", err)
		return exitNotRun
	case verdict.Broken != "":
		rec.Printf("rule broken: %s", verdict.Broken)
		fmt.Println("broken:", verdict.Broken)
		return exitBroken
	default:
		rec.Printf("the rule held")
		fmt.Println("held")
		return exitHeld
	}
}
