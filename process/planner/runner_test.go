package planner

import (
	"context"
	"testing"
	"time"

	"hemlockpin/version/parser"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
)

// idleEngines report no work.
type idleEngines struct{}

func (idleEngines) Load(context.Context, string) (Load, error) { return Load{Pace: 1}, nil }

// TestAnnouncedPlanStays announces a grant to a host that nobody has asked yet: its plan
// keeps the grant until the first ask comes.
func TestAnnouncedPlanStays(t *testing.T) {
	const interval = 5 * time.Millisecond
	run := &Runner{
		Loader:   idleEngines{},
		Engines:  func(parser.Pool, time.Time) []Engine { return []Engine{{ID: "e1", Address: "e1"}} },
		Pool:     func(string) (parser.Pool, bool) { return parser.Pool{Name: "llm", Batching: &batching}, true },
		Interval: interval, Clock: time.Now, Log: zerolog.Nop(), Scope: tally.NoopScope,
	}
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		run.Run(ctx)
	}()
	now := time.Now()
	run.Notify("llm", Held{
		Ask:   Ask{ID: "a", Host: "h", Prompt: Prompt{Tokens: 1000, MaxTokens: 1000, Target: now.Add(time.Second), Deadline: now.Add(time.Minute)}},
		Parts: []Part{{Endpoint: "e1"}}, Begun: true,
	})
	time.Sleep(10 * interval)
	require.Equal(t, 1, run.Granted("llm"))
	stop()
	<-done
}
