// Package exchanger sends one HTTP request to an endpoint on a connection of its
// own and reads the answer.
//
// A connection serves one request only. So a late answer to an earlier request,
// bytes after an answer, a connection that the endpoint has dropped while it was
// idle, or a body that was answered before it was read can't touch another
// request.
package exchanger

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"hemlockpin/connection/counter"
)

const (
	// dialTimeout bounds the set-up of a connection, which takes milliseconds
	// between data centres of a region.
	dialTimeout = 400 * time.Millisecond
	// readBuffer holds an answer's head and several events of a stream.
	readBuffer = 4 << 10
	// maxInterim bounds the interim answers before a final one, and maxHead the bytes
	// of all their heads: an endpoint in trouble may send bytes without end.
	maxInterim = 8
	maxHead    = 64 << 10
	// concurrentBody is the size from which a body is sent while the answer is
	// read, since an endpoint may answer before it has read it.
	concurrentBody = 16 << 10
)

// DialError reports that nothing was sent: no connection was made, or not in time.
type DialError struct {
	Peer string
	Err  error
}

// Error names the peer.
func (err *DialError) Error() string { return fmt.Sprintf("dial %s: %v", err.Peer, err.Err) }

// Unwrap returns the cause.
func (err *DialError) Unwrap() error { return err.Err }

// NoAnswerError reports that a request was sent, at least in part, and no answer
// could be read. The endpoint may have run it.
type NoAnswerError struct {
	Peer string
	Step string
	Err  error
}

// Error names the step and the peer.
func (err *NoAnswerError) Error() string {
	return fmt.Sprintf("%s of %s: %v", err.Step, err.Peer, err.Err)
}

// Unwrap returns the cause.
func (err *NoAnswerError) Unwrap() error { return err.Err }

// Request is what is sent.
type Request struct {
	Method string
	// Target is the path and query as the caller sent them.
	Target string
	Host   string
	// Header makes the head once the connection stands, so that the times in it are
	// those of the send. It fails where the request must not be sent any more, and then
	// nothing was sent.
	Header func() (http.Header, error)
	Body   []byte
}

// Answer is the head of an answer; its body is read from Body. Close ends the
// connection and must be called.
type Answer struct {
	Status int
	Header http.Header
	Body   *bufio.Reader
	// Length is the announced length of the body; -1 if there is none.
	Length int64
	// Framed says that the end of the body is marked, by its length or by chunks.
	Framed bool

	con  net.Conn
	stop func() bool
	once sync.Once
}

// Close ends the connection. It is idempotent.
func (ans *Answer) Close() {
	ans.once.Do(func() {
		ans.stop()
		_ = ans.con.Close()
	})
}

// Exchanger places requests. Its zero value is ready.
type Exchanger struct {
	// Traffic counts the bytes of the connections; nil counts nothing.
	Traffic *counter.Traffic
}

// Exchange sends a request and waits for the head of its answer. The end of ctx
// ends the connection at once, also while the body is read. It fails with a
// DialError or a NoAnswerError.
func (exc *Exchanger) Exchange(ctx context.Context, address string, req Request) (*Answer, error) {
	dia := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}}
	con, err := dia.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, &DialError{Peer: address, Err: err}
	}
	hea, err := req.Header()
	if err != nil {
		_ = con.Close()
		return nil, &DialError{Peer: address, Err: err}
	}
	con = exc.Traffic.Wrap(con)
	stop := context.AfterFunc(ctx, func() { _ = con.Close() })
	ans, bro := exchange(con, address, req, hea)
	if bro != nil {
		stop()
		_ = con.Close()
		if ctx.Err() != nil {
			bro.Err = errors.Join(context.Cause(ctx), bro.Err)
		}
		return nil, bro
	}
	ans.con, ans.stop = con, stop
	return ans, nil
}

func exchange(con net.Conn, address string, req Request, hea http.Header) (*Answer, *NoAnswerError) {
	sent := make(chan error, 1)
	if len(req.Body) >= concurrentBody {
		go func() { sent <- send(con, req, hea) }()
	} else {
		sent <- send(con, req, hea)
	}
	res, err := receive(con, req.Method) //nolint:bodyclose // Answer.Close ends the connection.
	if err != nil {
		select {
		case wri := <-sent:
			if wri != nil {
				return nil, &NoAnswerError{Peer: address, Step: "sending the request", Err: errors.Join(wri, err)}
			}
		default:
		}
		return nil, &NoAnswerError{Peer: address, Step: "reading the answer", Err: err}
	}
	return &Answer{
		Status: res.StatusCode, Header: res.Header, Length: res.ContentLength, Body: bufio.NewReaderSize(res.Body, readBuffer),
		Framed: res.ContentLength >= 0 || len(res.TransferEncoding) > 0,
	}, nil
}

// send writes the head and the body in one call.
func send(con net.Conn, req Request, header http.Header) error {
	var hea bytes.Buffer
	fmt.Fprintf(&hea, "%s %s HTTP/1.1\r\nHost: %s\r\n", req.Method, req.Target, req.Host)
	if len(req.Body) > 0 || req.Method == http.MethodPost || req.Method == http.MethodPut {
		fmt.Fprintf(&hea, "Content-Length: %d\r\n", len(req.Body))
	}
	if err := header.Write(&hea); err != nil {
		return err
	}
	hea.WriteString("\r\n")
	bufs := net.Buffers{hea.Bytes(), req.Body}
	_, err := bufs.WriteTo(con)
	return err
}

// receive reads the head of the final answer.
func receive(con net.Conn, method string) (*http.Response, error) {
	hea := &headReader{Reader: con, left: maxHead}
	rea := bufio.NewReaderSize(hea, readBuffer)
	for range maxInterim {
		res, err := http.ReadResponse(rea, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if res.StatusCode >= http.StatusOK {
			hea.done = true
			return res, nil
		}
	}
	return nil, errors.New("too many interim answers")
}

var errHeadTooLarge = fmt.Errorf("the head of the answer is over %d bytes", maxHead)

// headReader bounds what is read until the head of an answer is done.
type headReader struct {
	io.Reader
	left int
	done bool
}

// Read reads from the connection.
func (hea *headReader) Read(buf []byte) (int, error) {
	if hea.done {
		return hea.Reader.Read(buf)
	}
	if hea.left <= 0 {
		return 0, errHeadTooLarge
	}
	num, err := hea.Reader.Read(buf[:min(len(buf), hea.left)])
	hea.left -= num
	return num, err
}
