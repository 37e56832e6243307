// Package tracer sets up the tracing of a host: a span for each hop, with the W3C trace
// context propagated through hosts, peers and endpoints.
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
	// flushTimeout limits the export of the remaining spans at shutdown.
	flushTimeout = 2 * time.Second
	// exportTimeout limits one request to the collector.
	exportTimeout = 2 * time.Second
	// maxQueuedSpans is the number of spans that are held while the collector is
	// unavailable. Further spans are dropped.
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
// the export of spans. shutdown exports the remaining spans within 2 s and
// ends the export.
func Start(ctx context.Context, set Settings, log zerolog.Logger) (shutdown func(), err error) {
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
	parsed, err := url.Parse(endpoint)
	if err == nil && strings.Trim(parsed.Path, "/") == "" {
		parsed.Path = tracesPath
		return parsed.String()
	}
	return endpoint
}

// errorLog logs only the first failure of the export, because the host can serve without
// the collector.
type errorLog struct {
	log    zerolog.Logger
	logged atomic.Bool
}

// Handle implements otel.ErrorHandler.
func (elo *errorLog) Handle(cause error) {
	if !elo.logged.Swap(true) {
		elo.log.Warn().Err(cause).Msg("export of spans failed; later failures are not logged")
	}
}
