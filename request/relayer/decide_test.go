package relayer

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"hemlockpin/version/parser"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
)

// TestNext plays the outcomes of testdata/decide against the decision. A line is
// an outcome and the time left; the output is the decision.
func TestNext(t *testing.T) {
	datadriven.RunTest(t, "testdata/decide", func(t *testing.T, dat *datadriven.TestData) string {
		rou := parser.Route{FirstTarget: parser.Duration(300 * time.Millisecond)}
		dat.MaybeScanArgs(t, "attempts", &rou.MaxAttempts)
		rou.Repeatable = dat.Cmd == "repeatable"
		rou.Stream = dat.Cmd == "stream" || dat.Cmd == "resumable"
		rou.Resumable = dat.Cmd == "resumable"
		var sta State
		dat.MaybeScanArgs(t, "events", &sta.Events)
		budget := true
		dat.MaybeScanArgs(t, "budget", &budget)
		var bui strings.Builder
		for lin := range strings.SplitSeq(strings.TrimSpace(dat.Input), "\n") {
			nam, lef, _ := strings.Cut(lin, " ")
			dur, err := time.ParseDuration(strings.TrimSpace(lef))
			require.NoError(t, err, lin)
			var dec Decision
			sta, dec = Next(sta.WithSend(), outcomeNamed(t, nam), SendLimits{Route: rou, Left: dur, TakeRetry: func() bool { return budget }})
			fmt.Fprintf(&bui, "%s: %s\n", nam, strings.TrimPrefix(fmt.Sprintf("%T%+v", dec, dec), "relayer."))
		}
		return bui.String()
	})
}

func outcomeNamed(t *testing.T, nam string) Outcome {
	switch nam {
	case "whole":
		return Whole{}
	case "failure":
		return Answered{Status: 500}
	case "not-found":
		return Answered{Status: 404}
	case "not-run":
		return NotRun{}
	case "unreached":
		return Unreached{}
	case "broken":
		return Broken{}
	case "time-sent":
		return TimedOut{Sent: true}
	case "time-unsent":
		return TimedOut{}
	case "gone":
		return CallerDisconnected{}
	}
	require.Fail(t, "no outcome", nam)
	return nil
}
