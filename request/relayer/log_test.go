package relayer

import (
	"bytes"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// TestAddDecision guards against a send in the log without the reason of its decision.
func TestAddDecision(t *testing.T) {
	tests := []struct {
		out  Outcome
		dec  Decision
		want string
	}{
		{Whole{Framed: true}, Deliver{}, `{"Outcome":"whole","Framed":true,"Decision":"deliver"}`},
		{Answered{Status: 500}, Resend{}, `{"Outcome":"failure","Status":500,"Decision":"resend"}`},
		{NotRun{}, Refuse{Code: "endpoint_refused"}, `{"Outcome":"not_run","Decision":"refuse","Code":"endpoint_refused"}`},
		{Unreached{}, Resend{}, `{"Outcome":"unreached","Decision":"resend"}`},
		{Broken{Cause: "reading the answer"}, Fail{Status: 502, Code: "endpoint_failed"}, `{"Outcome":"broken","Step":"reading the answer","Decision":"fail","Code":"endpoint_failed"}`},
		{TimedOut{Sent: true}, Cut{Code: "time_limit"}, `{"Outcome":"time_limit","Sent":true,"Decision":"cut","Code":"time_limit"}`},
		{Stopping{}, Refuse{Code: "host_stopping"}, `{"Outcome":"host_stopping","Sent":false,"Decision":"refuse","Code":"host_stopping"}`},
		{CallerDisconnected{}, Cut{Code: "caller_gone"}, `{"Outcome":"caller_gone","Decision":"cut","Code":"caller_gone"}`},
	}
	for _, tt := range tests {
		t.Run(outcomeLabel(tt.out), func(t *testing.T) {
			var buf bytes.Buffer
			log := zerolog.New(&buf)
			addDecision(log.Log().Str("Outcome", outcomeLabel(tt.out)), tt.out, tt.dec).Send()
			require.JSONEq(t, tt.want, buf.String())
		})
	}
}
