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
	tracerName         = "hemlockpin"
	traceParent        = "traceparent"
	envelopeTypePrefix = "*messenger.Envelope_"
)

// startSpan starts a span of this host in the caller's trace.
func (ser *Server) startSpan(req *http.Request, name string) (context.Context, trace.Span) {
	ctx := otel.GetTextMapPropagator().Extract(req.Context(), propagation.HeaderCarrier(req.Header))
	return otel.Tracer(tracerName).Start(ctx, name, trace.WithSpanKind(trace.SpanKindServer), trace.WithAttributes(attribute.String("Host", ser.Settings.HostID)))
}

// endSpan ends a span with the error, if any.
func endSpan(spa trace.Span, err error) {
	if err != nil {
		spa.SetStatus(codes.Error, err.Error())
	}
	spa.End()
}

// endRequest ends the span of a request with the attributes of its outcome.
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

// peerClient sends a message to another host and returns its reply.
type peerClient interface {
	Call(ctx context.Context, address string, env *messenger.Envelope) (*messenger.Envelope, error)
}

// tracedPeers creates a span for each call to a peer that is part of a request's trace,
// and propagates the trace to the peer.
type tracedPeers struct{ peerClient }

// Call sends env within a span.
func (per tracedPeers) Call(ctx context.Context, address string, env *messenger.Envelope) (*messenger.Envelope, error) {
	if !trace.SpanContextFromContext(ctx).IsValid() {
		return per.peerClient.Call(ctx, address, env)
	}
	ctx, spa := otel.Tracer(tracerName).Start(ctx, "peer call", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("Peer", address), attribute.String("Message", messageName(env))))
	car := propagation.MapCarrier{}
	otel.GetTextMapPropagator().Inject(ctx, car)
	env.TraceParent = car[traceParent]
	rep, err := per.peerClient.Call(ctx, address, env)
	endSpan(spa, err)
	return rep, err
}

func messageName(env *messenger.Envelope) string {
	return strings.TrimPrefix(fmt.Sprintf("%T", env.GetBody()), envelopeTypePrefix)
}

// logPanic counts and logs a panic in the handler of a peer's message.
func (ser *Server) logPanic(env *messenger.Envelope, cause any, stack []byte) {
	ser.scope.Counter("handler_panics").Inc(1)
	ser.Log.Error().Type("Message", env.GetBody()).Interface("Panic", cause).Str("Stack", string(stack)).Msg("handler of a peer's message panicked; the message is not answered")
}

// handlePeerTraced answers a message of another host by handlePeer, within a span if the
// message carries a trace.
func (ser *Server) handlePeerTraced(ctx context.Context, env *messenger.Envelope) *messenger.Envelope {
	if env.GetTraceParent() == "" {
		return ser.handlePeer(ctx, env)
	}
	ctx = otel.GetTextMapPropagator().Extract(ctx, propagation.MapCarrier{traceParent: env.GetTraceParent()})
	ctx, spa := otel.Tracer(tracerName).Start(ctx, "peer", trace.WithSpanKind(trace.SpanKindServer),
		trace.WithAttributes(attribute.String("Host", ser.Settings.HostID), attribute.String("Message", messageName(env))))
	defer spa.End()
	return ser.handlePeer(ctx, env)
}

// tracedAllocator creates a span for each placement.
type tracedAllocator struct{ executor.Allocator }

// Acquire places a request within a span.
func (all tracedAllocator) Acquire(ctx context.Context, req placer.Request, poo parser.Pool) (executor.Lease, error) {
	ctx, spa := otel.Tracer(tracerName).Start(ctx, "placement", trace.WithAttributes(
		attribute.String("Pool", poo.Name), attribute.Int64("PromptTokens", req.PromptTokens)))
	lea, err := all.Allocator.Acquire(ctx, req, poo)
	spa.SetAttributes(attribute.String("Endpoint", lea.Endpoint), attribute.Int("Group", len(lea.Group)))
	endSpan(spa, err)
	return lea, err
}

// tracedClaims creates a span for each change of a claim.
type tracedClaims struct{ executor.Claims }

// Commit commits a step of a claim within a span.
func (cla tracedClaims) Commit(ctx context.Context, com *messenger.ClaimCommit) *messenger.ClaimResult {
	ctx, spa := otel.Tracer(tracerName).Start(ctx, "claim", trace.WithAttributes(attribute.String("Step", com.GetStep().String())))
	defer spa.End()
	res := cla.Claims.Commit(ctx, com)
	spa.SetAttributes(attribute.String("State", res.GetState().String()))
	return res
}
