// Package counter counts the bytes that connections carry.
package counter

import (
	"context"
	"net"
	"sync/atomic"
	"time"
)

// Traffic counts the bytes of a set of connections. Its zero value is ready.
// A nil Traffic counts nothing.
type Traffic struct {
	sent     atomic.Int64
	received atomic.Int64
	opened   atomic.Int64
}

// Totals are the counts since the start.
type Totals struct {
	// Sent and Received are payload bytes of TCP, without its headers.
	Sent     int64
	Received int64
	// Opened counts connections.
	Opened int64
}

// Bytes sums both directions.
func (tot Totals) Bytes() int64 { return tot.Sent + tot.Received }

// Totals returns the counts.
func (tra *Traffic) Totals() Totals {
	if tra == nil {
		return Totals{}
	}
	return Totals{Sent: tra.sent.Load(), Received: tra.received.Load(), Opened: tra.opened.Load()}
}

// Wrap counts a connection from now on.
func (tra *Traffic) Wrap(con net.Conn) net.Conn {
	if tra == nil {
		return con
	}
	tra.opened.Add(1)
	return &conn{Conn: con, traffic: tra}
}

// Dialer returns a dial function that counts its connections.
func (tra *Traffic) Dialer(timeout time.Duration) func(ctx context.Context, network, address string) (net.Conn, error) {
	dia := net.Dialer{Timeout: timeout}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		con, err := dia.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return tra.Wrap(con), nil
	}
}

type conn struct {
	net.Conn
	traffic *Traffic
}

func (con *conn) Read(buf []byte) (int, error) {
	num, err := con.Conn.Read(buf)
	con.traffic.received.Add(int64(num))
	return num, err
}

func (con *conn) Write(buf []byte) (int, error) {
	num, err := con.Conn.Write(buf)
	con.traffic.sent.Add(int64(num))
	return num, err
}
