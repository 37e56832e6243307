package relayer

import (
	"errors"

	"hemlockpin/request/receiver"
)

// smallEventBytes is the size up to which events take no memory of the budget, so that ordinary
// streams go on when it is used up.
const smallEventBytes = 8 << 10

var errEventMemory = errors.New("the host holds too many large events and bodies")

// eventBuffer holds one event of a stream. Its zero value is empty and has no budget.
type eventBuffer struct {
	// budget is that for bodies; nil for no limit.
	budget   *receiver.MemoryBudget
	raw      []byte
	reserved int64
}

// append adds bytes to the event. It fails if the budget has no memory for them.
func (buf *eventBuffer) append(part []byte) error {
	need := len(buf.raw) + len(part)
	if need <= cap(buf.raw) {
		buf.raw = append(buf.raw, part...)
		return nil
	}
	size := max(need, 2*cap(buf.raw))
	reserved := int64(0)
	if size > smallEventBytes && buf.budget != nil {
		reserved = int64(size)
		if !buf.budget.Reserve(reserved) {
			return errEventMemory
		}
	}
	grown := append(make([]byte, 0, size), buf.raw...)
	buf.release()
	buf.raw, buf.reserved = grown, reserved
	buf.raw = append(buf.raw, part...)
	return nil
}

// clear empties the buffer for the next event. Memory of the budget is given back.
func (buf *eventBuffer) clear() {
	if buf.reserved > 0 {
		buf.release()
		buf.raw = nil
	}
	buf.raw = buf.raw[:0]
}

func (buf *eventBuffer) release() {
	if buf.reserved > 0 {
		buf.budget.Release(buf.reserved)
		buf.reserved = 0
	}
}
