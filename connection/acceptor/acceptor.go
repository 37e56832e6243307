// Package acceptor accepts callers' connections up to a limit, and waits until they
// are closed when a host drains.
package acceptor

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
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
	// minWait is how long a connection without a request is kept for certain, also if the
	// process has as many connections as it may have.
	minWait = time.Second
)

const (
	refusalBody = `{"error":{"message":"the host has too many connections","type":"server_error","param":null,"code":"host_full"}}`
	refusalHead = "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nConnection: close\r\n" +
		"Retry-After: 1\r\nHemlockpin-Run: NotRun\r\nContent-Length: %d\r\n\r\n%s"
)

// Listener bounds the number of open connections. A surplus connection takes the place of
// the one that has waited longest without a request; if there is none, it is answered with
// 503 and closed, so that callers do not wait in the accept queue until they time out.
type Listener struct {
	net.Listener
	// Max is the maximum number of open connections. Refused counts the connections
	// above it.
	Max     int64
	Refused tally.Counter
	// Heads bounds the heads of the requests. Several listeners may share it. It requires a server
	// with ConnState and CountHeads; nil for no bound, and then no connection gives way.
	Heads *HeadBudget

	open     atomic.Int64
	refusals atomic.Int64

	mu   sync.Mutex
	cons map[*conn]struct{}
}

// Accept returns the next connection within the limit.
func (lis *Listener) Accept() (net.Conn, error) {
	for {
		con, err := lis.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if lis.open.Add(1) <= lis.Max || lis.displace(time.Now()) {
			return lis.track(con), nil
		}
		lis.open.Add(-1)
		lis.Refused.Inc(1)
		go lis.refuse(con)
	}
}

// track returns a connection as one of the open ones.
func (lis *Listener) track(con net.Conn) *conn {
	lis.mu.Lock()
	defer lis.mu.Unlock()
	if lis.cons == nil {
		lis.cons = map[*conn]struct{}{}
	}
	tracked := &conn{Conn: con, lis: lis, heads: lis.Heads, head: headAccount{since: time.Now()}}
	lis.cons[tracked] = struct{}{}
	return tracked
}

// displace closes the connection that has waited longest without a request, for at least
// minWait. It returns false if there is none.
func (lis *Listener) displace(now time.Time) bool {
	if lis.Heads == nil {
		return false
	}
	lis.mu.Lock()
	var oldest *conn
	var since time.Time
	for con := range lis.cons {
		if at, waits := lis.Heads.waitingSince(con); waits && now.Sub(at) >= minWait && (oldest == nil || at.Before(since)) {
			oldest, since = con, at
		}
	}
	lis.mu.Unlock()
	if oldest == nil {
		return false
	}
	lis.Heads.count("waiting")
	_ = oldest.Close()
	return true
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

// conn is an open connection of a Listener.
type conn struct {
	net.Conn
	lis    *Listener
	heads  *HeadBudget
	head   headAccount
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

// SetWriteBuffer sets the size of the kernel's buffer for data to the caller, see net.TCPConn.
func (con *conn) SetWriteBuffer(size int) error {
	tcp, ok := con.Conn.(*net.TCPConn)
	if !ok {
		return fmt.Errorf("conn.SetWriteBuffer: %T is no TCP connection", con.Conn)
	}
	return tcp.SetWriteBuffer(size)
}

// Close closes the connection. Only the first call reduces the count of open connections.
func (con *conn) Close() error {
	if !con.closed.Swap(true) {
		con.heads.endRequest(con, time.Now())
		con.lis.mu.Lock()
		delete(con.lis.cons, con)
		con.lis.mu.Unlock()
		con.lis.open.Add(-1)
	}
	return con.Conn.Close()
}
