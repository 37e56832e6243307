package receiver

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// BodyCopies is the number of copies of a body that are in memory at the same
	// time: as received, as decoded, and as sent to the endpoint.
	BodyCopies = 3
	// firstReserveBytes is the size in bytes for which memory is first reserved for a
	// body of unknown length; the memory is BodyCopies times as much.
	firstReserveBytes = 64 << 10
	memoryRetryAfter  = time.Second
)

// MemoryBudget bounds the memory for the bodies of requests in progress. It is
// safe for concurrent use.
type MemoryBudget struct {
	// MaxBytes is the limit; 0 means no limit.
	MaxBytes int64

	mu       sync.Mutex
	reserved int64
}

// Reserved returns the number of bytes that are reserved.
func (bud *MemoryBudget) Reserved() int64 {
	bud.mu.Lock()
	defer bud.mu.Unlock()
	return bud.reserved
}

// Reserve reserves memory in bytes. It returns false if the limit does not allow that.
func (bud *MemoryBudget) Reserve(n int64) bool {
	bud.mu.Lock()
	defer bud.mu.Unlock()
	if bud.MaxBytes > 0 && bud.reserved+n > bud.MaxBytes {
		return false
	}
	bud.reserved += n
	return true
}

// Release gives back reserved memory in bytes.
func (bud *MemoryBudget) Release(n int64) {
	bud.mu.Lock()
	defer bud.mu.Unlock()
	bud.reserved -= n
}

// Body is a request's body that reserves memory when it is read, so that no memory
// is reserved for a request that is refused earlier. Release must be called when
// the request has ended.
type Body struct {
	io.ReadCloser
	budget *MemoryBudget
	// announcedBytes and readBytes count bytes of the body, reservedBytes bytes of memory.
	announcedBytes int64
	readBytes      int64
	reservedBytes  int64
}

// NewBody wraps a body of an announced length in bytes; -1 if it is unknown. For an
// announced length above maxBytes, memory for only maxBytes is reserved, since
// ReadBody refuses such a body.
func NewBody(bod io.ReadCloser, bud *MemoryBudget, announcedBytes, maxBytes int64) *Body {
	return &Body{ReadCloser: bod, budget: bud, announcedBytes: min(announcedBytes, maxBytes)}
}

// Read reserves memory and reads. The first call reserves for the whole announced
// length; if the length is unknown, the reservation doubles as needed. Read fails
// with a RefusalError if the budget is exhausted.
func (bod *Body) Read(buf []byte) (int, error) {
	if err := bod.reserve(); err != nil {
		return 0, err
	}
	// At least one byte is read, so that the end of the body and an excess byte are
	// detected.
	n, err := bod.ReadCloser.Read(buf[:min(int64(len(buf)), max(bod.reservedBytes/BodyCopies-bod.readBytes, 1))])
	bod.readBytes += int64(n)
	return n, err
}

// reserve reserves the memory that the next read needs.
func (bod *Body) reserve() error {
	want := bod.reservedBytes
	switch {
	case bod.reservedBytes == 0 && bod.announcedBytes >= 0:
		want = bod.announcedBytes * BodyCopies
	case bod.announcedBytes < 0 && bod.readBytes >= bod.reservedBytes/BodyCopies:
		want = max(2*bod.reservedBytes, firstReserveBytes*BodyCopies)
	}
	if !bod.budget.Reserve(want - bod.reservedBytes) {
		return &RefusalError{
			Status: http.StatusServiceUnavailable, Code: "host_memory_full",
			Message: "the host holds too many large requests", RetryAfter: memoryRetryAfter,
		}
	}
	bod.reservedBytes = want
	return nil
}

// Keep reduces the reservation to the memory of a body that has been read and is kept, in
// bytes.
func (bod *Body) Keep(heldBytes int64) {
	bod.budget.Release(bod.reservedBytes - heldBytes)
	bod.reservedBytes = heldBytes
}

// Release releases the reserved memory. It is idempotent.
func (bod *Body) Release() {
	bod.budget.Release(bod.reservedBytes)
	bod.reservedBytes = 0
}

// ReadBody reads a complete body. It fails with a RefusalError if the body is
// over maxBytes, incomplete or too slow, or if its memory budget is exhausted.
func ReadBody(bod io.Reader, maxBytes int64) ([]byte, error) {
	var buf bytes.Buffer
	if err := reserveBuffer(&buf, bod); err != nil {
		return nil, err
	}
	_, err := buf.ReadFrom(io.LimitReader(bod, maxBytes+1))
	var refused *RefusalError
	if eris.As(err, &refused) {
		return nil, err
	}
	if err != nil {
		return nil, readError(err)
	}
	if int64(buf.Len()) > maxBytes {
		return nil, &RefusalError{Status: http.StatusRequestEntityTooLarge, Code: "body_too_large", Message: fmt.Sprintf("the body is over %d bytes", maxBytes)}
	}
	return buf.Bytes(), nil
}

// reserveBuffer reserves the memory of a body of known length and allocates its
// buffer at once.
func reserveBuffer(buf *bytes.Buffer, reader io.Reader) error {
	bod, ok := reader.(*Body)
	if !ok || bod.announcedBytes < 0 {
		return nil
	}
	if err := bod.reserve(); err != nil {
		return err
	}
	buf.Grow(int(bod.announcedBytes) + bytes.MinRead)
	return nil
}

func readError(err error) error {
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return &RefusalError{Status: http.StatusRequestTimeout, Code: "body_too_slow", Message: "the body did not arrive in time"}
	}
	return badRequest("body_incomplete", "", "the body could not be read: "+err.Error())
}
