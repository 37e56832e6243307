// Package tracer sets up the traces of an entry host: a span for each hop, with
// the W3C trace context passed through hosts, peers and endpoints.
package tracer

import (
	"context"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	"go.opentelemetry.io/otel/sdk/trace"
)

const (
	flushTimeout  = 2 * time.Second
	exportTimeout = 2 * time.Second
	// maxQueuedSpans bounds the memory for spans while the collector is out.
	maxQueuedSpans = 2048
	serviceName    = "hemlockpind"
	tracesPath     = "/v1/traces"
)

// Settings say where the spans of a host go.
type Settings struct {
	// Endpoint is the URL of an OTLP collector; empty for no export.
	Endpoint string
	// Ratio is the share of requests traced where the caller has not decided.
	Ratio      float64
	Host       string
	DataCenter string
}

// Start sets the trace context's propagation for the process, and the export of
// spans if there is a collector. flush sends what is left.
func Start(ctx context.Context, set Settings, log zerolog.Logger) (flush func(), err error) {
	otel.SetTextMapPropagator(propagation.TraceContext{})
	if set.Endpoint == "" {
		return func() {}, nil
	}
	otel.SetErrorHandler(&errorLog{log: log})
	exp, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(withDefaultPath(set.Endpoint)), otlptracehttp.WithTimeout(exportTimeout))
	if err != nil {
		return nil, eris.Wrapf(err, "tracer.Start: collector %s", set.Endpoint)
	}
	pro := trace.NewTracerProvider(
		trace.WithBatcher(exp, trace.WithMaxQueueSize(maxQueuedSpans)),
		trace.WithSampler(trace.ParentBased(trace.TraceIDRatioBased(set.Ratio))),
		trace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", serviceName),
			attribute.String("service.instance.id", set.Host),
			attribute.String("DataCenter", set.DataCenter),
		)),
	)
	otel.SetTracerProvider(pro)
	return func() {
		ctx, stop := context.WithTimeout(context.Background(), flushTimeout)
		defer stop()
		_ = pro.Shutdown(ctx)
	}, nil
}

// withPath adds the usual path of traces to a collector's URL without one.
func withDefaultPath(endpoint string) string {
	ure, err := url.Parse(endpoint)
	if err == nil && strings.Trim(ure.Path, "/") == "" {
		ure.Path = tracesPath
		return ure.String()
	}
	return endpoint
}

// errorLog logs the first failure of the export only; the collector is not
// needed for serving.
type errorLog struct {
	log    zerolog.Logger
	logged atomic.Bool
}

// Handle takes one failure.
func (err *errorLog) Handle(cause error) {
	if !err.logged.Swap(true) {
		err.log.Warn().Err(cause).Msg("spans are not exported")
	}
}
