package journaler

import (
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
)

// cells lists every fault at every step as step/fault.
func cells() []string {
	var out []string
	for _, ste := range steps {
		for _, fau := range faults {
			out = append(out, ste+"/"+fau)
		}
	}
	return out
}

func newStrike(cell string) *strike {
	ste, fau, _ := strings.Cut(cell, "/")
	return &strike{step: ste, fault: fau}
}

func reason(cell string) string {
	ste, fau, _ := strings.Cut(cell, "/")
	return notApplicable(ste, fau)
}

// safe checks what must hold at the end of every cell.
func safe(t *testing.T, cell, end string) {
	t.Helper()
	require.NotContains(t, end, "FALSE", "%s: told not run after a run: %s", cell, end)
	require.Regexp(t, "runs=[01]$", end, "%s: run twice", cell)
	require.NotContains(t, end, "= ", "%s: a caller without an answer: %s", cell, end)
}

// TestMatrix plays every fault at every step, and every two faults together.
func TestMatrix(t *testing.T) {
	datadriven.RunTest(t, "testdata/matrix/single", func(t *testing.T, td *datadriven.TestData) string {
		if why := reason(td.Cmd); why != "" {
			return "not applicable: " + why + "\n"
		}
		end := play(newStrike(td.Cmd))
		safe(t, td.Cmd, end)
		return end + "\n"
	})
	datadriven.RunTest(t, "testdata/matrix/pairs", func(t *testing.T, td *datadriven.TestData) string {
		ends := map[string][]string{}
		for _, two := range cells() {
			if reason(td.Cmd) != "" || reason(two) != "" {
				ends["not applicable"] = append(ends["not applicable"], two)
				continue
			}
			end := play(newStrike(td.Cmd), newStrike(two))
			safe(t, td.Cmd+" and "+two, end)
			ends[end] = append(ends[end], two)
		}
		var lins []string
		for end, twos := range ends {
			lins = append(lins, end+"\n  "+strings.Join(twos, " ")+"\n")
		}
		slices.Sort(lins)
		return strings.Join(lins, "")
	})
}

// TestMatrixWhole proves that no cell is missing from the data files.
func TestMatrixWhole(t *testing.T) {
	for _, nam := range []string{"single", "pairs"} {
		txt, err := os.ReadFile("testdata/matrix/" + nam)
		require.NoError(t, err)
		var firs []string
		for _, blo := range strings.Split(string(txt), "\n\n") {
			lin, out, ok := strings.Cut(strings.TrimLeft(blo, "\n"), "\n----\n")
			require.True(t, ok, "%s: %q has no end", nam, blo)
			firs = append(firs, lin)
			if nam == "pairs" {
				var twos []string
				for lin := range strings.Lines(out) {
					if strings.HasPrefix(lin, "  ") {
						twos = append(twos, strings.Fields(lin)...)
					}
				}
				require.ElementsMatch(t, cells(), twos, lin)
			}
		}
		require.Equal(t, cells(), firs, nam)
	}
}
