package server

import (
	"context"
	"fmt"
	"net/http"
	"strings"

	"hemlockpin/connection/messenger"
	"hemlockpin/request/executor"
	"hemlockpin/request/placer"
	"hemlockpin/request/responder"
	"hemlockpin/version/parser"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

const (
	traceScope    = "hemlockpin"
	traceParent   = "traceparent"
	messagePrefix = "*messenger.Envelope_"
)

// startSpan continues the caller's trace with this host's span.
func (ser *Server) startSpan(req *http.Request, name string) (context.Context, trace.Span) {
	ctx := otel.GetTextMapPropagator().Extract(req.Context(), propagation.HeaderCarrier(req.Header))
	return otel.Tracer(traceScope).Start(ctx, name, trace.WithSpanKind(trace.SpanKindServer), trace.WithAttributes(attribute.String("Host", ser.Settings.HostID)))
}

// endSpan ends a span with the error, if any.
func endSpan(spa trace.Span, err error) {
	if err != nil {
		spa.SetStatus(codes.Error, err.Error())
	}
	spa.End()
}

// endRequest ends the span of a request with what became of it.
func endRequest(spa trace.Span, wri http.ResponseWriter) {
	defer spa.End()
	rec, ok := wri.(*responder.Recorder)
	if !ok || !spa.IsRecording() {
		return
	}
	spa.SetAttributes(
		attribute.String("RequestID", rec.Header().Get(responder.RequestIDHeader)), attribute.String("Run", rec.Header().Get(responder.RunHeader)),
		attribute.String("Route", rec.Labels.Route), attribute.String("Team", rec.Labels.Team), attribute.Int64("PromptTokens", rec.Labels.PromptTokens),
		attribute.Int("Status", rec.Status), attribute.String("Code", rec.Code), attribute.String("Outcome", outcomeOf(rec)),
	)
	if out := outcomeOf(rec); out == outcomeFailed || out == outcomeCut {
		spa.SetStatus(codes.Error, rec.Code)
	}
}

// peerCaller sends a message to another host.
type peerCaller interface {
	Call(ctx context.Context, address string, env *messenger.Envelope) (*messenger.Envelope, error)
}

// tracedPeers gives each call that serves a request a span and passes the trace on.
type tracedPeers struct{ peerCaller }

// Call sends env within a span.
func (pee tracedPeers) Call(ctx context.Context, address string, env *messenger.Envelope) (*messenger.Envelope, error) {
	if !trace.SpanContextFromContext(ctx).IsValid() {
		return pee.peerCaller.Call(ctx, address, env)
	}
	ctx, spa := otel.Tracer(traceScope).Start(ctx, "peer call", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("Peer", address), attribute.String("Message", messageName(env))))
	car := propagation.MapCarrier{}
	otel.GetTextMapPropagator().Inject(ctx, car)
	env.TraceParent = car[traceParent]
	rep, err := pee.peerCaller.Call(ctx, address, env)
	endSpan(spa, err)
	return rep, err
}

func messageName(env *messenger.Envelope) string {
	return strings.TrimPrefix(fmt.Sprintf("%T", env.GetBody()), messagePrefix)
}

// notePanic logs a message of a peer that could not be answered.
func (ser *Server) notePanic(env *messenger.Envelope, cause any, stack []byte) {
	ser.scope.Counter("handler_panics").Inc(1)
	ser.Log.Error().Type("Message", env.GetBody()).Interface("Panic", cause).Str("Stack", string(stack)).Msg("a peer's message could not be answered")
}

// servePeer continues the trace of the request that a peer's call serves.
func (ser *Server) servePeer(ctx context.Context, env *messenger.Envelope) *messenger.Envelope {
	if env.GetTraceParent() == "" {
		return ser.handlePeer(ctx, env)
	}
	ctx = otel.GetTextMapPropagator().Extract(ctx, propagation.MapCarrier{traceParent: env.GetTraceParent()})
	ctx, spa := otel.Tracer(traceScope).Start(ctx, "peer", trace.WithSpanKind(trace.SpanKindServer),
		trace.WithAttributes(attribute.String("Host", ser.Settings.HostID), attribute.String("Message", messageName(env))))
	defer spa.End()
	return ser.handlePeer(ctx, env)
}

// tracedAllocator gives each placement a span.
type tracedAllocator struct{ executor.Allocator }

// Acquire places within a span.
func (all tracedAllocator) Acquire(ctx context.Context, req placer.Request, poo parser.Pool) (executor.Lease, error) {
	ctx, spa := otel.Tracer(traceScope).Start(ctx, "placement", trace.WithAttributes(
		attribute.String("Pool", poo.Name), attribute.Int64("PromptTokens", req.PromptTokens)))
	lea, err := all.Allocator.Acquire(ctx, req, poo)
	spa.SetAttributes(attribute.String("Endpoint", lea.Endpoint), attribute.Int("Group", len(lea.Group)))
	endSpan(spa, err)
	return lea, err
}

// tracedClaims gives each change of a claim a span.
type tracedClaims struct{ executor.Claims }

// Commit commits within a span.
func (cla tracedClaims) Commit(ctx context.Context, com *messenger.ClaimCommit) *messenger.ClaimResult {
	ctx, spa := otel.Tracer(traceScope).Start(ctx, "claim", trace.WithAttributes(attribute.String("Step", com.GetStep().String())))
	defer spa.End()
	res := cla.Claims.Commit(ctx, com)
	spa.SetAttributes(attribute.String("State", res.GetState().String()))
	return res
}
