// Package acceptor accepts callers' connections up to a limit, and closes them
// when a host drains.
package acceptor

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
)

const (
	// closePause is how often a closing host looks at its connections.
	closePause     = 20 * time.Millisecond
	refusalTimeout = time.Second
	// maxRefusals bounds the surplus connections that are told why; those
	// beyond are closed at once.
	maxRefusals      = 64
	refusalReadBytes = 64 << 10
)

const (
	refusalBody = `{"error":{"message":"the host has too many connections","type":"server_error","param":null,"code":"host_full"}}`
	refusalHead = "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nConnection: close\r\n" +
		"Retry-After: 1\r\nHemlockpin-Run: NotRun\r\nContent-Length: %d\r\n\r\n%s"
)

// Listener bounds the open connections. A surplus one is told so and closed, so
// that the accept queue does not hold callers until their time-outs.
type Listener struct {
	net.Listener
	// Max is the bound, Refused counts the surplus connections.
	Max     int64
	Refused tally.Counter

	open     atomic.Int64
	refusing atomic.Int64
}

// Accept returns the next connection within the limit.
func (lis *Listener) Accept() (net.Conn, error) {
	for {
		con, err := lis.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if lis.open.Add(1) <= lis.Max {
			return &conn{Conn: con, open: &lis.open}, nil
		}
		lis.open.Add(-1)
		lis.Refused.Inc(1)
		go lis.refuse(con)
	}
}

// refuse answers and then reads what the caller still sends, because closing
// with unread data would discard the answer.
func (lis *Listener) refuse(con net.Conn) {
	defer con.Close()
	defer lis.refusing.Add(-1)
	if lis.refusing.Add(1) > maxRefusals {
		return
	}
	_ = con.SetDeadline(time.Now().Add(refusalTimeout))
	if _, err := fmt.Fprintf(con, refusalHead, len(refusalBody), refusalBody); err != nil {
		return
	}
	if tcp, ok := con.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_, _ = io.CopyN(io.Discard, con, refusalReadBytes)
}

// Open returns the number of open connections.
func (lis *Listener) Open() int64 { return lis.open.Load() }

// Drain takes no more connections and waits until the open ones have ended.
// Server.Shutdown would close a connection without an answer whose request is
// read after the shutdown began.
func (lis *Listener) Drain(ser *http.Server) {
	for {
		// This also closes the idle connections. It comes before the end of the
		// listener, so that each later answer tells its caller to leave.
		ser.SetKeepAlivesEnabled(false)
		_ = lis.Close()
		if lis.open.Load() == 0 {
			return
		}
		time.Sleep(closePause)
	}
}

// conn leaves its place when it is closed.
type conn struct {
	net.Conn
	open   *atomic.Int64
	closed atomic.Bool
}

// Close closes the connection.
func (con *conn) Close() error {
	if !con.closed.Swap(true) {
		con.open.Add(-1)
	}
	return con.Conn.Close()
}
