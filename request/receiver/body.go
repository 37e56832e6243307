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
	// BodyCopies is how often a body stands in memory at a time: as received,
	// as decoded, and as sent to the endpoint.
	BodyCopies = 3
	// reserveStep is the least reservation for a body of unknown length.
	reserveStep      = 64 << 10
	memoryRetryAfter = time.Second
)

// MemoryBudget bounds the memory that bodies of requests in progress take. It is safe
// for concurrent use.
type MemoryBudget struct {
	// MaxBytes is the bound; 0 stands for none.
	MaxBytes int64

	mu   sync.Mutex
	used int64
}

// Used returns the bytes reserved now.
func (bud *MemoryBudget) Used() int64 {
	bud.mu.Lock()
	defer bud.mu.Unlock()
	return bud.used
}

func (bud *MemoryBudget) take(num int64) bool {
	bud.mu.Lock()
	defer bud.mu.Unlock()
	if bud.MaxBytes > 0 && bud.used+num > bud.MaxBytes {
		return false
	}
	bud.used += num
	return true
}

func (bud *MemoryBudget) give(num int64) {
	bud.mu.Lock()
	defer bud.mu.Unlock()
	bud.used -= num
}

// Body reserves memory for a request's body as it is read, so that nothing is
// held for a caller that is refused before. Release gives it back.
type Body struct {
	io.ReadCloser
	budget   *MemoryBudget
	length   int64
	read     int64
	reserved int64
}

// NewBody wraps a body whose announced length is -1 if unknown. Bodies over
// maxBytes reserve no more than that; ReadBody refuses them.
func NewBody(bod io.ReadCloser, bud *MemoryBudget, length, maxBytes int64) *Body {
	return &Body{ReadCloser: bod, budget: bud, length: min(length, maxBytes)}
}

// Read reserves what the next bytes need, all of the announced length at the
// first call. It fails with a BadRequestError if the budget is spent.
func (bod *Body) Read(buf []byte) (int, error) {
	if err := bod.reserve(); err != nil {
		return 0, err
	}
	num, err := bod.ReadCloser.Read(buf[:min(int64(len(buf)), max(bod.reserved/BodyCopies-bod.read, 1))])
	bod.read += int64(num)
	return num, err
}

func (bod *Body) reserve() error {
	want := bod.reserved
	switch {
	case bod.reserved == 0 && bod.length >= 0:
		want = bod.length * BodyCopies
	case bod.length < 0 && bod.read >= bod.reserved/BodyCopies:
		want = max(2*bod.reserved, reserveStep*BodyCopies)
	}
	if !bod.budget.take(want - bod.reserved) {
		return &BadRequestError{
			Status: http.StatusServiceUnavailable, Code: "host_memory_full",
			Message: "the host holds too many large requests", RetryAfter: memoryRetryAfter,
		}
	}
	bod.reserved = want
	return nil
}

// Release gives the memory back when the request has ended.
func (bod *Body) Release() {
	bod.budget.give(bod.reserved)
	bod.reserved = 0
}

// ReadBody reads a body of at most maxBytes.
func ReadBody(bod io.Reader, maxBytes int64) ([]byte, error) {
	var buf bytes.Buffer
	if err := prepare(&buf, bod); err != nil {
		return nil, err
	}
	_, err := buf.ReadFrom(io.LimitReader(bod, maxBytes+1))
	var bad *BadRequestError
	if eris.As(err, &bad) {
		return nil, err
	}
	if err != nil {
		return nil, incomplete(err)
	}
	if int64(buf.Len()) > maxBytes {
		return nil, &BadRequestError{Status: http.StatusRequestEntityTooLarge, Code: "body_too_large", Message: fmt.Sprintf("the body is over %d bytes", maxBytes)}
	}
	return buf.Bytes(), nil
}

// prepare makes room for a body of announced length once its memory is reserved.
func prepare(buf *bytes.Buffer, rea io.Reader) error {
	bod, ok := rea.(*Body)
	if !ok || bod.length < 0 {
		return nil
	}
	if err := bod.reserve(); err != nil {
		return err
	}
	buf.Grow(int(bod.length) + bytes.MinRead)
	return nil
}

func incomplete(err error) error {
	var nee net.Error
	if errors.As(err, &nee) && nee.Timeout() {
		return &BadRequestError{Status: http.StatusRequestTimeout, Code: "body_too_slow", Message: "the body did not arrive in time"}
	}
	return bad("body_incomplete", "", "the body could not be read: "+err.Error())
}
