// Package exchanger sends one HTTP request to an endpoint on a new connection and
// reads the answer.
//
// Connections are not reused. A late answer to an earlier request, extra bytes
// after an answer, an idle connection closed by the endpoint, or an answer sent
// before the body was read therefore cannot affect another request.
package exchanger

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"hemlockpin/connection/counter"
	"hemlockpin/connection/inspector"
	"hemlockpin/connection/rationer"
)

const (
	// dialTimeout bounds the connection set-up, which takes milliseconds between
	// data centres of a region.
	dialTimeout = 400 * time.Millisecond
	// readBufferBytes is the size of a read buffer, enough for the head of an answer
	// and several events of a stream.
	readBufferBytes = 4 << 10
	// concurrentBodyBytes is the size from which the body is sent while the answer
	// is read, since an endpoint may answer before it has read the whole body.
	concurrentBodyBytes = 16 << 10
)

// NotSentError reports that nothing was sent: no connection was established, or
// Request.Header failed.
type NotSentError struct {
	Address string
	Err     error
}

// Error returns the address and the cause.
func (err *NotSentError) Error() string { return fmt.Sprintf("dial %s: %v", err.Address, err.Err) }

// Unwrap returns the cause.
func (err *NotSentError) Unwrap() error { return err.Err }

// NoAnswerError reports that a request was sent, at least in part, and that no
// answer could be read. The endpoint may have run the request.
type NoAnswerError struct {
	Address string
	Step    string
	Err     error
}

// Error returns the step, the address and the cause.
func (err *NoAnswerError) Error() string {
	return fmt.Sprintf("%s of %s: %v", err.Step, err.Address, err.Err)
}

// Unwrap returns the cause.
func (err *NoAnswerError) Unwrap() error { return err.Err }

// Request is an HTTP request to an endpoint.
type Request struct {
	Method string
	// Target is the path and query, unchanged from the caller's request.
	Target string
	Host   string
	// Header builds the header after the connection is established, so that times in
	// the header refer to the moment of sending. If Header fails, the request is not
	// sent.
	Header func() (http.Header, error)
	Body   []byte
}

// Answer is the head of an answer, with its body as a stream. Close must be
// called; it closes the connection.
type Answer struct {
	Status int
	Header http.Header
	Body   *bufio.Reader
	// Length is the announced length of the body in bytes; -1 if it is unknown.
	Length int64
	// Framed reports whether the answer marks the end of the body, by a length or by
	// chunked encoding. If not, the body ends with the connection.
	Framed bool

	con  net.Conn
	stop func() bool
	once sync.Once
}

// Close closes the connection. It is idempotent.
func (ans *Answer) Close() {
	ans.once.Do(func() {
		ans.stop()
		_ = ans.con.Close()
	})
}

// Exchanger sends requests. Its zero value is ready to use.
type Exchanger struct {
	// Traffic counts the bytes of all connections; nil disables counting.
	Traffic *counter.Traffic
	// Memory bounds what the heads of all answers hold together; nil for no limit.
	Memory rationer.Memory
}

// Exchange sends a request and waits for the head of its answer. When ctx ends,
// the connection is closed at once, also while the body is read. An error is a
// NotSentError or a NoAnswerError.
func (exc *Exchanger) Exchange(ctx context.Context, address string, req Request) (*Answer, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}}
	con, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, &NotSentError{Address: address, Err: err}
	}
	hea, err := req.Header()
	if err != nil {
		_ = con.Close()
		return nil, &NotSentError{Address: address, Err: err}
	}
	con = inspector.New(exc.Traffic.Wrap(con), exc.Memory)
	stop := context.AfterFunc(ctx, func() { _ = con.Close() })
	ans, noAnswer := exchange(con, address, req, hea)
	if noAnswer != nil {
		stop()
		_ = con.Close()
		if ctx.Err() != nil {
			noAnswer.Err = errors.Join(context.Cause(ctx), noAnswer.Err)
		}
		return nil, noAnswer
	}
	ans.con, ans.stop = con, stop
	return ans, nil
}

// Refuses reports whether an endpoint refuses connections, as it does after its process has
// ended. It reports false if the endpoint can't be reached at all.
func (exc *Exchanger) Refuses(ctx context.Context, address string, timeout time.Duration) bool {
	dialer := net.Dialer{Timeout: timeout}
	con, err := dialer.DialContext(context.WithoutCancel(ctx), "tcp", address)
	if err == nil {
		_ = con.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

func exchange(con net.Conn, address string, req Request, hea http.Header) (*Answer, *NoAnswerError) {
	sendResult := make(chan error, 1)
	if len(req.Body) >= concurrentBodyBytes {
		go func() { sendResult <- send(con, req, hea) }()
	} else {
		sendResult <- send(con, req, hea)
	}
	res, err := receive(con, req.Method) //nolint:bodyclose // Answer.Close ends the connection.
	if err != nil {
		select {
		case sendErr := <-sendResult:
			if sendErr != nil {
				return nil, &NoAnswerError{Address: address, Step: "sending the request", Err: errors.Join(sendErr, err)}
			}
		default:
		}
		return nil, &NoAnswerError{Address: address, Step: "reading the answer", Err: err}
	}
	return &Answer{
		Status: res.StatusCode, Header: res.Header, Length: res.ContentLength, Body: bufio.NewReaderSize(res.Body, readBufferBytes),
		Framed: res.ContentLength >= 0 || len(res.TransferEncoding) > 0,
	}, nil
}

// send writes the head and the body. A short body goes out with the head, so that an endpoint that
// closes its connection after the answer has read it.
func send(con net.Conn, req Request, hea http.Header) error {
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", req.Method, req.Target, req.Host)
	if len(req.Body) > 0 || req.Method == http.MethodPost || req.Method == http.MethodPut {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(req.Body))
	}
	if err := hea.Write(&head); err != nil {
		return err
	}
	head.WriteString("\r\n")
	if len(req.Body) < concurrentBodyBytes {
		head.Write(req.Body)
		_, err := con.Write(head.Bytes())
		return err
	}
	if _, err := con.Write(head.Bytes()); err != nil {
		return err
	}
	_, err := con.Write(req.Body)
	return err
}

// receive skips interim answers and reads the head of the final answer. The connection bounds their
// number and their size.
func receive(con net.Conn, method string) (*http.Response, error) {
	reader := bufio.NewReaderSize(con, readBufferBytes)
	for {
		res, err := http.ReadResponse(reader, &http.Request{Method: method})
		if err != nil || res.StatusCode >= http.StatusOK {
			return res, err
		}
	}
}
