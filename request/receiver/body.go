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
	// reserveStep is the smallest reservation, in bytes of body, for a body of
	// unknown length.
	reserveStep      = 64 << 10
	memoryRetryAfter = time.Second
)

// MemoryBudget bounds the memory for the bodies of requests in progress. It is
// safe for concurrent use.
type MemoryBudget struct {
	// MaxBytes is the limit; 0 means no limit.
	MaxBytes int64

	mu   sync.Mutex
	used int64
}

// Reserved returns the number of bytes that are reserved.
func (bud *MemoryBudget) Reserved() int64 {
	bud.mu.Lock()
	defer bud.mu.Unlock()
	return bud.used
}

func (bud *MemoryBudget) reserve(n int64) bool {
	bud.mu.Lock()
	defer bud.mu.Unlock()
	if bud.MaxBytes > 0 && bud.used+n > bud.MaxBytes {
		return false
	}
	bud.used += n
	return true
}

func (bud *MemoryBudget) release(n int64) {
	bud.mu.Lock()
	defer bud.mu.Unlock()
	bud.used -= n
}

// Body is a request's body that reserves memory when it is read, so that no memory
// is reserved for a request that is refused earlier. Release must be called when
// the request has ended.
type Body struct {
	io.ReadCloser
	budget   *MemoryBudget
	length   int64
	read     int64
	reserved int64
}

// NewBody wraps a body of an announced length in bytes; -1 if it is unknown. A
// longer announced length than maxBytes reserves only for maxBytes, since ReadBody
// refuses such a body.
func NewBody(bod io.ReadCloser, bud *MemoryBudget, length, maxBytes int64) *Body {
	return &Body{ReadCloser: bod, budget: bud, length: min(length, maxBytes)}
}

// Read reserves memory and reads. The first call reserves for the whole announced
// length; if the length is unknown, the reservation doubles as needed. It fails
// with a RefusalError if the budget is exhausted.
func (bod *Body) Read(buf []byte) (int, error) {
	if err := bod.reserve(); err != nil {
		return 0, err
	}
	n, err := bod.ReadCloser.Read(buf[:min(int64(len(buf)), max(bod.reserved/BodyCopies-bod.read, 1))])
	bod.read += int64(n)
	return n, err
}

func (bod *Body) reserve() error {
	want := bod.reserved
	switch {
	case bod.reserved == 0 && bod.length >= 0:
		want = bod.length * BodyCopies
	case bod.length < 0 && bod.read >= bod.reserved/BodyCopies:
		want = max(2*bod.reserved, reserveStep*BodyCopies)
	}
	if !bod.budget.reserve(want - bod.reserved) {
		return &RefusalError{
			Status: http.StatusServiceUnavailable, Code: "host_memory_full",
			Message: "the host holds too many large requests", RetryAfter: memoryRetryAfter,
		}
	}
	bod.reserved = want
	return nil
}

// Release releases the reserved memory. It is idempotent.
func (bod *Body) Release() {
	bod.budget.release(bod.reserved)
	bod.reserved = 0
}

// ReadBody reads a complete body. It fails with a RefusalError if the body is
// over maxBytes, incomplete or too slow, or if its memory budget is exhausted.
func ReadBody(bod io.Reader, maxBytes int64) ([]byte, error) {
	var buf bytes.Buffer
	if err := growBuffer(&buf, bod); err != nil {
		return nil, err
	}
	_, err := buf.ReadFrom(io.LimitReader(bod, maxBytes+1))
	var bad *RefusalError
	if eris.As(err, &bad) {
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

// growBuffer reserves memory for a body of known length and allocates the buffer in
// one step.
func growBuffer(buf *bytes.Buffer, reader io.Reader) error {
	bod, ok := reader.(*Body)
	if !ok || bod.length < 0 {
		return nil
	}
	if err := bod.reserve(); err != nil {
		return err
	}
	buf.Grow(int(bod.length) + bytes.MinRead)
	return nil
}

func readError(err error) error {
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return &RefusalError{Status: http.StatusRequestTimeout, Code: "body_too_slow", Message: "the body did not arrive in time"}
	}
	return badRequest("body_incomplete", "", "the body could not be read: "+err.Error())
}
