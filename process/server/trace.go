package server

import (
	"context"
	"net/http"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

// startSpan continues the caller's trace with this host's span.
func (ser *Server) startSpan(req *http.Request, name string) (context.Context, trace.Span) {
	ctx := otel.GetTextMapPropagator().Extract(req.Context(), propagation.HeaderCarrier(req.Header))
	return otel.Tracer("hemlockpin").Start(ctx, name)
}
