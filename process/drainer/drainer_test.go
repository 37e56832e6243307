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
	epoch    = time.Unix(1_700_000_000, 0)
	settings = Settings{Notice: 2 * time.Second, Timeout: 10 * time.Second}
	phases   = []Phase{Serving, Noticing, Closing, Ended}
	works    = []Progress{{}, {Requests: 1}, {Writes: 1}, {Requests: 2, Writes: 3}}
	times    = []time.Duration{0, 2 * time.Second, 10 * time.Second, time.Hour}
)

// TestDrainMatrix runs every event in every phase. The data file holds a
// directive for each phase.
func TestDrainMatrix(t *testing.T) {
	see := map[Phase]bool{}
	datadriven.RunTest(t, "testdata/drain", func(t *testing.T, dat *datadriven.TestData) string {
		var nam string
		dat.ScanArgs(t, "phase", &nam)
		pha := Phase(strings.TrimPrefix(nam, "Serving"))
		see[pha] = true
		sta := State{Settings: settings, Phase: pha, Began: epoch, Closed: epoch}
		var bui strings.Builder
		nex, act := sta.Next(Signal{}, epoch)
		fmt.Fprintf(&bui, "signal: %s, %T%+v\n", nex.Phase, act, act)
		for _, wor := range works {
			for _, aft := range times {
				nex, act := sta.Next(wor, epoch.Add(aft))
				fmt.Fprintf(&bui, "%d requests, %d writes after %s: %s, %T%+v\n", wor.Requests, wor.Writes, aft, nex.Phase, act, act)
			}
		}
		return strings.ReplaceAll(strings.ReplaceAll(bui.String(), "<nil><nil>", "-"), "drainer.", "")
	})
	for _, pha := range phases {
		require.True(t, see[pha], "no cell for phase %q", pha)
	}
}

func TestRun(t *testing.T) {
	tts := []struct {
		name    string
		set     Settings
		signals int
		// left is the work that never ends.
		left int
		cut  bool
	}{
		{"all work ends", Settings{Notice: 50 * time.Millisecond, Timeout: time.Minute}, 0, 0, false},
		{"second signal", Settings{Notice: time.Minute, Timeout: time.Minute}, 1, 0, true},
		{"timeout", Settings{Notice: time.Millisecond, Timeout: 50 * time.Millisecond}, 0, 1, true},
	}
	for _, tt := range tts {
		t.Run(tt.name, func(t *testing.T) {
			var steps []string
			requests := 3
			again := make(chan int, 1)
			for range tt.signals {
				again <- 1
			}
			err := Run(Host{
				Announce: func() { steps = append(steps, "announce") },
				Close:    func() { steps = append(steps, "close") },
				Requests: func() int {
					requests = max(tt.left, requests-1)
					return requests
				},
				Writes: func() int { return tt.left },
			}, tt.set, again)
			require.Equal(t, tt.cut, eris.Is(err, ErrCut))
			require.Equal(t, "announce", steps[0])
			require.Equal(t, tt.signals == 0, len(steps) == 2)
		})
	}
}
