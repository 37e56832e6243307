package streammatrix_test

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"hemlockpin/connection/invoker"
	"hemlockpin/request/mover"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var (
	steps  = []string{"place", "connect", "queue", "prefill", "decode", "finish", "cancel", "release"}
	faults = []string{
		"engine-dies", "engine-freezes", "connection-silent", "one-way-cut", "crossed", "doubled", "late", "gap",
		"early-finish", "cancel-lost", "host-dies", "host-frozen", "member-lost", "deadline",
	}
)

// check returns the guarantee that an ended request violates. The guarantees hold
// under every fault.
func (req *request) check() error {
	for i, tok := range req.tokens {
		if tok != int64(i) {
			return fmt.Errorf("the caller received token %d at position %d", tok, i)
		}
	}
	if req.outcome == "whole" && len(req.tokens) != answerTokens {
		return fmt.Errorf("complete with %d tokens", len(req.tokens))
	}
	if left := req.enginesInUse(); len(left) > 0 {
		return fmt.Errorf("memory was not freed on %v", left)
	}
	if len(req.wronglyFreed) > 0 {
		return fmt.Errorf("memory of a live request was freed on %v", req.wronglyFreed)
	}
	for _, eng := range req.engines {
		if eng.ran && req.fail.Ran == invoker.NotRun {
			return fmt.Errorf("reported as not run, but %s ran it", eng.id)
		}
	}
	// A frozen host can't answer before it resumes.
	if late := req.endedAt.Sub(req.state.Deadline); late > 2*time.Second && req.hostFrozenUntil.IsZero() {
		return fmt.Errorf("ended %s after the deadline", late)
	}
	return nil
}

func (req *request) runCell() string {
	req.run()
	if err := req.check(); err != nil {
		return "VIOLATION: " + err.Error()
	}
	return req.outcome
}

// TestMatrix compares each cell, a step and a fault, with its recorded trace. For
// each pair of faults at a step it compares the outcome.
func TestMatrix(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, dat *datadriven.TestData) string {
			var step, fault string
			dat.ScanArgs(t, "step", &step)
			if dat.Cmd == "pairs" {
				return pairs(step)
			}
			dat.ScanArgs(t, "fault", &fault)
			if dat.Cmd == "move" {
				return newMove(step, fault).runCell()
			}
			req := newRequest(step, fault)
			out := req.runCell()
			require.True(t, req.injected, "the fault was not injected")
			return strings.Join(append(req.trace, "= "+out), "\n")
		})
	})
}

func pairs(step string) string {
	var lines []string
	for i, first := range faults {
		for _, second := range faults[i+1:] {
			lines = append(lines, fmt.Sprintf("%s + %s: %s", first, second, newRequest(step, first, second).runCell()))
		}
	}
	return strings.Join(lines, "\n")
}

// TestMatrixIsComplete checks that the recorded traces cover all steps, faults and
// pairs of faults, and contain no violation.
func TestMatrixIsComplete(t *testing.T) {
	for _, step := range steps {
		buf, err := os.ReadFile("testdata/" + step)
		require.NoError(t, err)
		text := string(buf)
		require.NotContains(t, text, "VIOLATION")
		require.Equal(t, len(faults), strings.Count(text, "cell step="+step+" fault="))
		for i, first := range faults {
			require.Contains(t, text, fmt.Sprintf("cell step=%s fault=%s\n", step, first))
			for _, second := range faults[i+1:] {
				require.Contains(t, text, fmt.Sprintf("\n%s + %s: ", first, second))
			}
		}
	}
}

// TestMovesAreComplete checks the same for the steps and faults of a move.
func TestMovesAreComplete(t *testing.T) {
	buf, err := os.ReadFile("testdata/move")
	require.NoError(t, err)
	require.NotContains(t, string(buf), "VIOLATION")
	for step := mover.Requesting; step <= mover.Over; step++ {
		for _, fault := range moveFaults {
			require.Contains(t, string(buf), fmt.Sprintf("move step=%s fault=%s\n", step, fault))
		}
	}
}

// TestHistories injects random sets of up to five faults at a random step.
func TestHistories(t *testing.T) {
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		require.NoError(t, flag.Set("rapid.seed", "20261204"))
		require.NoError(t, flag.Set("rapid.checks", "5000"))
	}
	rapid.Check(t, func(rap *rapid.T) {
		step := rapid.SampledFrom(steps).Draw(rap, "step")
		faults := rapid.SliceOfN(rapid.SampledFrom(faults), 1, 5).Draw(rap, "faults")
		req := newRequest(step, faults...)
		req.run()
		if err := req.check(); err != nil {
			rap.Fatalf("%v\n%s", err, strings.Join(req.trace, "\n"))
		}
	})
}
