// Package relayer forwards calls to endpoints unchanged, and passes their answers back:
// either complete answers, or streams of events that may continue on another endpoint.
//
// Next decides what follows each send; Relayer carries it out.
package relayer

import (
	"context"
	"net/http"
	"time"

	"hemlockpin/process/registrar"
)

// CallInfo holds what the headers of a call contain.
type CallInfo struct {
	ID string
	// Key is the caller's key; empty if the caller sent none.
	Key string
	// TimeLeft is how long the caller waits for the answer; 0 if the headers do not
	// say.
	TimeLeft time.Duration
	// LastEvent is the ID of the last event that the caller received, if it resumes a
	// stream.
	LastEvent string
	// Model, PromptTokens and MaxTokens are set for prompts only.
	Model        string
	PromptTokens int64
	MaxTokens    int64
	// AnswerTokens is the caller's estimate of the length of the answer; 0 if it sent
	// none.
	AnswerTokens int64
	// SharedParts are the IDs of the parts of the prompt that other prompts may contain
	// too, in their order; the last part, which no other call has, is left out.
	SharedParts []string
}

// Helper is an engine that prefills a prompt or holds a part of it for the engine that
// is called.
type Helper struct {
	Address string
	// Reservation identifies the memory reserved on an engine that holds a part of the
	// prompt; empty if the engine only prefills.
	Reservation string
}

// Dispatch holds what the host adds to the headers of a call that it sends to an
// endpoint.
type Dispatch struct {
	Endpoint  string
	Team      string
	TimeLeft  time.Duration
	LastEvent string
	Helpers   []Helper
}

// AnswerInfo holds what the headers of an endpoint's answer contain.
type AnswerInfo struct {
	// ID is the ID of the call that the answer belongs to; empty if the answer has
	// none.
	ID string
	// HasProof says that the answer carries proof that the endpoint produced it.
	HasProof bool
	// NotRun says that the endpoint has not run the call and will not run it.
	NotRun bool
	// OtherEndpoint says that another endpoint now has the address.
	OtherEndpoint bool
	// FaultyEndpoint is the address of the endpoint that caused the failure; empty if
	// the called endpoint caused it.
	FaultyEndpoint string
	// Limit is the number of calls a second that the endpoint takes from all hosts
	// together, if HasLimit is set.
	Limit    float64
	HasLimit bool
	// RetryAfter is the time for which the endpoint wants no calls of this host; 0 for none.
	RetryAfter time.Duration
	// Leaving says that the endpoint takes no new calls and will end.
	Leaving bool
	// Failed says that the endpoint ran the call and reports a failure of its own.
	Failed bool
}

// Codec translates the headers of calls and answers.
type Codec interface {
	// Call parses the headers of a caller.
	Call(hea http.Header) (CallInfo, error)
	// Dispatch changes a copy of the caller's headers into those for an endpoint.
	Dispatch(hea http.Header, dis Dispatch)
	// Answer parses the headers of an endpoint's answer.
	Answer(status int, hea http.Header) AnswerInfo
	// Unreadable returns the names of headers of a call or an answer whose numbers can't be read.
	// They count as absent.
	Unreadable(hea http.Header) []string
	// HostAnswer sets the headers of an answer that the host itself gives.
	HostAnswer(hea http.Header, id string, retryAfter time.Duration)
}

// PlacementRequest is a request for an endpoint for a call.
type PlacementRequest struct {
	ID   string
	Pool string
	Team string
	// PromptTokens is 0 for calls that are not prompts.
	PromptTokens int64
	// MaxTokens bounds the answer, AnswerTokens is its expected length.
	MaxTokens    int64
	AnswerTokens int64
	Priority     int
	// WaitingSince is when the caller began to wait for the next event: the arrival of
	// the call, or the time of the last event that was forwarded.
	WaitingSince time.Time
	// Objective is the latency objective for the first event, PauseObjective the
	// objective for the pauses between events.
	Objective      time.Duration
	PauseObjective time.Duration
	Deadline       time.Time
	// Excluded lists the endpoints that have failed the call.
	Excluded []string
	// Sends counts the earlier sends of the call.
	Sends int
	// Bytes is the size of the call's body.
	Bytes int64
}

// Lease is the right to send a call to an endpoint.
type Lease struct {
	Endpoint registrar.Endpoint
	Helpers  []Helper
	// ExpectedFirstEvent is the expected time to the first event; 0 if unknown.
	ExpectedFirstEvent time.Duration
	// ReportFirstEvent reports that the first event has arrived. ReportFailure reports
	// that the endpoint with the address failed the call; an empty address stands for
	// the called endpoint. ReportAnswer reports what the head of the endpoint's answer
	// contains. ReportError reports that the endpoint answered with a failure and that another
	// endpoint then served the call, so that the call is not the cause; nil if that does not
	// matter. Release ends the lease and is idempotent.
	ReportFirstEvent func()
	ReportAnswer     func(info AnswerInfo)
	ReportFailure    func(address string)
	ReportError      func()
	Release          func()
	// Lost receives a Loss once the endpoint's reports show that no further answer to the call can
	// come; nil if nothing is known of that.
	Lost <-chan Loss
}

// Loss says that the endpoint does not run the call any more, and that the memory for it has been
// released.
type Loss struct {
	// Ran says that the endpoint has run the call; if not, the call may still wait there.
	Ran bool
}

// RefusedError reports that no endpoint was available.
type RefusedError struct {
	Code       string
	Message    string
	RetryAfter time.Duration
}

// Error formats the refusal.
func (err *RefusedError) Error() string { return err.Code + ": " + err.Message }

// Placer finds endpoints. Place may wait until the call's deadline.
type Placer interface {
	Place(ctx context.Context, req PlacementRequest) (Lease, error)
}
