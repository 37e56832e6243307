// Package tracer sets up the tracing of an entry host: a span for each hop, with the
// W3C trace context propagated through hosts, peers and endpoints.
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
	// maxQueuedSpans limits the memory for spans while the collector is unavailable.
	maxQueuedSpans = 2048
	serviceName    = "hemlockpind"
	tracesPath     = "/v1/traces"
)

// Settings configure the export of a host's spans.
type Settings struct {
	// Endpoint is the URL of the OTLP collector; empty for no export.
	Endpoint string
	// Ratio is the share of requests, 0 to 1, that are traced if the caller's trace
	// context does not decide.
	Ratio      float64
	Host       string
	DataCenter string
}

// Start sets up trace context propagation for the process and, if there is a collector,
// the export of spans. flush exports the remaining spans and waits up to 2 s for it.
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

// withDefaultPath adds the default OTLP path of traces to a URL that has no path.
func withDefaultPath(endpoint string) string {
	ure, err := url.Parse(endpoint)
	if err == nil && strings.Trim(ure.Path, "/") == "" {
		ure.Path = tracesPath
		return ure.String()
	}
	return endpoint
}

// errorLog logs only the first failure of the export, because the host can serve without
// the collector.
type errorLog struct {
	log    zerolog.Logger
	logged atomic.Bool
}

// Handle logs the failure if it is the first.
func (err *errorLog) Handle(cause error) {
	if !err.logged.Swap(true) {
		err.log.Warn().Err(cause).Msg("export of spans failed; later failures are not logged")
	}
}
