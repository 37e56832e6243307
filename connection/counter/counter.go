// Package counter counts the bytes sent and received on connections.
package counter

import (
	"context"
	"net"
	"sync/atomic"
	"time"
)

// Traffic counts the bytes of a set of connections. Its zero value is ready to
// use, and a nil Traffic counts nothing. It is safe for concurrent use.
type Traffic struct {
	sent     atomic.Int64
	received atomic.Int64
	opened   atomic.Int64
}

// Totals are the counts of a Traffic since it was created.
type Totals struct {
	// Sent and Received are TCP payload bytes, without headers.
	Sent     int64
	Received int64
	// Opened is the number of connections counted so far, including closed
	// connections.
	Opened int64
}

// Bytes returns the number of bytes sent and received.
func (tot Totals) Bytes() int64 { return tot.Sent + tot.Received }

// Totals returns the current counts; zero for a nil Traffic.
func (tra *Traffic) Totals() Totals {
	if tra == nil {
		return Totals{}
	}
	return Totals{Sent: tra.sent.Load(), Received: tra.received.Load(), Opened: tra.opened.Load()}
}

// Wrap returns a connection whose bytes are counted.
func (tra *Traffic) Wrap(con net.Conn) net.Conn {
	if tra == nil {
		return con
	}
	tra.opened.Add(1)
	return &conn{Conn: con, traffic: tra}
}

// Dialer returns a dial function whose connections are counted. The timeout
// bounds each dial.
func (tra *Traffic) Dialer(timeout time.Duration) func(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		con, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return tra.Wrap(con), nil
	}
}

// conn counts the bytes of a connection.
type conn struct {
	net.Conn
	traffic *Traffic
}

func (con *conn) Read(buf []byte) (int, error) {
	n, err := con.Conn.Read(buf)
	con.traffic.received.Add(int64(n))
	return n, err
}

func (con *conn) Write(buf []byte) (int, error) {
	n, err := con.Conn.Write(buf)
	con.traffic.sent.Add(int64(n))
	return n, err
}
