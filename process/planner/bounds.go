package planner

import (
	"fmt"
	"math"
	"time"

	"hemlockpin/version/parser"
)

// Bounds of the values of tables, peers, callers and engines, far above those that make
// sense. Within them, no sum of the model overflows.
const (
	// maxTokens bounds lengths and memory in tokens.
	maxTokens = 1 << 40
	// maxCount bounds the requests and the steps of an engine.
	maxCount = 1 << 20
	// maxFigure bounds the engines' parameters in ms.
	maxFigure = 1e9
	// maxPace bounds the factor by which an engine reports that it is slower.
	maxPace = 1e4
	// maxPass is the longest pass of the model, and maxTime its longest time, in ms.
	maxPass = ms(time.Minute / time.Millisecond)
	maxTime = ms(24 * time.Hour / time.Millisecond)
)

// boundMs keeps a time within maxTime. No number counts as 0.
func boundMs(dur ms) ms {
	if math.IsNaN(float64(dur)) {
		return 0
	}
	return min(maxTime, max(-maxTime, dur))
}

func boundTokens(n int64) int64 { return min(maxTokens, max(0, n)) }

func boundFigure(value float64) float64 {
	if math.IsNaN(value) {
		return 0
	}
	return min(maxFigure, max(0, value))
}

// boundParameters keeps the parameters of a pool's engines within bounds.
func boundParameters(bat parser.Batching) parser.Batching {
	bat.Slots, bat.Stride = min(maxCount, bat.Slots), min(maxCount, bat.Stride)
	bat.MemoryTokens, bat.ChunkTokens = boundTokens(bat.MemoryTokens), boundTokens(bat.ChunkTokens)
	bat.UsualPrompt, bat.UsualAnswer = boundTokens(bat.UsualPrompt), boundTokens(bat.UsualAnswer)
	for _, figure := range []*float64{&bat.StepMs, &bat.SequenceMs, &bat.ContextMs, &bat.ReadRate, &bat.PairsMs, &bat.HopMs, &bat.ReportLagMs} {
		*figure = boundFigure(*figure)
	}
	return bat
}

// withinBounds returns the prompt with lengths and times within bounds.
func (pro Prompt) withinBounds(now time.Time) Prompt {
	pro.Tokens, pro.MaxTokens, pro.AnswerTokens = boundTokens(pro.Tokens), boundTokens(pro.MaxTokens), boundTokens(pro.AnswerTokens)
	pro.Objective, pro.Pause = max(0, boundTime(pro.Objective)), max(0, boundTime(pro.Pause))
	pro.Target, pro.Deadline = now.Add(boundTime(pro.Target.Sub(now))), now.Add(boundTime(pro.Deadline.Sub(now)))
	return pro
}

func boundTime(dur time.Duration) time.Duration {
	return min(maxTime.duration(), max(-maxTime.duration(), dur))
}

// problem returns why a report can't be used, or an empty string if it can.
func (loa Load) problem() string {
	switch {
	case loa.Running < 0, loa.Running > maxCount, loa.Waiting < 0, loa.Waiting > maxCount:
		return fmt.Sprintf("%d running and %d waiting requests", loa.Running, loa.Waiting)
	case loa.MemoryUsed < 0, loa.MemoryUsed > maxTokens:
		return fmt.Sprintf("%d tokens of memory used", loa.MemoryUsed)
	case math.IsNaN(loa.Pace), loa.Pace < 0, loa.Pace > maxPace:
		return fmt.Sprintf("pace %v", loa.Pace)
	}
	return ""
}
