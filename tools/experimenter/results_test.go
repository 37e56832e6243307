package main

import (
	"testing"
	"time"

	"hemlockpin/load/summarizer"

	"github.com/stretchr/testify/require"
)

// A resumed grid skips the runs in its file and refuses a file with runs of other
// settings.
func TestResume(t *testing.T) {
	set := settings{
		Out: t.TempDir(), Mix: "wijesinghe", Policies: []string{"cell", "random"}, Loads: []int{50, targetLoad}, Resume: true,
		Duration: 20 * time.Second, WarmUp: 5 * time.Second, Seed: 1, Hosts: 2, Engines: 2, Scale: 10, Targets: []string{targetLengths},
	}.Defaults()
	exp, err := newExperiment(set)
	require.NoError(t, err)
	require.NoError(t, exp.resume(), "no file yet")
	cels := set.cells()
	require.Len(t, cels, 6, "the run at 80 per cent is shared with the target")
	cel := summarizer.Cell{Policy: "random", Load: targetLoad, Variant: variantNoFault}
	require.NoError(t, exp.res.add(summarizer.Report{Cell: cel, Setup: set.setup()}))

	again, err := newExperiment(set)
	require.NoError(t, err)
	require.NoError(t, again.resume())
	_, ok := again.res.find(cel)
	require.True(t, ok)

	set.Duration = time.Minute
	other, err := newExperiment(set)
	require.NoError(t, err)
	require.ErrorContains(t, other.resume(), "other settings")
}
