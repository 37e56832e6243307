package server

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"testing"
	"time"

	"hemlockpin/connection/invoker"
	"hemlockpin/request/responder"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
)

// stream answers a prompt of the given length with three events, followed by an error if
// the path is /fail.
func stream(tokens int64) http.HandlerFunc {
	return func(wri http.ResponseWriter, req *http.Request) {
		responder.SetLabels(wri, responder.Labels{Route: "questions", Pool: "pedal", Team: "tailors", PromptTokens: tokens})
		wri.Header().Set("Content-Type", "text/event-stream")
		wri.Header().Set(responder.RunHeader, string(invoker.Ran))
		for range 3 {
			fmt.Fprint(wri, "data: x\n\n")
			_ = http.NewResponseController(wri).Flush()
		}
		if req.URL.Path == "/fail" {
			responder.WriteProblem(wri, responder.Problem{Status: http.StatusBadGateway, Code: "endpoint_failed", Execution: invoker.Ran})
		}
	}
}

// TestOutcomes checks the metrics of refused, complete and failed requests.
func TestOutcomes(t *testing.T) {
	tts := []struct {
		name string
		han  http.Handler
		path string
		want []string
	}{
		{"refused", nil, "/v1/completions", []string{
			`hemlockpin_requests{code="invalid_api_key",outcome="refused",route="none",run="NotRun"} 1`,
		}},
		{"whole", stream(100_000), "/", []string{
			`hemlockpin_requests{code="none",outcome="whole",route="questions",run="Ran"} 1`,
			`hemlockpin_team_requests{outcome="whole",team="tailors"} 1`,
			`hemlockpin_first_token_seconds_count{length="to_100k"} 1`,
			`hemlockpin_request_seconds_count{length="to_100k"} 1`,
			`hemlockpin_inter_token_seconds_count 2`,
		}},
		{"failed", stream(100_001), "/fail", []string{
			`hemlockpin_requests{code="endpoint_failed",outcome="failed",route="questions",run="Ran"} 1`,
			`hemlockpin_team_requests{outcome="failed",team="tailors"} 1`,
		}},
	}
	for _, tt := range tts {
		t.Run(tt.name, func(t *testing.T) {
			ser, addr := startEdge(t, edgeSettings(), tt.han)
			res, err := http.Post("http://"+addr+tt.path, "application/json", strings.NewReader("{}"))
			require.NoError(t, err)
			_, _ = io.Copy(io.Discard, res.Body)
			res.Body.Close()
			for _, line := range tt.want {
				require.Eventually(t, func() bool { return hasLine(ser, line) }, edgeTimeout, 50*time.Millisecond, "%s", line)
			}
		})
	}
}

func scrape(ser *Server) string {
	rec := httptest.NewRecorder()
	ser.metrics.ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	return rec.Body.String()
}

func hasLine(ser *Server, want string) bool {
	sca := bufio.NewScanner(strings.NewReader(scrape(ser)))
	for sca.Scan() {
		if sca.Text() == want {
			return true
		}
	}
	return false
}

// TestMetricNames checks that every metric's name follows the rules of Prometheus.
func TestMetricNames(t *testing.T) {
	ser, _ := startEdge(t, edgeSettings(), nil)
	ser.updateGauges()
	require.Eventually(t, func() bool { return strings.Contains(scrape(ser), "hemlockpin_draining 0") }, edgeTimeout, 50*time.Millisecond)
	name := regexp.MustCompile(`^hemlockpin_[a-z0-9_]+$`)
	for _, line := range strings.Split(scrape(ser), "\n") {
		if fie := strings.Fields(line); len(fie) > 2 && fie[1] == "TYPE" && strings.HasPrefix(fie[2], "hemlockpin") {
			require.Regexp(t, name, fie[2])
		}
	}
}

// TestSeriesBound counts requests of more routes than there may be counters: the further
// routes share one counter.
func TestSeriesBound(t *testing.T) {
	cou := seriesCounters[requestSeries]{scope: tally.NoopScope, name: "requests"}
	for i := range 2 * maxSeries {
		cou.counter(requestSeries{route: fmt.Sprintf("route-%d", i), outcome: outcomeWhole}).Inc(1)
	}
	require.Len(t, cou.bySeries, maxSeries+1)
	require.Contains(t, cou.bySeries, requestSeries{route: overflowValue, outcome: outcomeWhole})
}
