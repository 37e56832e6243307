package hedger

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"hemlockpin/connection/invoker"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
)

// TestNext guards against dispatches beyond the budget and against NotRun for a call
// that may have run. It runs scripts of events; a retry is available for the events
// that end with a plus.
func TestNext(t *testing.T) {
	datadriven.RunTest(t, "testdata/calls", func(t *testing.T, dat *datadriven.TestData) string {
		var sta State
		var out strings.Builder
		for line := range strings.Lines(dat.Input) {
			line, retry := strings.CutSuffix(strings.TrimSpace(line), " +")
			name, arg, _ := strings.Cut(line, " ")
			eve := map[string]Event{
				"began": Began{}, "placed": Placed{Endpoint: arg}, "waited": DelayPassed{}, "replied": Replied{},
				"failed": Failed{Ran: invoker.Execution(arg)}, "unplaced": Refused{Code: "no_endpoint"}, "expired": Expired{},
			}[name]
			require.NotNil(t, eve, line)
			var act Action
			sta, act = sta.Next(eve, retry)
			fmt.Fprintf(&out, "%T%+v\n", act, act)
		}
		return strings.ReplaceAll(out.String(), "hedger.", "") + fmt.Sprintf("excluded %v", sta.Excluded)
	})
}

// TestDelay checks the delay for a pool where nearly all calls take 10 ms, then after
// all calls take 100 ms, and after a pause.
func TestDelay(t *testing.T) {
	var lat Latencies
	now := time.Unix(1_700_000_000, 0)
	observe := func(count int, latency time.Duration) {
		for range count {
			now = now.Add(50 * time.Millisecond)
			lat.Observe(latency, now)
		}
	}
	observe(minWeight-1, 10*time.Millisecond)
	_, ok := lat.Delay(now)
	require.False(t, ok)
	observe(400, 10*time.Millisecond)
	observe(10, time.Second)
	delay, ok := lat.Delay(now)
	require.True(t, ok)
	require.InEpsilon(t, 10*time.Millisecond, delay, bucketRatio-1)
	observe(2000, 100*time.Millisecond)
	delay, _ = lat.Delay(now)
	require.InEpsilon(t, 100*time.Millisecond, delay, bucketRatio-1)
	_, ok = lat.Delay(now.Add(10 * time.Minute))
	require.False(t, ok)
}
