package drainer

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"
)

var (
	epoch     = time.Unix(1_700_000_000, 0)
	settings  = Settings{Notice: 2 * time.Second, Timeout: 10 * time.Second}
	phases    = []Phase{Serving, InNotice, Closing, Answering, Ended}
	workloads = []Work{{}, {Requests: 1}, {Writes: 1}, {Requests: 2, Writes: 3}}
	times     = []time.Duration{0, 2 * time.Second, 9700 * time.Millisecond, 10 * time.Second, time.Hour}
)

// TestDrainMatrix checks the next phase and action for every event in every phase. The
// data file has a directive for each phase.
func TestDrainMatrix(t *testing.T) {
	seen := map[Phase]bool{}
	datadriven.RunTest(t, "testdata/drain", func(t *testing.T, dat *datadriven.TestData) string {
		var name string
		dat.ScanArgs(t, "phase", &name)
		pha := Phase(strings.TrimPrefix(name, "Serving"))
		seen[pha] = true
		sta := State{Settings: settings, Phase: pha, StartedAt: epoch, ClosingAt: epoch, AnsweringAt: epoch}
		var bui strings.Builder
		next, act := sta.Next(Signal{}, epoch)
		fmt.Fprintf(&bui, "signal: %s, %T%+v\n", next.Phase, act, act)
		for _, work := range workloads {
			for _, after := range times {
				next, act := sta.Next(work, epoch.Add(after))
				fmt.Fprintf(&bui, "%d requests, %d writes after %s: %s, %T%+v\n", work.Requests, work.Writes, after, next.Phase, act, act)
			}
		}
		return strings.ReplaceAll(strings.ReplaceAll(bui.String(), "<nil><nil>", "-"), "drainer.", "")
	})
	for _, pha := range phases {
		require.True(t, seen[pha], "no directive for phase %q", pha)
	}
}

// TestRun checks that a drain announces itself first, closes the listener unless a second
// signal arrives in the notice period, answers what is left at the end of its time, and
// returns ErrAborted only if it was ended early.
func TestRun(t *testing.T) {
	tts := []struct {
		name    string
		set     Settings
		signals int
		// left is the number of requests and of writes that never end.
		left    int
		aborted bool
		steps   []string
	}{
		{"all work ends", Settings{Notice: 50 * time.Millisecond, Timeout: time.Minute}, 0, 0, false, []string{"announce", "close"}},
		{"second signal", Settings{Notice: time.Minute, Timeout: time.Minute}, 1, 0, true, []string{"announce"}},
		{"timeout", Settings{Notice: time.Millisecond, Timeout: 50 * time.Millisecond}, 0, 1, true, []string{"announce", "close", "answer"}},
	}
	for _, tt := range tts {
		t.Run(tt.name, func(t *testing.T) {
			var steps []string
			var gat Gate
			requests := 3
			furtherSignals := make(chan int, 1)
			for range tt.signals {
				furtherSignals <- 1
			}
			err := Run(Host{
				Announce: func() { steps = append(steps, "announce") },
				Gate:     &gat,
				Close:    func() { steps = append(steps, "close") },
				Answer:   func() { steps = append(steps, "answer") },
				Requests: func() int {
					requests = max(tt.left, requests-1)
					return requests
				},
				Writes: func() int { return tt.left },
			}, tt.set, furtherSignals)
			require.Equal(t, tt.aborted, eris.Is(err, ErrAborted))
			require.Equal(t, tt.steps, steps)
			require.True(t, gat.Draining())
			require.False(t, gat.Permits(time.Now(), time.Now()))
		})
	}
}
