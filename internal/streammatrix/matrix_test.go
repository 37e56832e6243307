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

// check returns what is wrong with an ended request, whatever befell it.
func (req *request) check() error {
	for ind, tok := range req.tokens {
		if tok != int64(ind) {
			return fmt.Errorf("the caller has token %d at %d", tok, ind)
		}
	}
	if req.outcome == "whole" && len(req.tokens) != answerTokens {
		return fmt.Errorf("whole with %d tokens", len(req.tokens))
	}
	if lef := req.held(); len(lef) > 0 {
		return fmt.Errorf("memory is left on %v", lef)
	}
	if len(req.robbed) > 0 {
		return fmt.Errorf("a live request lost memory on %v", req.robbed)
	}
	for _, eng := range req.engines {
		if eng.ran && req.fail.Ran == invoker.NotRun {
			return fmt.Errorf("told as not run, but %s ran it", eng.id)
		}
	}
	// A frozen host can't answer before it wakes.
	if late := req.endedAt.Sub(req.state.Deadline); late > 2*time.Second && req.wakes.IsZero() {
		return fmt.Errorf("ended %s after the deadline", late)
	}
	return nil
}

func (req *request) cell() string {
	req.run()
	if err := req.check(); err != nil {
		return "VIOLATION: " + err.Error()
	}
	return req.outcome
}

// TestMatrix runs each cell of step and fault with its trace, and all pairs of
// faults at a step with their outcomes.
func TestMatrix(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, dat *datadriven.TestData) string {
			var ste, fau string
			dat.ScanArgs(t, "step", &ste)
			if dat.Cmd == "pairs" {
				return pairs(ste)
			}
			dat.ScanArgs(t, "fault", &fau)
			if dat.Cmd == "move" {
				return newMoving(ste, fau).cell()
			}
			req := newRequest(ste, fau)
			out := req.cell()
			require.True(t, req.struck, "the fault did not strike")
			return strings.Join(append(req.trace, "= "+out), "\n")
		})
	})
}

func pairs(step string) string {
	var lins []string
	for ind, one := range faults {
		for _, two := range faults[ind+1:] {
			lins = append(lins, fmt.Sprintf("%s + %s: %s", one, two, newRequest(step, one, two).cell()))
		}
	}
	return strings.Join(lins, "\n")
}

// TestMatrixIsComplete proves that no cell is missing and none has a violation.
func TestMatrixIsComplete(t *testing.T) {
	for _, ste := range steps {
		buf, err := os.ReadFile("testdata/" + ste)
		require.NoError(t, err)
		txt := string(buf)
		require.NotContains(t, txt, "VIOLATION")
		require.Equal(t, len(faults), strings.Count(txt, "cell step="+ste+" fault="))
		for ind, one := range faults {
			require.Contains(t, txt, fmt.Sprintf("cell step=%s fault=%s\n", ste, one))
			for _, two := range faults[ind+1:] {
				require.Contains(t, txt, fmt.Sprintf("\n%s + %s: ", one, two))
			}
		}
	}
}

// TestMovesAreComplete proves the same for the steps of a move.
func TestMovesAreComplete(t *testing.T) {
	buf, err := os.ReadFile("testdata/move")
	require.NoError(t, err)
	require.NotContains(t, string(buf), "VIOLATION")
	for ste := mover.Requesting; ste <= mover.Over; ste++ {
		for _, fau := range moveFaults {
			require.Contains(t, string(buf), fmt.Sprintf("move step=%s fault=%s\n", ste, fau))
		}
	}
}

// TestHistories strikes several faults at random steps.
func TestHistories(t *testing.T) {
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		require.NoError(t, flag.Set("rapid.seed", "20261204"))
		require.NoError(t, flag.Set("rapid.checks", "5000"))
	}
	rapid.Check(t, func(rap *rapid.T) {
		ste := rapid.SampledFrom(steps).Draw(rap, "step")
		faus := rapid.SliceOfN(rapid.SampledFrom(faults), 1, 5).Draw(rap, "faults")
		req := newRequest(ste, faus...)
		req.run()
		if err := req.check(); err != nil {
			rap.Fatalf("%v\n%s", err, strings.Join(req.trace, "\n"))
		}
	})
}
