package driver_test

import (
	"path/filepath"
	"testing"
	"time"

	"hemlockpin/internal/testkit"
	"hemlockpin/load/driver"
	"hemlockpin/load/mixer"
	"hemlockpin/load/reporter"
	"hemlockpin/load/sender"
	"hemlockpin/load/summarizer"

	"github.com/stretchr/testify/require"
)

// Hosts without faults answer every request, and the report can be written as
// HTML and JSON and read back.
func TestRunOnCalmFleet(t *testing.T) {
	bin, err := testkit.Build()
	require.NoError(t, err)
	mix := mixer.Wijesinghe().WithScale(20)
	fle, err := testkit.Start(t.Context(), testkit.Plan{
		Bin: bin, Hosts: 2, Engines: 3, Services: 1, Model: mix.Model, Tables: testkit.TablesForMix(mix),
	})
	require.NoError(t, err)
	t.Cleanup(fle.Stop)
	run := driver.Run{
		Mix: mix, Rate: 15, Seed: 7, Duration: 4 * time.Second, WarmUp: time.Second,
		Sender:    &sender.Sender{Hosts: []string{fle.Hosts[0].Address, fle.Hosts[1].Address}, Model: mix.Model, Verify: true},
		Operators: []string{fle.Hosts[0].Operator, fle.Hosts[1].Operator},
	}
	rep, err := run.Do(t.Context())
	require.NoError(t, err)
	for out := range rep.Outcomes() {
		require.Contains(t, []sender.Outcome{sender.Whole, sender.Late}, out, "codes %v", rep.Codes)
	}
	require.Len(t, rep.Hosts, 2)
	dir := t.TempDir()
	reps := []summarizer.Report{rep}
	require.NoError(t, reporter.WriteHTML(filepath.Join(dir, "report.html"), "test", reps))
	require.NoError(t, reporter.WriteJSON(filepath.Join(dir, "report.json"), reps))
	got, err := reporter.ReadJSON(filepath.Join(dir, "report.json"))
	require.NoError(t, err)
	require.Equal(t, rep.Classes, got[0].Classes)
}
