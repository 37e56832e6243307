package journaler

import (
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
)

// matrixCases returns every fault at every step as step/kind.
func matrixCases() []string {
	var out []string
	for _, step := range steps {
		for _, fault := range faultKinds {
			out = append(out, step+"/"+fault)
		}
	}
	return out
}

func newFault(name string) *injectedFault {
	step, fault, _ := strings.Cut(name, "/")
	return &injectedFault{step: step, kind: fault}
}

// whyNotApplicable returns why a fault cannot occur at its step, or an empty string.
func whyNotApplicable(name string) string {
	step, fault, _ := strings.Cut(name, "/")
	return notApplicable(step, fault)
}

// requireSafe checks that the service ran the call at most once, that no answer wrongly
// reports that the call did not run, and that every call has an answer.
func requireSafe(t *testing.T, name, result string) {
	t.Helper()
	require.NotContains(t, result, "FALSE", "%s: told not run after a run: %s", name, result)
	require.Regexp(t, "runs=[01]$", result, "%s: run twice", name)
	require.NotContains(t, result, "= ", "%s: a caller without an answer: %s", name, result)
}

// TestCallRunsAtMostOnceDespiteFaults injects every fault at every step, and every pair
// of faults.
func TestCallRunsAtMostOnceDespiteFaults(t *testing.T) {
	datadriven.RunTest(t, "testdata/matrix/single", func(t *testing.T, td *datadriven.TestData) string {
		if cause := whyNotApplicable(td.Cmd); cause != "" {
			return "not applicable: " + cause + "\n"
		}
		result := simulate(newFault(td.Cmd))
		requireSafe(t, td.Cmd, result)
		return result + "\n"
	})
	datadriven.RunTest(t, "testdata/matrix/pairs", func(t *testing.T, td *datadriven.TestData) string {
		byResult := map[string][]string{}
		for _, secondFault := range matrixCases() {
			if whyNotApplicable(td.Cmd) != "" || whyNotApplicable(secondFault) != "" {
				byResult["not applicable"] = append(byResult["not applicable"], secondFault)
				continue
			}
			result := simulate(newFault(td.Cmd), newFault(secondFault))
			requireSafe(t, td.Cmd+" and "+secondFault, result)
			byResult[result] = append(byResult[result], secondFault)
		}
		var lines []string
		for result, secondFaults := range byResult {
			lines = append(lines, result+"\n  "+strings.Join(secondFaults, " ")+"\n")
		}
		slices.Sort(lines)
		return strings.Join(lines, "")
	})
}

// TestMatrixDataIsComplete checks that the data files contain every case.
func TestMatrixDataIsComplete(t *testing.T) {
	for _, name := range []string{"single", "pairs"} {
		text, err := os.ReadFile("testdata/matrix/" + name)
		require.NoError(t, err)
		var firstFaults []string
		for _, block := range strings.Split(string(text), "\n\n") {
			line, out, ok := strings.Cut(strings.TrimLeft(block, "\n"), "\n----\n")
			require.True(t, ok, "%s: %q has no end", name, block)
			firstFaults = append(firstFaults, line)
			if name == "pairs" {
				var secondFaults []string
				for line := range strings.Lines(out) {
					if strings.HasPrefix(line, "  ") {
						secondFaults = append(secondFaults, strings.Fields(line)...)
					}
				}
				require.ElementsMatch(t, matrixCases(), secondFaults, line)
			}
		}
		require.Equal(t, matrixCases(), firstFaults, name)
	}
}
