package planner

import (
	"time"

	"hemlockpin/version/parser"
)

// ms is a time in milliseconds, as engines' figures are.
type ms float64

func (dur ms) duration() time.Duration {
	return time.Duration(float64(dur) * float64(time.Millisecond))
}

func msOf(dur time.Duration) ms { return ms(dur.Seconds() * 1000) }

// figures are an engine's figures with the defaults of those left out.
type figures struct{ parser.Batching }

// Defaults of an engine that gives no figures.
const (
	assumedReadRate = 100_000
	assumedStride   = 1
	assumedSlots    = 8
	assumedAnswer   = 256
	assumedChunk    = 2048
)

func newFigures(bat parser.Batching) figures {
	if bat.ReadRate <= 0 {
		bat.ReadRate = assumedReadRate
	}
	if bat.Stride <= 0 {
		bat.Stride = assumedStride
	}
	if bat.Slots <= 0 {
		bat.Slots = assumedSlots
	}
	if bat.UsualAnswer <= 0 {
		bat.UsualAnswer = assumedAnswer
	}
	if bat.ChunkTokens <= 0 {
		bat.ChunkTokens = assumedChunk
	}
	return figures{bat}
}

// passTokens is the most that a pass reads beside the answers that it writes.
func (fig figures) passTokens() float64 { return float64(fig.ChunkTokens) * float64(fig.Stride) }

// read is the time in which one engine alone reads a prompt.
func (fig figures) read(tokens int64) ms {
	num := float64(tokens)
	return ms(num/fig.ReadRate*1000 + fig.PairsMs*num*num/2/1e6)
}

// pass is the time of a pass that writes answers, without what it reads.
func (fig figures) pass(answers int, context int64) ms {
	if answers == 0 {
		return 0
	}
	return ms(float64(fig.Stride) * (fig.StepMs + fig.SequenceMs*float64(answers) + fig.ContextMs*float64(context)/1000))
}

// answer is the expected time to write an answer.
func (fig figures) answer(tokens, context int64) ms {
	return ms(float64(tokens) * (fig.StepMs + fig.SequenceMs + fig.ContextMs*float64(context)/1000))
}
