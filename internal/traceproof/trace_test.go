// Package traceproof checks that the spans of a request form one whole tree
// over processes.
package traceproof

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"hemlockpin/connection/persister"
	"hemlockpin/internal/testkit"

	"github.com/stretchr/testify/require"
	collector "go.opentelemetry.io/proto/otlp/collector/trace/v1"
	"google.golang.org/protobuf/proto"
)

// exportTime is the batch interval of the exporter with room for a busy machine.
const exportTime = 30 * time.Second

const callerSpan = "00f067aa0ba902b7"

type span struct {
	id, parent, name string
	attributes       map[string]string
}

// sink stands in for a collector.
type sink struct {
	mu    sync.Mutex
	spans map[string][]span
}

// ServeHTTP takes an OTLP export.
func (sin *sink) ServeHTTP(wri http.ResponseWriter, htr *http.Request) {
	buf, err := io.ReadAll(htr.Body)
	var req collector.ExportTraceServiceRequest
	if err != nil || htr.URL.Path != "/v1/traces" || proto.Unmarshal(buf, &req) != nil {
		wri.WriteHeader(http.StatusBadRequest)
		return
	}
	sin.mu.Lock()
	defer sin.mu.Unlock()
	for _, res := range req.GetResourceSpans() {
		for _, sco := range res.GetScopeSpans() {
			for _, spa := range sco.GetSpans() {
				tra := hex.EncodeToString(spa.GetTraceId())
				one := span{id: hex.EncodeToString(spa.GetSpanId()), parent: hex.EncodeToString(spa.GetParentSpanId()), name: spa.GetName(), attributes: map[string]string{}}
				for _, att := range spa.GetAttributes() {
					one.attributes[att.GetKey()] = att.GetValue().GetStringValue()
				}
				sin.spans[tra] = append(sin.spans[tra], one)
			}
		}
	}
}

// root returns attributes of the span that the caller's span is parent of.
func (sin *sink) root(trace string, names ...string) []string {
	sin.mu.Lock()
	defer sin.mu.Unlock()
	var out []string
	for _, spa := range sin.spans[trace] {
		if spa.parent == callerSpan {
			for _, nam := range names {
				out = append(out, spa.attributes[nam])
			}
		}
	}
	return out
}

// tree prints the spans under a parent, children in the order of their names.
func (sin *sink) tree(trace string) string {
	sin.mu.Lock()
	defer sin.mu.Unlock()
	var bui strings.Builder
	var num int
	var walk func(parent, indent string)
	walk = func(parent, indent string) {
		spas := slices.DeleteFunc(slices.Clone(sin.spans[trace]), func(spa span) bool { return spa.parent != parent })
		slices.SortFunc(spas, func(one, two span) int { return strings.Compare(one.name, two.name) })
		for _, spa := range spas {
			num++
			bui.WriteString(indent + spa.name + "\n")
			walk(spa.id, indent+"  ")
		}
	}
	walk(callerSpan, "")
	if num < len(sin.spans[trace]) {
		fmt.Fprintf(&bui, "%d spans without a parent\n", len(sin.spans[trace])-num)
	}
	return bui.String()
}

// post sends a request and returns the identifier that the host gave it.
func post(t *testing.T, url, trace, body string) string {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, bytes.NewBufferString(body))
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+testkit.Key)
	req.Header.Set("Idempotency-Key", "booking-"+trace)
	req.Header.Set("Idempotency-Key-Time", time.Now().UTC().Format(time.RFC3339))
	req.Header.Set("Traceparent", "00-"+trace+"-"+callerSpan+"-01")
	res, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer res.Body.Close()
	txt, _ := io.ReadAll(res.Body)
	require.Equal(t, http.StatusOK, res.StatusCode, string(txt))
	return res.Header.Get("Hemlockpin-Request-Id")
}

func traceID(num int) string { return fmt.Sprintf("4bf92f3577b34da6a3ce929d0e0e%04d", num) }

// TestTree sends prompts and bookings whose callers trace them, and reads the
// spans back from the collector.
func TestTree(t *testing.T) {
	// The exporter of the hosts reads its interval, in milliseconds, from here.
	t.Setenv("OTEL_BSP_SCHEDULE_DELAY", "200")
	sin := &sink{spans: map[string][]span{}}
	col := httptest.NewServer(sin)
	defer col.Close()
	heard := make(chan string, 16)
	service := httptest.NewServer(http.HandlerFunc(func(wri http.ResponseWriter, htr *http.Request) {
		heard <- htr.Header.Get("Traceparent")
		fmt.Fprint(wri, "{}")
	}))
	defer service.Close()
	bin, err := testkit.Build()
	require.NoError(t, err)
	fle, err := testkit.Start(t.Context(), testkit.Plan{
		Bin: bin, Hosts: 3, Engines: 1, Model: testkit.Model, Tables: testkit.SampleTables(),
		HostArgs: []string{"--trace-endpoint", col.URL, "--trace-ratio", "0"},
	})
	require.NoError(t, err)
	t.Cleanup(fle.Stop)
	add := strings.TrimPrefix(service.URL, "http://")
	require.NoError(t, fle.List(t.Context(), persister.Entry{ID: "service-0", Kind: persister.KindService, Service: "counter", Address: add, DataCenter: "colombo"}))
	for _, hos := range fle.Hosts {
		require.NoError(t, testkit.Poll(t.Context(), exportTime, func() bool {
			sta, err := fle.Status(t.Context(), hos)
			return err == nil && slices.ContainsFunc(sta.Endpoints, func(ent persister.Entry) bool { return ent.ID == "service-0" })
		}))
	}
	var traces []string
	for ind, hos := range fle.Hosts {
		prompt, booking := traceID(10+ind), traceID(20+ind)
		id := post(t, "http://"+hos.Address+"/v1/completions", prompt, `{"model":"`+testkit.Model+`","prompt":"hum","max_tokens":3}`)
		post(t, "http://"+hos.Address+"/bookings", booking, `{}`)
		require.Contains(t, <-heard, booking)
		requireTree(t, sin, prompt, "prompt\n  admission\n  engine\n  placement\n")
		require.Equal(t, []string{id, "questions", "tailors", "whole"}, sin.root(prompt, "RequestID", "Route", "Team", "Outcome"))
		requireTree(t, sin, booking, "call\n  admission\n  claim\n  placement\n  service\n")
		traces = append(traces, prompt, booking)
	}
	// One prompt in three goes to a scheduler on its own host at most. The spans
	// of the other hosts come with their own exports.
	require.NoError(t, testkit.Poll(t.Context(), exportTime, func() bool {
		peers := 0
		for _, tra := range traces {
			peers += strings.Count(sin.tree(tra), "peer call\n      peer\n")
		}
		return peers >= 2
	}))
}

// requireTree compares the tree without the calls between hosts, which depend
// on who schedules and writes.
func requireTree(t *testing.T, sin *sink, trace, want string) {
	t.Helper()
	var got string
	err := testkit.Poll(t.Context(), exportTime, func() bool {
		var out []string
		for _, lin := range strings.SplitAfter(sin.tree(trace), "\n") {
			if !strings.HasPrefix(strings.TrimSpace(lin), "peer") {
				out = append(out, lin)
			}
		}
		got = strings.Join(out, "")
		return got == want
	})
	require.NoError(t, err, "the tree is\n%s", sin.tree(trace))
}
