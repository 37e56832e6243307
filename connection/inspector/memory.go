package inspector

import (
	"sync"

	"github.com/rotisserie/eris"
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

var errHeadMemory = eris.New("the process holds too many large answers")

// Memory bounds what the answers of several connections hold together, in bytes. Reserve returns
// false if the limit does not allow more.
type Memory interface {
	Reserve(bytes int64) bool
	Release(bytes int64)
}

// account is what a connection holds of a Memory.
type account struct {
	memory Memory

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
		return errHeadMemory
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
