package claimer

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"hemlockpin/connection/invoker"
	"hemlockpin/connection/messenger"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
)

var now = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

func parseEvent(t *testing.T, line string) Event {
	t.Helper()
	name, arg, _ := strings.Cut(strings.TrimSpace(line), " ")
	switch name {
	case "claimed":
		arg, left, _ := strings.Cut(arg, " left=")
		sta, ok := messenger.ClaimResult_State_value["STATE_"+arg]
		require.True(t, ok, line)
		timeLeft, _ := time.ParseDuration(left)
		return Claimed{State: messenger.ClaimResult_State(sta), Outcome: &messenger.Outcome{}, Left: timeLeft}
	case "placed":
		return Placed{}
	case "no-endpoint":
		return Refused{}
	case "replied":
		return Replied{}
	case "failed":
		return Failed{Endpoint: "service-0", Ran: invoker.Execution(arg)}
	case "expired":
		return Expired{}
	}
	require.Fail(t, "unknown event", line)
	return nil
}

func formatAction(act Action) string {
	switch act := act.(type) {
	case Fail:
		return fmt.Sprintf("fail %d %s %s", act.Status, act.Code, act.Ran)
	case Await:
		return "await " + act.Pause.String()
	case Release:
		return "release, " + formatAction(act.Fail)
	default:
		return strings.ToLower(strings.TrimPrefix(fmt.Sprintf("%T", act), "claimer."))
	}
}

// TestNext guards against a second run of the call and against NotRun for a call that
// may have run. It applies scripts of events to a call with a key supplied by the
// caller and to a call with a generated key.
func TestNext(t *testing.T) {
	datadriven.RunTest(t, "testdata/decisions", func(t *testing.T, dat *datadriven.TestData) string {
		var bui strings.Builder
		var states [2]State
		states[0].KeyFromCaller = true
		for line := range strings.Lines(dat.Input) {
			eve := parseEvent(t, line)
			var outputs [2]string
			for i := range states {
				sta, act := states[i].Next(eve)
				states[i] = sta
				outputs[i] = formatAction(act)
			}
			bui.WriteString(outputs[0])
			if outputs[1] != outputs[0] {
				bui.WriteString(" | made key: " + outputs[1])
			}
			bui.WriteByte('\n')
		}
		return bui.String()
	})
}

func TestParseKey(t *testing.T) {
	// A UUID of version 7 with the time now.
	const recentKey = "01a24048-2680-7000-8000-000000000001"
	tests := []struct{ name, key, keyTimeText, code string }{
		{"uuid", recentKey, "", ""},
		{"uuid ignores the header", recentKey, "2020-01-01T00:00:00Z", ""},
		{"opaque with time", "order-7", "2026-12-04T08:59:00Z", ""},
		{"opaque without time", "order-7", "", "idempotency_key_time_missing"},
		{"random uuid", "6f1c1f4e-0d6b-4b0e-9a53-1f1d1f1d1f1d", "", "idempotency_key_time_missing"},
		{"bad time", "order-7", "yesterday", "idempotency_key_time_invalid"},
		{"future", "order-7", "2026-12-04T09:01:01Z", "idempotency_key_from_future"},
		{"within the skew", "order-7", "2026-12-04T09:01:00Z", ""},
		{"line break", "order\n7", "2026-12-04T08:59:00Z", "idempotency_key_invalid"},
		{"too long", strings.Repeat("x", MaxKeyBytes+1), "2026-12-04T08:59:00Z", "idempotency_key_invalid"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			key, fai := ParseKey(tt.key, tt.keyTimeText, now, time.Minute)
			if tt.code != "" {
				require.NotNil(t, fai)
				require.Equal(t, tt.code, fai.Code)
				require.Equal(t, 400, fai.Status)
				return
			}
			require.Nil(t, fai)
			require.True(t, key.FromCaller)
			require.Equal(t, tt.key, key.Text)
			require.WithinDuration(t, now, key.Time, time.Minute)
		})
	}
	generated := NewKey(now)
	require.False(t, generated.FromCaller)
	require.Equal(t, now, generated.Time)
}
