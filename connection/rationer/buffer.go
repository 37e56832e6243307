package rationer

import (
	"io"

	"github.com/rotisserie/eris"
)

// SmallBytes is the size up to which a Buffer takes nothing of its Memory, so that ordinary answers
// are read when it is used up.
const SmallBytes = 8 << 10

const (
	// minBufferBytes is the least capacity of a buffer.
	minBufferBytes = 512
	// growthCost is the memory that a buffer takes as a multiple of its size: what it has outgrown
	// stays until the collector frees it.
	growthCost = 2
)

// Buffer holds bytes that an endpoint sends. Its zero value is empty and has no limit.
type Buffer struct {
	// Memory is that of large buffers; nil for no limit.
	Memory Memory

	raw      []byte
	reserved int64
}

// Bytes returns the bytes. They are valid until the buffer is changed.
func (buf *Buffer) Bytes() []byte { return buf.raw }

// Append adds bytes. It fails with ErrExhausted if the Memory does not allow more.
func (buf *Buffer) Append(part []byte) error {
	if err := buf.Grow(len(part)); err != nil {
		return err
	}
	buf.raw = append(buf.raw, part...)
	return nil
}

// Grow makes room for some bytes more. It fails with ErrExhausted if the Memory does not allow
// them.
func (buf *Buffer) Grow(more int) error {
	need := len(buf.raw) + more
	if need <= cap(buf.raw) {
		return nil
	}
	size := max(need, 2*cap(buf.raw), minBufferBytes)
	reserved := int64(0)
	if size > SmallBytes && buf.Memory != nil {
		reserved = growthCost * int64(size)
		if !buf.Memory.Reserve(reserved) {
			return ErrExhausted
		}
	}
	grown := append(make([]byte, 0, size), buf.raw...)
	buf.giveBack()
	buf.raw, buf.reserved = grown, reserved
	return nil
}

// Clear empties the buffer. Reserved memory is given back.
func (buf *Buffer) Clear() {
	if buf.reserved > 0 {
		buf.raw = nil
	}
	buf.giveBack()
	buf.raw = buf.raw[:0]
}

// Release drops the bytes and gives the memory back. It is idempotent.
func (buf *Buffer) Release() {
	buf.raw = nil
	buf.giveBack()
}

func (buf *Buffer) giveBack() {
	if buf.reserved > 0 {
		buf.Memory.Release(buf.reserved)
		buf.reserved = 0
	}
}

// ReadAll adds the bytes of a reader up to its end. It fails with ErrTooLarge if there are more
// than limit bytes, and with ErrExhausted.
func (buf *Buffer) ReadAll(rea io.Reader, limit int) error {
	for {
		if err := buf.Grow(1); err != nil {
			return err
		}
		n, err := rea.Read(buf.raw[len(buf.raw):cap(buf.raw)])
		buf.raw = buf.raw[:len(buf.raw)+n]
		switch {
		case len(buf.raw) > limit:
			return eris.Wrapf(ErrTooLarge, "limit %d bytes", limit)
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		}
	}
}
