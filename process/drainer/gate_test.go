package drainer

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
)

// TestPermits checks which requests may be sent in each phase of a drain. An input line
// holds the time and the deadline of a request, both since the signal.
func TestPermits(t *testing.T) {
	seen := map[Phase]bool{}
	datadriven.RunTest(t, "testdata/permits", func(t *testing.T, dat *datadriven.TestData) string {
		var name, notice, timeout string
		dat.ScanArgs(t, "phase", &name)
		dat.ScanArgs(t, "notice", &notice)
		dat.ScanArgs(t, "timeout", &timeout)
		pha := Phase(strings.TrimPrefix(name, "Serving"))
		seen[pha] = true
		sta := State{Phase: pha, Settings: Settings{Notice: duration(t, notice), Timeout: duration(t, timeout)}}
		if pha != Serving {
			sta.StartedAt = epoch
			sta.ClosingAt = epoch.Add(sta.Settings.Notice)
			sta.AnsweringAt = sta.answersAt()
		}
		if pha == InNotice {
			sta.ClosingAt, sta.AnsweringAt = time.Time{}, time.Time{}
		}
		var bui strings.Builder
		for line := range strings.SplitSeq(strings.TrimSpace(dat.Input), "\n") {
			at, deadline, _ := strings.Cut(line, " ")
			fmt.Fprintf(&bui, "at %s, deadline %s: %t\n", at, deadline, sta.Permits(epoch.Add(duration(t, deadline)), epoch.Add(duration(t, at))))
		}
		return bui.String()
	})
	for _, pha := range phases {
		require.True(t, seen[pha], "no directive for phase %q", pha)
	}
}

func duration(t *testing.T, text string) time.Duration {
	dur, err := time.ParseDuration(text)
	require.NoError(t, err)
	return dur
}

// TestGate checks when the gate ends the contexts of requests and refuses those that have
// not been sent: a request that outlasts the drain when the notice ends, another one when
// the host answers what is left.
func TestGate(t *testing.T) {
	var gat Gate
	now := time.Now()
	sta := State{Settings: Settings{Notice: time.Minute, Timeout: time.Hour}, Phase: InNotice, StartedAt: now, ClosingAt: now}
	short, long := make(chan string, 8), make(chan string, 8)
	defer gat.OnRefusal(now.Add(time.Minute), func() { short <- "refused" })()
	defer gat.OnRefusal(now.Add(2*time.Hour), func() { long <- "refused" })()
	stop := gat.OnRefusal(now.Add(2*time.Hour), func() { long <- "refused after stop" })
	stop()
	ctx, end := gat.UntilAnswering(t.Context())
	defer end()
	require.False(t, gat.Draining())

	gat.Set(sta)
	require.True(t, gat.Draining())
	sta.Phase = Closing
	gat.Set(sta)
	require.Equal(t, "refused", <-long)
	require.NoError(t, ctx.Err())
	require.Empty(t, short)

	sta.Phase = Answering
	gat.Set(sta)
	<-ctx.Done()
	require.ErrorIs(t, context.Cause(ctx), ErrStopping)
	require.Equal(t, "refused", <-short)

	// A request that arrives now is refused too.
	defer gat.OnRefusal(now, func() { short <- "refused late" })()
	require.Equal(t, "refused late", <-short)
}

// TestNoGate checks that a host without a gate never drains.
func TestNoGate(t *testing.T) {
	var gat *Gate
	gat.Set(State{Phase: Ended})
	require.False(t, gat.Draining())
	require.True(t, gat.Permits(epoch, epoch))
	ctx, stop := gat.UntilAnswering(t.Context())
	defer stop()
	require.NoError(t, ctx.Err())
	gat.OnRefusal(epoch, func() { require.Fail(t, "refused") })()
}
