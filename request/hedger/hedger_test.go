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

// TestCalls runs scripts of events; a line that ends with a plus has a retry.
func TestCalls(t *testing.T) {
	datadriven.RunTest(t, "testdata/calls", func(t *testing.T, dat *datadriven.TestData) string {
		var sta State
		var out strings.Builder
		for lin := range strings.Lines(dat.Input) {
			lin, retry := strings.CutSuffix(strings.TrimSpace(lin), " +")
			nam, arg, _ := strings.Cut(lin, " ")
			eve := map[string]Event{
				"began": Began{}, "placed": Placed{Endpoint: arg}, "waited": Waited{}, "replied": Replied{},
				"failed": Failed{Ran: invoker.Execution(arg)}, "unplaced": Unplaced{Code: "no_endpoint"}, "expired": Expired{},
			}[nam]
			require.NotNil(t, eve, lin)
			var act Action
			sta, act = sta.Next(eve, retry)
			fmt.Fprintf(&out, "%T%+v\n", act, act)
		}
		return strings.ReplaceAll(out.String(), "hedger.", "") + fmt.Sprintf("excluded %v", sta.Excluded)
	})
}

// TestDelay has nineteen of twenty calls take 10 ms, then all take 100 ms.
func TestDelay(t *testing.T) {
	var tim Latencies
	now := time.Unix(1_700_000_000, 0)
	observe := func(cou int, dur time.Duration) {
		for range cou {
			now = now.Add(50 * time.Millisecond)
			tim.Observe(dur, now)
		}
	}
	observe(minSamples-1, 10*time.Millisecond)
	_, ok := tim.Delay(now)
	require.False(t, ok)
	observe(400, 10*time.Millisecond)
	observe(10, time.Second)
	del, ok := tim.Delay(now)
	require.True(t, ok)
	require.InEpsilon(t, 10*time.Millisecond, del, bucketRatio-1)
	observe(2000, 100*time.Millisecond)
	del, _ = tim.Delay(now)
	require.InEpsilon(t, 100*time.Millisecond, del, bucketRatio-1)
	_, ok = tim.Delay(now.Add(10 * time.Minute))
	require.False(t, ok)
}
