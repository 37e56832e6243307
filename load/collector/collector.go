// Package collector takes the spans that hosts export and adds up the time that
// each traced request spent in a step.
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

// Collector is an OTLP collector on loopback. Use Start.
type Collector struct {
	server *http.Server
	url    string

	mu    sync.Mutex
	times map[string]map[string]time.Duration
}

// Start listens on a free port of loopback.
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

// URL is the address for the hosts' exporters.
func (col *Collector) URL() string { return col.url }

// Stop ends the collector.
func (col *Collector) Stop() { col.server.Close() }

// ServeHTTP takes one export.
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
	id := hex.EncodeToString(spa.GetTraceId())
	if col.times[id] == nil {
		col.times[id] = map[string]time.Duration{}
	}
	col.times[id][spa.GetName()] += time.Duration(spa.GetEndTimeUnixNano() - spa.GetStartTimeUnixNano())
}

// Time returns the time that a traced request spent in spans of a name, and
// whether such a span has arrived.
func (col *Collector) Time(id, name string) (time.Duration, bool) {
	col.mu.Lock()
	defer col.mu.Unlock()
	dur, ok := col.times[id][name]
	return dur, ok
}
