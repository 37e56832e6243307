package inspector

import (
	"sync"

	"hemlockpin/connection/rationer"
)

const (
	// headByteCost and headFieldCost are the memory in bytes that a byte and a field of a head take
	// while it is read, parsed, and kept with its answer.
	headByteCost  = 3
	headFieldCost = 400
	// smallHeadBytes is the memory of the heads of an answer up to which they take none of the
	// shared memory, so that ordinary answers are read when it is used up.
	smallHeadBytes = 16 << 10
)

// account is what a connection holds of the shared memory.
type account struct {
	memory rationer.Memory

	mu       sync.Mutex
	reserved int64
	closed   bool
}

// hold reserves the memory of the heads of an answer. It replaces what is held.
func (acc *account) hold(bytes int64) error {
	acc.mu.Lock()
	defer acc.mu.Unlock()
	if acc.memory == nil || acc.closed {
		return nil
	}
	if more := bytes - acc.reserved; more < 0 {
		acc.memory.Release(-more)
	} else if more > 0 && !acc.memory.Reserve(more) {
		return rationer.ErrExhausted
	}
	acc.reserved = bytes
	return nil
}

// close gives back all that is held.
func (acc *account) close() {
	acc.mu.Lock()
	defer acc.mu.Unlock()
	if acc.reserved > 0 {
		acc.memory.Release(acc.reserved)
	}
	acc.reserved, acc.closed = 0, true
}
