package inspector

import (
	"bytes"
	"errors"
	"math"
	"net/http"
	"os"
	"strconv"
	"sync"
)

// requests follows the requests that are written on a connection. They come from this process,
// so they are taken to be well-formed.
type requests struct {
	mu sync.Mutex
	// count is the number of requests of which at least a byte has been written.
	count int
	// head is the head of the last request as far as it has been written; nil once it is complete.
	head []byte
	// method is that of the last request, bodyLeft the bytes of its body that are not written yet.
	method   string
	bodyLeft int64
	// writing says that a write is in progress, err is the error of one that failed.
	writing bool
	err     error
	// givenUp says that the rest of the last request doesn't matter any more.
	givenUp bool
	changed sync.Cond
}

// begin records bytes that are about to be written.
func (req *requests) begin(buf []byte) {
	req.mu.Lock()
	defer req.mu.Unlock()
	req.writing = true
	for len(buf) > 0 {
		if req.head == nil && req.bodyLeft > 0 {
			n := min(int64(len(buf)), req.bodyLeft)
			req.bodyLeft -= n
			buf = buf[n:]
			continue
		}
		if req.head == nil {
			req.count++
		}
		buf = req.beginHead(buf)
	}
}

// end records the result of the write of the bytes that were last begun.
func (req *requests) end(err error) {
	req.mu.Lock()
	defer req.mu.Unlock()
	req.writing = false
	if req.err == nil && (!req.givenUp || !errors.Is(err, os.ErrDeadlineExceeded)) {
		req.err = err
	}
	req.changed.Broadcast()
}

// await waits until the requests that have begun are written, or until giveUp is called and no
// write is in progress. It returns the error of a write that has failed.
func (req *requests) await() error {
	req.mu.Lock()
	defer req.mu.Unlock()
	for req.err == nil && (req.writing || !req.givenUp && (req.head != nil || req.bodyLeft > 0)) {
		req.changed.Wait()
	}
	return req.err
}

// giveUp ends await once no write is in progress.
func (req *requests) giveUp() {
	req.mu.Lock()
	defer req.mu.Unlock()
	req.givenUp = true
	req.changed.Broadcast()
}

// beginHead records bytes of a head and returns those after it.
func (req *requests) beginHead(buf []byte) []byte {
	before := len(req.head)
	req.head = append(req.head, buf...)
	head, _, complete := bytes.Cut(req.head, []byte("\r\n\r\n"))
	if !complete {
		return nil
	}
	rest := buf[len(head)+len("\r\n\r\n")-before:]
	line, fields, _ := bytes.Cut(head, []byte("\r\n"))
	method, _, _ := bytes.Cut(line, []byte(" "))
	req.head, req.method, req.bodyLeft = nil, string(method), bodyLength(fields)
	return rest
}

// bodyLength returns the length of the body of a request by the fields of its head. A body in
// chunks, whose length is not known, is taken to have no end.
func bodyLength(fields []byte) int64 {
	var length int64
	for line := range bytes.SplitSeq(fields, []byte("\r\n")) {
		name, value, _ := bytes.Cut(line, []byte(":"))
		switch {
		case isField(name, "Transfer-Encoding"):
			return math.MaxInt64
		case isField(name, "Content-Length"):
			length, _ = strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		}
	}
	return length
}

// begun returns the number of requests that have begun, and whether the last one asks for a head
// without a body.
func (req *requests) begun() (count int, headOnly bool) {
	req.mu.Lock()
	defer req.mu.Unlock()
	return req.count, req.method == http.MethodHead
}
