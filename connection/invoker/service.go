package invoker

import (
	"bytes"
	"context"
	"io"
	"net/http"
)

// KeyHeader carries the idempotency key to a plain service.
const KeyHeader = "Idempotency-Key"

// ServiceCall is one call of a plain service.
type ServiceCall struct {
	Method string
	Path   string
	Header http.Header
	Body   []byte
	// Key is the idempotency key of the call; empty for repeatable calls without one.
	Key string
	// AtMostOnce marks a call that must not be sent a second time.
	AtMostOnce bool
}

// ServiceReply is the whole answer of a plain service.
type ServiceReply struct {
	Status int
	Header http.Header
	Body   []byte
}

// Call runs a call on the service at address. Any status is a reply; an error
// says whether the call ran.
func (inv *Invoker) Call(ctx context.Context, address string, cal ServiceCall) (ServiceReply, error) {
	req, err := http.NewRequestWithContext(ctx, cal.Method, "http://"+address+cal.Path, bytes.NewReader(cal.Body))
	if err != nil {
		return ServiceReply{}, &Error{Step: "Invoker.Call: build", Peer: address, Ran: NotRun, Err: err}
	}
	for nam, val := range cal.Header {
		req.Header[nam] = val
	}
	inject(ctx, req)
	if cal.Key != "" {
		req.Header.Set(KeyHeader, cal.Key)
	}
	res, err := inv.clientFor(address, cal).Do(req)
	if err != nil {
		return ServiceReply{}, &Error{Step: "Invoker.Call: send", Peer: address, Ran: ranAfterSend(err), Err: err}
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxReplyBytes))
	if err != nil {
		return ServiceReply{}, &Error{Step: "Invoker.Call: read", Peer: address, Ran: Ran, Err: err}
	}
	return ServiceReply{Status: res.StatusCode, Header: res.Header, Body: body}, nil
}
