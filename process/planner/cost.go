package planner

import (
	"time"

	"hemlockpin/version/parser"
)

// ms is a time in milliseconds, the unit of the engines' parameters.
type ms float64

func (dur ms) duration() time.Duration {
	return time.Duration(float64(boundMs(dur)) * float64(time.Millisecond))
}

func msOf(dur time.Duration) ms { return ms(dur.Seconds() * 1000) }

// costModel estimates how long engines take, from the pool's parameters with defaults for
// those that are left out.
type costModel struct{ parser.Batching }

// Defaults of parameters that are left out: prompt tokens per second, steps of a pass,
// requests, tokens of an answer, and tokens of a chunk.
const (
	defaultPrefillRate = 100_000
	defaultStride      = 1
	defaultSlots       = 8
	defaultUsualAnswer = 256
	defaultChunkTokens = 2048
)

func newCostModel(bat parser.Batching) costModel {
	bat = boundParameters(bat)
	if bat.ReadRate < 1 {
		bat.ReadRate = defaultPrefillRate
	}
	if bat.Stride <= 0 {
		bat.Stride = defaultStride
	}
	if bat.Slots <= 0 {
		bat.Slots = defaultSlots
	}
	if bat.UsualAnswer <= 0 {
		bat.UsualAnswer = defaultUsualAnswer
	}
	if bat.ChunkTokens <= 0 {
		bat.ChunkTokens = defaultChunkTokens
	}
	return costModel{bat}
}

// passTokens is the greatest number of prompt tokens that a pass prefills while it
// generates answers: a chunk in each of its Stride steps.
func (cos costModel) passTokens() float64 { return float64(cos.ChunkTokens) * float64(cos.Stride) }

// prefill is the time that one engine alone takes to prefill a prompt. PairsMs is the time
// for a million pairs of tokens, of which a prompt of n tokens has n²/2.
func (cos costModel) prefill(tokens int64) ms {
	n := float64(tokens)
	return boundMs(ms(n/cos.ReadRate*1000 + cos.PairsMs*n*n/2/1e6))
}

// decodePass is the time of a pass that generates a number of answers, without prefill.
func (cos costModel) decodePass(answers int, contextTokens int64) ms {
	if answers == 0 {
		return 0
	}
	return ms(float64(cos.Stride) * (cos.StepMs + cos.SequenceMs*float64(answers) + cos.ContextMs*float64(contextTokens)/1000))
}

// decodeAnswer is the expected time to generate an answer on an engine that generates no
// other.
func (cos costModel) decodeAnswer(tokens, contextTokens int64) ms {
	return ms(float64(tokens) * (cos.StepMs + cos.SequenceMs + cos.ContextMs*float64(contextTokens)/1000))
}
