// Package acceptor accepts callers' connections up to a limit, and waits until they
// are closed when a host drains.
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
	// drainPollInterval is how often a draining host checks for open connections.
	drainPollInterval = 20 * time.Millisecond
	// refusalTimeout bounds the refusal of a connection, and refusalReadBytes what is
	// read from the connection after its answer.
	refusalTimeout = time.Second
	// maxRefusals bounds the surplus connections that concurrently get a 503
	// answer; further surplus connections are closed without an answer.
	maxRefusals      = 64
	refusalReadBytes = 64 << 10
)

const (
	refusalBody = `{"error":{"message":"the host has too many connections","type":"server_error","param":null,"code":"host_full"}}`
	refusalHead = "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nConnection: close\r\n" +
		"Retry-After: 1\r\nHemlockpin-Run: NotRun\r\nContent-Length: %d\r\n\r\n%s"
)

// Listener bounds the number of open connections. It answers a surplus connection
// with 503 and closes it, so that callers do not wait in the accept queue until
// they time out.
type Listener struct {
	net.Listener
	// Max is the maximum number of open connections. Refused counts the connections
	// above it.
	Max     int64
	Refused tally.Counter

	open     atomic.Int64
	refusals atomic.Int64
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

// refuse answers with 503 and then reads what the caller still sends, because
// closing a connection with unread data would discard the answer.
func (lis *Listener) refuse(con net.Conn) {
	defer con.Close()
	defer lis.refusals.Add(-1)
	if lis.refusals.Add(1) > maxRefusals {
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

// Drain accepts no further connections and waits until all open connections are
// closed. http.Server.Shutdown is not used: it closes a connection without an
// answer if its request is read after the shutdown began.
func (lis *Listener) Drain(server *http.Server) {
	for {
		// SetKeepAlivesEnabled is called before the listener is closed, so that every
		// answer after that has Connection: close. It also closes idle connections; the
		// loop repeats the call for connections that became idle.
		server.SetKeepAlivesEnabled(false)
		_ = lis.Close()
		if lis.open.Load() == 0 {
			return
		}
		time.Sleep(drainPollInterval)
	}
}

// conn is a connection that reduces the count of open connections when it is
// closed.
type conn struct {
	net.Conn
	open   *atomic.Int64
	closed atomic.Bool
}

// SetLinger sets how the connection closes, see net.TCPConn. Other connections than those of
// TCP return an error.
func (con *conn) SetLinger(seconds int) error {
	tcp, ok := con.Conn.(*net.TCPConn)
	if !ok {
		return fmt.Errorf("conn.SetLinger: %T is no TCP connection", con.Conn)
	}
	return tcp.SetLinger(seconds)
}

// Close closes the connection. Only the first call reduces the count.
func (con *conn) Close() error {
	if !con.closed.Swap(true) {
		con.open.Add(-1)
	}
	return con.Conn.Close()
}
