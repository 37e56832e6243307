// Package assembler checks that the tokens of one answer arrive complete and in order
// across its attempts. It drops duplicates and the tokens of other attempts, and
// detects gaps and events of other requests.
package assembler

import "hemlockpin/connection/invoker"

// Verdict is the result of checking an event of a stream.
type Verdict int

// Verdicts.
const (
	// Deliver means that the token is to be passed on to the caller.
	Deliver Verdict = iota
	// Drop means that the token was delivered before or belongs to another attempt, and
	// is to be ignored.
	Drop
	// Foreign means that the event belongs to another request, so that the stream is
	// unreliable.
	Foreign
	// Gap means that the token is beyond the next index, so that the stream is
	// unreliable.
	Gap
	// Excess means that the token exceeds the requested limit.
	Excess
	// Complete means that the answer has ended and is complete.
	Complete
	// Mismatch means that the end of the stream does not match the received tokens, or
	// that its reason is unknown.
	Mismatch
)

var verdictNames = [...]string{"Deliver", "Drop", "Foreign", "Gap", "Excess", "Complete", "Short"}

// String returns the name of the verdict.
func (ver Verdict) String() string { return verdictNames[ver] }

// Reasons that an engine gives for the end of an answer.
const (
	reasonLength = "length"
	reasonStop   = "stop"
)

// Assembler is the state of one answer. It is an immutable value.
type Assembler struct {
	RequestID string
	// Attempt is the number of the current dispatch; events of other attempts are
	// dropped.
	Attempt int
	// Next is the index of the next expected token.
	Next int64
	// MaxTokens is the requested limit.
	MaxTokens int64
}

// WithAttempt returns the state for a new dispatch.
func (ass Assembler) WithAttempt(att int) Assembler {
	ass.Attempt = att
	return ass
}

// Token checks a token and returns the state after it.
func (ass Assembler) Token(tok invoker.Token) (Assembler, Verdict) {
	switch {
	case tok.RequestID != ass.RequestID:
		return ass, Foreign
	case tok.Attempt != ass.Attempt, tok.Index < ass.Next:
		return ass, Drop
	case tok.Index > ass.Next:
		return ass, Gap
	case ass.Next >= ass.MaxTokens:
		return ass, Excess
	}
	ass.Next++
	return ass, Deliver
}

// Finish checks the end of a stream. The engine's token count must equal the number of
// received tokens, and the engine may give the limit as its reason only if the answer
// has reached the limit.
func (ass Assembler) Finish(fin invoker.Finish) Verdict {
	switch {
	case fin.RequestID != ass.RequestID:
		return Foreign
	case fin.Attempt != ass.Attempt:
		return Drop
	case fin.CompletionTokens != ass.Next:
		return Mismatch
	case fin.Reason == reasonLength && ass.Next != ass.MaxTokens:
		return Mismatch
	case fin.Reason != reasonLength && fin.Reason != reasonStop:
		return Mismatch
	}
	return Complete
}
