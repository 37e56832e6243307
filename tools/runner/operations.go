package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"hemlockpin/internal/testkit"

	"github.com/rotisserie/eris"
)

// propagation bounds the time until an accepted edit holds on every host.
const propagation = 7 * time.Second

// showOperations edits the tables and asks for explanations and states by the
// operators' command line.
func showOperations(ctx context.Context, fle *testkit.Fleet) error {
	beg := time.Now()
	if err := operate(ctx, fle, "routes", "set", "questions", "TimeLimit=20s"); err != nil {
		return err
	}
	if err := awaitRevision(ctx, fle); err != nil {
		return err
	}
	fmt.Printf("in force on all %d hosts %s after the command began\n", len(fle.Hosts), milliseconds(time.Since(beg)))
	coms := [][]string{
		{"explain", "--team", "tailors", "--model", testkit.Model, "--prompt-tokens", "1200"},
		{"status"},
		{"endpoints"},
	}
	for _, com := range coms {
		if err := operate(ctx, fle, com...); err != nil {
			return err
		}
	}
	fmt.Println()
	return nil
}

// operate runs one command and prints it.
func operate(ctx context.Context, fle *testkit.Fleet, args ...string) error {
	fmt.Printf("\n$ hemlockpin %s\n", strings.Join(args, " "))
	cmd := exec.CommandContext(ctx, filepath.Join(fle.Plan.Bin, "hemlockpin"), args...)
	cmd.Env = append(os.Environ(), "HEMLOCKPIN_OPERATOR=http://"+fle.Hosts[0].Operator)
	cmd.Stdout = os.Stdout
	cmd.Stderr = os.Stderr
	return eris.Wrapf(cmd.Run(), "hemlockpin %s", args[0])
}

// awaitRevision waits until all hosts have the second revision.
func awaitRevision(ctx context.Context, fle *testkit.Fleet) error {
	for _, hos := range fle.Hosts {
		err := testkit.Poll(ctx, propagation, func() bool {
			sta, err := fle.Status(ctx, hos)
			return err == nil && sta.TablesRevision >= 2
		})
		if err != nil {
			return eris.Wrapf(err, "host %s", hos.ID)
		}
	}
	return nil
}
