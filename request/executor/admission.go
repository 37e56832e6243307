package executor

import (
	"context"

	"hemlockpin/request/placer"
	"hemlockpin/version/parser"

	"go.opentelemetry.io/otel/attribute"
)

// admit requests admission within a trace span.
func (exe *Executor) admit(ctx context.Context, req placer.Request, tea parser.Team, poo parser.Pool) (release func(), ref *placer.Refuse) {
	_, spa := exe.Tracer.Start(ctx, "admission")
	defer spa.End()
	release, ref = exe.Admitter.Admit(req, tea, poo, exe.Clock())
	if ref != nil {
		spa.SetAttributes(attribute.String("Refused", ref.Code))
	}
	return release, ref
}
