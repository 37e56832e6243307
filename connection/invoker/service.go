package invoker

import (
	"bytes"
	"context"
	"net/http"

	"hemlockpin/connection/rationer"
)

// KeyHeader carries the idempotency key to a plain service.
const KeyHeader = "Idempotency-Key"

// ServiceCall is one call to a plain service.
type ServiceCall struct {
	Method string
	Path   string
	Header http.Header
	Body   []byte
	// Key is the idempotency key of the call; empty for a repeatable call without
	// a key.
	Key string
	// AtMostOnce marks a call that must run at most once. It is sent on a new
	// connection.
	AtMostOnce bool
}

// ServiceReply is the answer of a plain service. Release must be called when its body is no longer
// used.
type ServiceReply struct {
	Status int
	Header http.Header
	Body   []byte
	// Unframed says that neither a length nor chunks mark the end of the reply: it ended with
	// its connection and may have broken off.
	Unframed bool

	buffer *rationer.Buffer
}

// Release gives the memory of the body back. It is idempotent.
func (rep ServiceReply) Release() {
	if rep.buffer != nil {
		rep.buffer.Release()
	}
}

// Call sends a call to the service at address. It returns a reply with any status
// without an error. A returned Error states whether the call ran.
func (inv *Invoker) Call(ctx context.Context, address string, cal ServiceCall) (ServiceReply, error) {
	req, err := http.NewRequestWithContext(ctx, cal.Method, "http://"+address+cal.Path, bytes.NewReader(cal.Body))
	if err != nil {
		return ServiceReply{}, &Error{Step: "Invoker.Call: build", Address: address, Execution: NotRun, Err: err}
	}
	for name, val := range cal.Header {
		req.Header[name] = val
	}
	setCommonHeaders(ctx, req)
	if cal.Key != "" {
		req.Header.Set(KeyHeader, cal.Key)
	}
	res, err := inv.clientFor(address, cal).Do(req)
	if err != nil {
		return ServiceReply{}, &Error{Step: "Invoker.Call: send", Address: address, Execution: executionAfter(err), Err: err}
	}
	defer res.Body.Close()
	buf, err := inv.readReply(res.Body)
	if err != nil {
		buf.Release()
		return ServiceReply{}, &Error{Step: "Invoker.Call: read", Address: address, Execution: Ran, Err: err}
	}
	unframed := res.ContentLength < 0 && len(res.TransferEncoding) == 0 && !res.Uncompressed
	return ServiceReply{Status: res.StatusCode, Header: res.Header, Body: buf.Bytes(), Unframed: unframed, buffer: buf}, nil
}
