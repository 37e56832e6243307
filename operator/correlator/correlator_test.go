package correlator

import (
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
)

// TestCorrelator reads the logs of testdata/requests. The input of each case is the
// concatenated log of several hosts; the output is the text of the lines
// found. The lines must be in causal order although the clocks differ, and lines about
// other requests must be left out.
func TestCorrelator(t *testing.T) {
	datadriven.RunTest(t, "testdata/requests", func(t *testing.T, dat *datadriven.TestData) string {
		cor := &Correlator{}
		dat.ScanArgs(t, "request", &cor.RequestID)
		require.NoError(t, cor.Read(strings.NewReader(dat.Input), "log-1"))
		var out []string
		for _, lin := range cor.Lines() {
			out = append(out, lin.Text())
		}
		for _, lin := range cor.StateLines() {
			out = append(out, "believed: "+lin.Text())
		}
		return strings.Join(out, "\n") + "\n"
	})
}
