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

// propagationTimeout bounds the time until an accepted edit is in force on every
// host.
const propagationTimeout = 7 * time.Second

// showOperations uses the operators' command line to edit the tables, explain a
// routing decision, and list the state of hosts and endpoints.
func showOperations(ctx context.Context, fle *testkit.Fleet) error {
	start := time.Now()
	if err := runOperatorCommand(ctx, fle, "routes", "set", "questions", "TimeLimit=20s"); err != nil {
		return err
	}
	if err := awaitRevision(ctx, fle); err != nil {
		return err
	}
	fmt.Printf("in force on all %d hosts %s after the command began\n", len(fle.Hosts), milliseconds(time.Since(start)))
	commands := [][]string{
		{"explain", "--team", "tailors", "--model", testkit.Model, "--prompt-tokens", "1200"},
		{"status"},
		{"endpoints"},
	}
	for _, command := range commands {
		if err := runOperatorCommand(ctx, fle, command...); err != nil {
			return err
		}
	}
	fmt.Println()
	return nil
}

// runOperatorCommand prints and runs one command of the operators' command line.
func runOperatorCommand(ctx context.Context, fle *testkit.Fleet, args ...string) error {
	fmt.Printf("\n$ hemlockpin %s\n", strings.Join(args, " "))
	cmd := exec.CommandContext(ctx, filepath.Join(fle.Plan.Bin, "hemlockpin"), args...)
	cmd.Env = append(os.Environ(), "HEMLOCKPIN_OPERATOR=http://"+fle.Hosts[0].Operator)
	cmd.Stdout = os.Stdout
	cmd.Stderr = os.Stderr
	return eris.Wrapf(cmd.Run(), "hemlockpin %s", args[0])
}

// awaitRevision waits until all hosts have the second revision of the tables, that
// of the edit.
func awaitRevision(ctx context.Context, fle *testkit.Fleet) error {
	for _, host := range fle.Hosts {
		err := testkit.Poll(ctx, propagationTimeout, func() bool {
			sta, err := fle.Status(ctx, host)
			return err == nil && sta.TablesRevision >= 2
		})
		if err != nil {
			return eris.Wrapf(err, "host %s", host.ID)
		}
	}
	return nil
}
