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
	nam, arg, _ := strings.Cut(strings.TrimSpace(line), " ")
	switch nam {
	case "claimed":
		arg, lef, _ := strings.Cut(arg, " left=")
		sta, ok := messenger.ClaimResult_State_value["STATE_"+arg]
		require.True(t, ok, line)
		dur, _ := time.ParseDuration(lef)
		return Claimed{State: messenger.ClaimResult_State(sta), Outcome: &messenger.Outcome{}, Left: dur}
	case "placed":
		return Placed{}
	case "no-endpoint":
		return NoEndpoint{}
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

// TestDecisions drives calls with an own key and with a made one.
func TestDecisions(t *testing.T) {
	datadriven.RunTest(t, "testdata/decisions", func(t *testing.T, td *datadriven.TestData) string {
		var bui strings.Builder
		var stas [2]State
		stas[0].CallerKey = true
		for line := range strings.Lines(td.Input) {
			eve := parseEvent(t, line)
			var outs [2]string
			for ind := range stas {
				sta, act := stas[ind].Next(eve)
				stas[ind] = sta
				outs[ind] = formatAction(act)
			}
			bui.WriteString(outs[0])
			if outs[1] != outs[0] {
				bui.WriteString(" | made key: " + outs[1])
			}
			bui.WriteByte('\n')
		}
		return bui.String()
	})
}

func TestParseKey(t *testing.T) {
	// A UUID of version 7 of the present time.
	const fresh = "01a24048-2680-7000-8000-000000000001"
	tests := []struct{ name, key, stamp, code string }{
		{"uuid", fresh, "", ""},
		{"uuid ignores the header", fresh, "2020-01-01T00:00:00Z", ""},
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
			key, fai := ParseKey(tt.key, tt.stamp, now, time.Minute)
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
	made := NewKey(now)
	require.False(t, made.FromCaller)
	require.Equal(t, now, made.Time)
}
