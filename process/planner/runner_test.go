package planner

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"hemlockpin/version/parser"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
)

// idleEngines report no load.
type idleEngines struct{}

func (idleEngines) Load(context.Context, string) (Load, error) { return Load{Pace: 1}, nil }

// TestAnnouncedGrantKeepsPlan announces a grant to a host that has received no request yet.
// The host must keep the plan with the grant until the first request arrives; otherwise it
// plans over engines that are in use.
func TestAnnouncedGrantKeepsPlan(t *testing.T) {
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
	run.Notify("llm", Announced{
		Request: Request{ID: "a", Host: "h", Prompt: Prompt{Tokens: 1000, MaxTokens: 1000, Target: now.Add(time.Second), Deadline: now.Add(time.Minute)}},
		Parts:   []Part{{Endpoint: "e1"}}, Began: true,
	})
	time.Sleep(10 * interval)
	require.Equal(t, 1, run.Granted("llm"))
	stop()
	<-done
}

// countingLoader counts the reports that are read.
type countingLoader struct{ count atomic.Int64 }

func (loa *countingLoader) Load(context.Context, string) (Load, error) {
	loa.count.Add(1)
	return Load{Pace: 1}, nil
}

// TestReportRateIsBounded checks that the rate at which reports are read grows with the
// number of engines only up to a bound.
func TestReportRateIsBounded(t *testing.T) {
	// least and most bound the reports read in 10 s: two reports per second of every
	// engine, but at most maxReportRate per second after the plan's first poll.
	tts := []struct{ engines, least, most int }{{14, 14 * 18, 14 * 23}, {112, 112 * 18, 112 * 23}, {3000, 10 * 200, 3000 + 10*maxReportRate}}
	for _, tt := range tts {
		t.Run(fmt.Sprint(tt.engines), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var engines []Engine
				for i := range tt.engines {
					engines = append(engines, Engine{ID: fmt.Sprint(i), Address: fmt.Sprint(i)})
				}
				var loader countingLoader
				run := &Runner{
					Loader: &loader, Engines: func(parser.Pool, time.Time) []Engine { return engines },
					Pool:     func(string) (parser.Pool, bool) { return parser.Pool{Name: "llm", Batching: &batching}, true },
					Interval: 500 * time.Millisecond, Clock: time.Now, Log: zerolog.Nop(), Scope: tally.NoopScope,
				}
				ctx, stop := context.WithCancel(t.Context())
				go run.Run(ctx)
				for range 10 {
					now := time.Now()
					run.Submit(ctx, "llm", Request{ID: fmt.Sprint(now.UnixNano()), Host: "h", Prompt: Prompt{Tokens: 1000, Target: now.Add(time.Second), Deadline: now.Add(10 * time.Second), Objective: time.Second}}, time.Millisecond)
					time.Sleep(time.Second)
				}
				require.GreaterOrEqual(t, int(loader.count.Load()), tt.least)
				require.LessOrEqual(t, int(loader.count.Load()), tt.most)
				stop()
				synctest.Wait()
			})
		})
	}
}

// invalidEngines report an invalid pace, but for one.
type invalidEngines struct{}

func (invalidEngines) Load(_ context.Context, address string) (Load, error) {
	if address == "sound" {
		return Load{Pace: 1}, nil
	}
	return Load{Pace: 1e300}, nil
}

// TestInvalidReportIsLoggedOnce guards against an invalid report that stops the plan, that keeps its
// engine in use, or that fills the log with a line for each report.
func TestInvalidReportIsLoggedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		run := &Runner{
			Loader: invalidEngines{},
			Engines: func(parser.Pool, time.Time) []Engine {
				return []Engine{{ID: "invalid", Address: "invalid"}, {ID: "sound", Address: "sound"}}
			},
			Pool:     func(string) (parser.Pool, bool) { return parser.Pool{Name: "llm", Batching: &batching}, true },
			Interval: 200 * time.Millisecond, Clock: time.Now, Log: zerolog.New(&out), Scope: tally.NoopScope,
		}
		ctx, stop := context.WithCancel(t.Context())
		go run.Run(ctx)
		for i := range 10 {
			now := time.Now()
			act := run.Submit(ctx, "llm", Request{ID: fmt.Sprint(i), Host: "h", Prompt: Prompt{Tokens: 1000, Target: now.Add(time.Second), Deadline: now.Add(10 * time.Second), Objective: time.Second}}, time.Second)
			if i > 2 {
				require.IsType(t, Assign{}, act)
				require.Equal(t, "sound", act.(Assign).Parts[0].Endpoint)
			}
			run.Notify("llm", Ended{ID: fmt.Sprint(i)})
			time.Sleep(time.Second)
		}
		stop()
		synctest.Wait()
		require.Equal(t, 1, strings.Count(out.String(), "invalid engine report"))
	})
}

// undecodableEngines send reports that can't be decoded.
type undecodableEngines struct{}

func (undecodableEngines) Load(context.Context, string) (Load, error) {
	return Load{}, &ReportError{Problem: "running: number 2.5 is not a whole number"}
}

// TestUndecodableReportIsTold guards against a report that can't be decoded and that only shows as an
// engine without prompts.
func TestUndecodableReportIsTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		scope := tally.NewTestScope("", nil)
		run := &Runner{
			Loader: undecodableEngines{}, Engines: func(parser.Pool, time.Time) []Engine { return []Engine{{ID: "e", Address: "e"}} },
			Pool:     func(string) (parser.Pool, bool) { return parser.Pool{Name: "llm", Batching: &batching}, true },
			Interval: 200 * time.Millisecond, Clock: time.Now, Log: zerolog.New(&out), Scope: scope,
		}
		ctx, stop := context.WithCancel(t.Context())
		go run.Run(ctx)
		run.Submit(ctx, "llm", Request{ID: "r", Host: "h", Prompt: Prompt{Tokens: 1000, Objective: time.Second, Deadline: time.Now().Add(time.Minute)}}, time.Second)
		time.Sleep(2 * time.Second)
		stop()
		synctest.Wait()
		require.Equal(t, 1, strings.Count(out.String(), "running: number 2.5 is not a whole number"))
		require.EqualValues(t, 1, scope.Snapshot().Counters()["invalid_reports+"].Value())
	})
}
