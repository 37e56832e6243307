// Package collector receives the spans that hosts export and sums up the time
// that each traced request spent in the spans of a name.
package collector

import (
	"encoding/hex"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	collector "go.opentelemetry.io/proto/otlp/collector/trace/v1"
	trace "go.opentelemetry.io/proto/otlp/trace/v1"
	"google.golang.org/protobuf/proto"
)

// PlacementSpan is the name of the spans in which a host waits for an engine.
const PlacementSpan = "placement"

const headerTimeout = 5 * time.Second

// Collector is an OTLP/HTTP trace collector on the loopback interface. Use Start.
type Collector struct {
	server *http.Server
	url    string

	mu sync.Mutex
	// times holds the total time by trace ID and span name.
	times map[string]map[string]time.Duration
}

// Start listens on a free port of the loopback interface and serves exports until
// Stop.
func Start() (*Collector, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "collector.Start")
	}
	col := &Collector{url: "http://" + lis.Addr().String(), times: map[string]map[string]time.Duration{}}
	col.server = &http.Server{Handler: col, ReadHeaderTimeout: headerTimeout}
	go func() { _ = col.server.Serve(lis) }()
	return col, nil
}

// URL returns the base URL for the exporters of the hosts.
func (col *Collector) URL() string { return col.url }

// Stop closes the listener and all connections.
func (col *Collector) Stop() { col.server.Close() }

// ServeHTTP receives one export.
func (col *Collector) ServeHTTP(wri http.ResponseWriter, htr *http.Request) {
	buf, err := io.ReadAll(htr.Body)
	var req collector.ExportTraceServiceRequest
	if err != nil || proto.Unmarshal(buf, &req) != nil {
		wri.WriteHeader(http.StatusBadRequest)
		return
	}
	col.mu.Lock()
	defer col.mu.Unlock()
	for _, res := range req.GetResourceSpans() {
		for _, sco := range res.GetScopeSpans() {
			for _, spa := range sco.GetSpans() {
				col.add(spa)
			}
		}
	}
}

func (col *Collector) add(spa *trace.Span) {
	traceID := hex.EncodeToString(spa.GetTraceId())
	if col.times[traceID] == nil {
		col.times[traceID] = map[string]time.Duration{}
	}
	col.times[traceID][spa.GetName()] += time.Duration(spa.GetEndTimeUnixNano() - spa.GetStartTimeUnixNano())
}

// Time returns the total time of the spans of a name in a trace, and whether such
// a span has arrived. The trace ID is in hexadecimal digits.
func (col *Collector) Time(traceID, name string) (time.Duration, bool) {
	col.mu.Lock()
	defer col.mu.Unlock()
	total, ok := col.times[traceID][name]
	return total, ok
}
