package allocator

import (
	"errors"
	"slices"
	"time"

	"hemlockpin/process/grouper"
	"hemlockpin/request/executor"
	"hemlockpin/request/placer"
)

// groupError refuses a request whose group of engines could not be reserved.
type groupError struct {
	*executor.RefusedError
	// silent is the engine that did not answer; empty if all did.
	silent string
}

func newGroupError(err error) *groupError {
	gro := &groupError{RefusedError: &executor.RefusedError{Refuse: placer.Refuse{
		Code: codeGroupUnavailable, Message: "the engines cannot hold the prompt together now: " + err.Error(), RetryAfter: time.Second,
	}}}
	var una *grouper.UnavailableError
	if errors.As(err, &una) && una.Lost {
		gro.silent = una.Engine
	}
	return gro
}

// Unwrap returns the refusal.
func (err *groupError) Unwrap() error { return err.RefusedError }

// without returns the request for the next try: an engine that did not answer
// would only use up the time again, while a busy one may have become free.
func (err *groupError) without(req placer.Request) placer.Request {
	if err.silent != "" {
		req.Excluded = append(slices.Clip(req.Excluded), err.silent)
	}
	return req
}
