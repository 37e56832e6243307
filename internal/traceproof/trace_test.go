// Package traceproof checks that the spans that several processes export for a
// request form one tree.
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

// exportTime bounds the wait for exported spans. It is far longer than the export
// interval, because the machine may be busy.
const exportTime = 30 * time.Second

const callerSpan = "00f067aa0ba902b7"

type span struct {
	id, parent, name string
	attributes       map[string]string
}

// spanCollector is an OTLP collector that keeps the spans of each trace in memory.
type spanCollector struct {
	mu    sync.Mutex
	spans map[string][]span
}

// ServeHTTP receives an OTLP export.
func (col *spanCollector) ServeHTTP(wri http.ResponseWriter, htr *http.Request) {
	buf, err := io.ReadAll(htr.Body)
	var req collector.ExportTraceServiceRequest
	if err != nil || htr.URL.Path != "/v1/traces" || proto.Unmarshal(buf, &req) != nil {
		wri.WriteHeader(http.StatusBadRequest)
		return
	}
	col.mu.Lock()
	defer col.mu.Unlock()
	for _, res := range req.GetResourceSpans() {
		for _, scope := range res.GetScopeSpans() {
			for _, spa := range scope.GetSpans() {
				trace := hex.EncodeToString(spa.GetTraceId())
				sp := span{id: hex.EncodeToString(spa.GetSpanId()), parent: hex.EncodeToString(spa.GetParentSpanId()), name: spa.GetName(), attributes: map[string]string{}}
				for _, attr := range spa.GetAttributes() {
					sp.attributes[attr.GetKey()] = attr.GetValue().GetStringValue()
				}
				col.spans[trace] = append(col.spans[trace], sp)
			}
		}
	}
}

// root returns the given attributes of the spans whose parent is the caller's span.
func (col *spanCollector) root(trace string, names ...string) []string {
	col.mu.Lock()
	defer col.mu.Unlock()
	var out []string
	for _, spa := range col.spans[trace] {
		if spa.parent == callerSpan {
			for _, name := range names {
				out = append(out, spa.attributes[name])
			}
		}
	}
	return out
}

// tree returns the spans of a trace as indented lines, siblings sorted by name, and
// the number of spans that are not below the caller's span.
func (col *spanCollector) tree(trace string) string {
	col.mu.Lock()
	defer col.mu.Unlock()
	var bui strings.Builder
	var n int
	var walk func(parent, indent string)
	walk = func(parent, indent string) {
		children := slices.DeleteFunc(slices.Clone(col.spans[trace]), func(spa span) bool { return spa.parent != parent })
		slices.SortFunc(children, func(sp, other span) int { return strings.Compare(sp.name, other.name) })
		for _, spa := range children {
			n++
			bui.WriteString(indent + spa.name + "\n")
			walk(spa.id, indent+"  ")
		}
	}
	walk(callerSpan, "")
	if n < len(col.spans[trace]) {
		fmt.Fprintf(&bui, "%d spans without a parent\n", len(col.spans[trace])-n)
	}
	return bui.String()
}

// post sends a request and returns the request ID that the host assigned.
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
	text, _ := io.ReadAll(res.Body)
	require.Equal(t, http.StatusOK, res.StatusCode, string(text))
	return res.Header.Get("Hemlockpin-Request-Id")
}

func traceID(n int) string { return fmt.Sprintf("4bf92f3577b34da6a3ce929d0e0e%04d", n) }

// TestTree sends prompts and bookings with the caller's trace context, and checks
// the spans that the hosts export.
func TestTree(t *testing.T) {
	// The exporter of the hosts reads its interval, in milliseconds, from here.
	t.Setenv("OTEL_BSP_SCHEDULE_DELAY", "200")
	col := &spanCollector{spans: map[string][]span{}}
	server := httptest.NewServer(col)
	defer server.Close()
	traceparents := make(chan string, 16)
	service := httptest.NewServer(http.HandlerFunc(func(wri http.ResponseWriter, htr *http.Request) {
		traceparents <- htr.Header.Get("Traceparent")
		fmt.Fprint(wri, "{}")
	}))
	defer service.Close()
	bin, err := testkit.Build()
	require.NoError(t, err)
	fle, err := testkit.Start(t.Context(), testkit.Plan{
		Bin: bin, Hosts: 3, Engines: 1, Model: testkit.Model, Tables: testkit.SampleTables(),
		HostArgs: []string{"--trace-endpoint", server.URL, "--trace-ratio", "0"},
	})
	require.NoError(t, err)
	t.Cleanup(fle.Stop)
	address := strings.TrimPrefix(service.URL, "http://")
	require.NoError(t, fle.List(t.Context(), persister.Entry{ID: "service-0", Kind: persister.KindService, Service: "counter", Address: address, DataCenter: "colombo"}))
	for _, host := range fle.Hosts {
		require.NoError(t, testkit.Poll(t.Context(), exportTime, func() bool {
			sta, err := fle.Status(t.Context(), host)
			return err == nil && slices.ContainsFunc(sta.Endpoints, func(entry persister.Entry) bool { return entry.ID == "service-0" })
		}))
	}
	var traces []string
	for i, host := range fle.Hosts {
		prompt, booking := traceID(10+i), traceID(20+i)
		id := post(t, "http://"+host.Address+"/v1/completions", prompt, `{"model":"`+testkit.Model+`","prompt":"hum","max_tokens":3}`)
		post(t, "http://"+host.Address+"/bookings", booking, `{}`)
		require.Contains(t, <-traceparents, booking)
		requireTree(t, col, prompt, "prompt\n  admission\n  engine\n  placement\n")
		require.Equal(t, []string{id, "questions", "tailors", "whole"}, col.root(prompt, "RequestID", "Route", "Team", "Outcome"))
		requireTree(t, col, booking, "call\n  admission\n  claim\n  placement\n  service\n")
		traces = append(traces, prompt, booking)
	}
	// At most one of the three hosts schedules locally; the other two call a peer.
	// The peer exports its spans separately, so they may arrive later.
	require.NoError(t, testkit.Poll(t.Context(), exportTime, func() bool {
		peers := 0
		for _, trace := range traces {
			peers += strings.Count(col.tree(trace), "peer call\n      peer\n")
		}
		return peers >= 2
	}))
}

// requireTree waits until the tree of a trace is as wanted. It leaves out the calls
// between hosts, which depend on the host that schedules or writes the claim.
func requireTree(t *testing.T, col *spanCollector, trace, want string) {
	t.Helper()
	var got string
	err := testkit.Poll(t.Context(), exportTime, func() bool {
		var out []string
		for _, line := range strings.SplitAfter(col.tree(trace), "\n") {
			if !strings.HasPrefix(strings.TrimSpace(line), "peer") {
				out = append(out, line)
			}
		}
		got = strings.Join(out, "")
		return got == want
	})
	require.NoError(t, err, "the tree is\n%s", col.tree(trace))
}
