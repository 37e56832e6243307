// Package relayer forwards one call of a caller to an endpoint, unchanged, and
// the endpoint's answer back: whole answers, and streams of events that may go
// on at another endpoint.
//
// Next decides what follows each send; Relayer carries it out.
package relayer

import (
	"context"
	"net/http"
	"time"

	"hemlockpin/process/registrar"
)

// Call is what a caller's headers say.
type Call struct {
	ID string
	// Key is the caller's key; empty if none was sent.
	Key string
	// TimeLeft is how long the caller waits; 0 if it does not say.
	TimeLeft time.Duration
	// LastEvent is the last event that the caller has of a stream that it resumes.
	LastEvent string
	// Model, PromptTokens and MaxTokens are set for prompts.
	Model        string
	PromptTokens int64
	MaxTokens    int64
	// AnswerTokens is the caller's estimate of its answer; 0 if it has none.
	AnswerTokens int64
}

// Helper is an engine that reads a part of a prompt for another one.
type Helper struct {
	Address string
	// Reservation names memory on the engine that holds a part of the prompt;
	// empty if it only reads.
	Reservation string
}

// Dispatch is what the host adds to a call that it sends to an endpoint.
type Dispatch struct {
	Endpoint  string
	Team      string
	TimeLeft  time.Duration
	LastEvent string
	Helpers   []Helper
}

// Answer is what an endpoint's headers say.
type Answer struct {
	// ID is that of the call that the answer belongs to; empty if it names none.
	ID string
	// Sealed answers carry the endpoint's proof that it made them.
	Sealed bool
	// NotRun says that the endpoint has not run the call and will not.
	NotRun bool
	// OtherEndpoint says that another endpoint has the address.
	OtherEndpoint bool
	// Fault is the address of the endpoint because of which the call failed;
	// empty for the one that was called.
	Fault string
}

// Codec translates the headers of calls and answers.
type Codec interface {
	// Call reads the headers of a caller.
	Call(hea http.Header) (Call, error)
	// Dispatch changes a copy of the caller's headers into those for an endpoint.
	Dispatch(hea http.Header, dis Dispatch)
	// Answer reads the headers of an endpoint's answer.
	Answer(status int, hea http.Header) Answer
	// Refuse sets the headers of an answer of the host itself.
	Refuse(hea http.Header, id string, retryAfter time.Duration)
}

// PlacementRequest requests an endpoint for a call.
type PlacementRequest struct {
	ID   string
	Pool string
	Team string
	// PromptTokens is 0 for calls that are no prompts.
	PromptTokens int64
	// MaxTokens bounds the answer, AnswerTokens is its expected length.
	MaxTokens    int64
	AnswerTokens int64
	Priority     int
	// Arrived is when the caller began to wait: for the first event, or for the one
	// after the last that it has.
	Arrived time.Time
	// Objective is the latency objective, and Pause that of pauses of a stream.
	Objective time.Duration
	Pause     time.Duration
	Deadline  time.Time
	// Excluded endpoints have failed the call.
	Excluded []string
	// Sends counts the endpoints to which the call was sent before.
	Sends int
}

// Lease is the right to send a call to an endpoint.
type Lease struct {
	Endpoint registrar.Endpoint
	Helpers  []Helper
	// ExpectedFirst is the expected time to the first event; 0 if unknown.
	ExpectedFirst time.Duration
	// Began tells that the first event has arrived, Failed that an endpoint at an
	// address failed the call (empty for the one that was called), End that the
	// call has ended there. End is idempotent.
	Began  func()
	Failed func(address string)
	End    func()
}

// RefusedError reports that no endpoint could be had.
type RefusedError struct {
	Code       string
	Message    string
	RetryAfter time.Duration
}

// Error formats the refusal.
func (err *RefusedError) Error() string { return err.Code + ": " + err.Message }

// Placer finds endpoints. Place may wait until the call's deadline.
type Placer interface {
	Place(ctx context.Context, ask PlacementRequest) (Lease, error)
}
