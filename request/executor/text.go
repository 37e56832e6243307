package executor

import (
	"hemlockpin/connection/rationer"

	"github.com/rotisserie/eris"
)

const (
	// maxTextBytes bounds the text of an answer, which is kept until its end. An engine in trouble
	// may send tokens of any length.
	maxTextBytes = 16 << 20
	// smallTextBytes is the size up to which texts take no shared memory.
	smallTextBytes = 64 << 10
	// textCopies is the number of copies of a text, which grows in a buffer.
	textCopies = 2
)

// errTextTooLong means that an answer has more text than a host keeps. No other engine can continue it.
var errTextTooLong = eris.New("the text of the answer is too long")

// textAccount is the memory of the text of an answer. Its zero value has no shared memory.
type textAccount struct {
	memory rationer.Memory
	bytes  int
	// reservedFor is the size of the text for which memory is reserved.
	reservedFor int
}

// add accounts for more bytes of text.
func (acc *textAccount) add(more int) error {
	acc.bytes += more
	switch {
	case acc.bytes > maxTextBytes:
		return eris.Wrapf(errTextTooLong, "limit %d bytes", maxTextBytes)
	case acc.memory == nil || acc.bytes <= max(smallTextBytes, acc.reservedFor):
		return nil
	}
	size := 2 * acc.bytes
	if !acc.memory.Reserve(textCopies * int64(size-acc.reservedFor)) {
		return eris.Wrap(rationer.ErrExhausted, "the text of the answer")
	}
	acc.reservedFor = size
	return nil
}

// release gives the memory back.
func (acc *textAccount) release() {
	if acc.reservedFor > 0 {
		acc.memory.Release(textCopies * int64(acc.reservedFor))
		acc.reservedFor = 0
	}
}
