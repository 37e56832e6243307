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
	// exportVariable is read by the exporters of the hosts.
	exportVariable = "OTEL_BSP_SCHEDULE_DELAY"
	exportMillis   = "500"
	exportPause    = 2 * time.Second
)

// tracing follows the long prompts of a run through the hosts' traces.
type tracing struct {
	exp *experiment
	col *collector.Collector

	mu   sync.Mutex
	ress []sender.Result
}

func (exp *experiment) newTracing() (*tracing, error) {
	if err := os.Setenv(exportVariable, exportMillis); err != nil {
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
	tra.ress = append(tra.ress, res)
}

// parts waits for the last export and splits the times of the prompts that were
// sent after the warm-up.
func (tra *tracing) parts(ctx context.Context, warmUp time.Duration) *summarizer.Parts {
	select {
	case <-time.After(exportPause):
	case <-ctx.Done():
	}
	spl := summarizer.NewPartsRecorder()
	for _, res := range tra.ress {
		if pla, ok := tra.col.Time(res.Trace, collector.PlacementSpan); ok && res.Request.At >= warmUp {
			spl.Add(pla, res.First, tra.exp.first(res.Request))
		}
	}
	return spl.Parts()
}
