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

// TestNext applies the outcomes of testdata/decide one after another. An input line is
// an outcome and the time left; an output line is the decision.
func TestNext(t *testing.T) {
	datadriven.RunTest(t, "testdata/decide", func(t *testing.T, dat *datadriven.TestData) string {
		rou := parser.Route{FirstTarget: parser.Duration(300 * time.Millisecond)}
		dat.MaybeScanArgs(t, "attempts", &rou.MaxAttempts)
		rou.Repeatable = dat.Cmd == "repeatable"
		rou.Stream = dat.Cmd == "stream" || dat.Cmd == "resumable"
		rou.Resumable = dat.Cmd == "resumable"
		var sta State
		dat.MaybeScanArgs(t, "events", &sta.Events)
		dat.MaybeScanArgs(t, "framed", &sta.CallerFramed)
		sta.Numbered = sta.Events > 0
		dat.MaybeScanArgs(t, "numbered", &sta.Numbered)
		budget := true
		dat.MaybeScanArgs(t, "budget", &budget)
		var bui strings.Builder
		for line := range strings.SplitSeq(strings.TrimSpace(dat.Input), "\n") {
			name, left, _ := strings.Cut(line, " ")
			timeLeft, err := time.ParseDuration(strings.TrimSpace(left))
			require.NoError(t, err, line)
			var dec Decision
			sta, dec = Next(sta.WithSend(), outcomeNamed(t, name), SendLimits{Route: rou, Left: timeLeft, TakeRetry: func() bool { return budget }})
			fmt.Fprintf(&bui, "%s: %s\n", name, strings.TrimPrefix(fmt.Sprintf("%T%+v", dec, dec), "relayer."))
		}
		return bui.String()
	})
}

func outcomeNamed(t *testing.T, name string) Outcome {
	switch name {
	case "whole":
		return Whole{Framed: true}
	case "unframed":
		return Whole{}
	case "failure":
		return Answered{Status: 500}
	case "not-found":
		return Answered{Status: 404}
	case "not-run":
		return NotRun{}
	case "unreached":
		return Unreached{}
	case "quarantined":
		return Quarantined{}
	case "broken":
		return Broken{}
	case "time-sent":
		return TimedOut{Sent: true}
	case "time-unsent":
		return TimedOut{}
	case "stopping-sent":
		return Stopping{Sent: true}
	case "stopping-unsent":
		return Stopping{}
	case "gone":
		return CallerDisconnected{}
	}
	require.Fail(t, "unknown outcome", name)
	return nil
}
