// Package assembler puts the tokens of one request into order, whatever
// attempt they come from, and drops those that are late, doubled or of another
// request.
package assembler

import "hemlockpin/connection/invoker"

// Verdict says what to do with an event.
type Verdict int

// Verdicts.
const (
	// Deliver passes the token on to the caller.
	Deliver Verdict = iota
	// Drop ignores a token that was delivered before or is of an older attempt.
	Drop
	// Foreign marks an event of another request: the stream can't be trusted.
	Foreign
	// Gap marks a token beyond the next index: the stream can't be trusted.
	Gap
	// Excess marks a token beyond the limit that was asked for.
	Excess
	// Complete marks the true end of the answer.
	Complete
	// Short marks an end that does not fit the tokens that came.
	Short
)

var names = [...]string{"Deliver", "Drop", "Foreign", "Gap", "Excess", "Complete", "Short"}

// String returns the name of the verdict.
func (ver Verdict) String() string { return names[ver] }

// Reasons with which an engine ends an answer.
const (
	reasonLength = "length"
	reasonStop   = "stop"
)

// Assembler is the state of one answer. It is an immutable value.
type Assembler struct {
	RequestID string
	// Attempt is the current dispatch; events of others are dropped.
	Attempt int
	// Next is the index of the next token wanted.
	Next int64
	// MaxTokens is the limit that was asked for.
	MaxTokens int64
}

// WithAttempt returns the state for a new dispatch.
func (ass Assembler) WithAttempt(att int) Assembler {
	ass.Attempt = att
	return ass
}

// Token judges a token and returns the state after it.
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

// Finish judges the end of a stream. The engine must claim just the tokens that
// came, and may name the limit as its reason only when the limit is reached.
func (ass Assembler) Finish(fin invoker.Finish) Verdict {
	switch {
	case fin.RequestID != ass.RequestID:
		return Foreign
	case fin.Attempt != ass.Attempt:
		return Drop
	case fin.CompletionTokens != ass.Next:
		return Short
	case fin.Reason == reasonLength && ass.Next != ass.MaxTokens:
		return Short
	case fin.Reason != reasonLength && fin.Reason != reasonStop:
		return Short
	}
	return Complete
}
