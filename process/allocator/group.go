package allocator

import (
	"errors"
	"slices"
	"time"

	"hemlockpin/process/grouper"
	"hemlockpin/request/executor"
	"hemlockpin/request/placer"
)

// groupError refuses a request for which a group of engines could not reserve
// memory.
type groupError struct {
	*executor.RefusedError
	// unresponsive is the engine that did not answer; empty if all did.
	unresponsive string
}

func newGroupError(err error) *groupError {
	out := &groupError{RefusedError: &executor.RefusedError{Refuse: placer.Refuse{
		Code: codeGroupUnavailable, Message: "the engines cannot hold the prompt together now: " + err.Error(), RetryAfter: time.Second,
	}}}
	var unavailable *grouper.UnavailableError
	if errors.As(err, &unavailable) && unavailable.NoAnswer {
		out.unresponsive = unavailable.Engine
	}
	return out
}

// Unwrap returns the refusal.
func (err *groupError) Unwrap() error { return err.RefusedError }

// excludeUnresponsive returns the request for the next attempt. It excludes an engine
// that did not answer, which would delay the next attempt as well, but not a busy
// one, which may have become free.
func (err *groupError) excludeUnresponsive(req placer.Request) placer.Request {
	if err.unresponsive != "" {
		req.Excluded = append(slices.Clip(req.Excluded), err.unresponsive)
	}
	return req
}
