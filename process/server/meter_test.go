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

// stream answers one prompt of the given length in three events; it ends with a
// problem if the path says so.
func stream(tokens int64) http.HandlerFunc {
	return func(wri http.ResponseWriter, htr *http.Request) {
		responder.Describe(wri, responder.Labels{Route: "questions", Pool: "pedal", Team: "tailors", PromptTokens: tokens})
		wri.Header().Set("Content-Type", "text/event-stream")
		wri.Header().Set(responder.RunHeader, string(invoker.Ran))
		for range 3 {
			fmt.Fprint(wri, "data: x\n\n")
			_ = http.NewResponseController(wri).Flush()
		}
		if htr.URL.Path == "/fail" {
			responder.WriteProblem(wri, responder.Problem{Status: http.StatusBadGateway, Code: "endpoint_failed", Ran: invoker.Ran})
		}
	}
}

// TestOutcomes reads the counters of refused, whole and failed requests.
func TestOutcomes(t *testing.T) {
	tt := []struct {
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
	for _, tc := range tt {
		t.Run(tc.name, func(t *testing.T) {
			ser, add := startEdge(t, edgeSettings(), tc.han)
			res, err := http.Post("http://"+add+tc.path, "application/json", strings.NewReader("{}"))
			require.NoError(t, err)
			_, _ = io.Copy(io.Discard, res.Body)
			res.Body.Close()
			for _, lin := range tc.want {
				require.Eventually(t, func() bool { return hasLine(ser, lin) }, edgeTimeout, 50*time.Millisecond, "%s", lin)
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

// TestMetricNames holds every metric to the naming of Prometheus.
func TestMetricNames(t *testing.T) {
	ser, _ := startEdge(t, edgeSettings(), nil)
	ser.gauge()
	require.Eventually(t, func() bool { return strings.Contains(scrape(ser), "hemlockpin_draining 0") }, edgeTimeout, 50*time.Millisecond)
	nam := regexp.MustCompile(`^hemlockpin_[a-z0-9_]+$`)
	for _, lin := range strings.Split(scrape(ser), "\n") {
		if fie := strings.Fields(lin); len(fie) > 2 && fie[1] == "TYPE" && strings.HasPrefix(fie[2], "hemlockpin") {
			require.Regexp(t, nam, fie[2])
		}
	}
}

// TestSeriesBound counts more routes than there may be counters.
func TestSeriesBound(t *testing.T) {
	cou := counters[requestSeries]{scope: tally.NoopScope, name: "requests"}
	for ind := range 2 * maxSeries {
		cou.get(requestSeries{route: fmt.Sprintf("route-%d", ind), outcome: outcomeWhole}).Inc(1)
	}
	require.Len(t, cou.known, maxSeries+1)
	require.Contains(t, cou.known, requestSeries{route: restTag, outcome: outcomeWhole})
}
