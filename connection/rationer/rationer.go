// Package rationer bounds the memory that what endpoints send takes in a process.
package rationer

import "github.com/rotisserie/eris"

// Memory bounds what several connections hold together, in bytes. Reserve returns false if the
// limit does not allow more.
type Memory interface {
	Reserve(bytes int64) bool
	Release(bytes int64)
}

// ErrExhausted reports that a Memory has no more, ErrTooLarge that bytes exceed their limit.
var (
	ErrExhausted = eris.New("the process holds too much of what endpoints have sent")
	ErrTooLarge  = eris.New("too many bytes")
)
