package main

import (
	"context"
	"os"
	"sync"
	"time"

	"hemlockpin/load/collector"
	"hemlockpin/load/mixer"
	"hemlockpin/load/sender"
	"hemlockpin/load/summarizer"
)

const (
	// exportVariable sets the delay of span exports in the hosts, in milliseconds.
	exportVariable = "OTEL_BSP_SCHEDULE_DELAY"
	exportDelayMs  = "500"
	// exportWait is the wait for the last export after a run.
	exportWait = 2 * time.Second
)

// tracing collects the hosts' traces of the large and huge prompts of a run.
type tracing struct {
	exp *experiment
	col *collector.Collector

	mu      sync.Mutex
	results []sender.Result
}

func (exp *experiment) newTracing() (*tracing, error) {
	if err := os.Setenv(exportVariable, exportDelayMs); err != nil {
		return nil, err
	}
	col, err := collector.Start()
	return &tracing{exp: exp, col: col}, err
}

func (tra *tracing) hostArgs() []string {
	return []string{"--trace-endpoint", tra.col.URL(), "--trace-ratio", "0"}
}

func isLong(req mixer.Request) bool {
	return req.Class == mixer.ClassLarge || req.Class == mixer.ClassHuge
}

func (tra *tracing) observe(res sender.Result) {
	if res.Trace == "" || res.Outcome != sender.Whole && res.Outcome != sender.Late {
		return
	}
	tra.mu.Lock()
	defer tra.mu.Unlock()
	tra.results = append(tra.results, res)
}

// parts waits for the last export and returns the parts of the time to first token
// of the prompts that were sent after the warm-up.
func (tra *tracing) parts(ctx context.Context, warmUp time.Duration) *summarizer.Parts {
	select {
	case <-time.After(exportWait):
	case <-ctx.Done():
	}
	rec := summarizer.NewPartsRecorder()
	for _, res := range tra.results {
		if placement, ok := tra.col.Time(res.Trace, collector.PlacementSpan); ok && res.Request.At >= warmUp {
			rec.Add(placement, res.First, tra.exp.idleFirstToken(res.Request))
		}
	}
	return rec.Parts()
}
