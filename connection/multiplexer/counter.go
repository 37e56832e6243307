package multiplexer

import (
	"net"
	"sync/atomic"
)

// countedConn counts the bytes that pass through a connection.
type countedConn struct {
	net.Conn
	total *atomic.Int64
}

// Read counts received bytes.
func (con countedConn) Read(buf []byte) (int, error) {
	cou, err := con.Conn.Read(buf)
	con.total.Add(int64(cou))
	return cou, err
}

// Write counts sent bytes.
func (con countedConn) Write(buf []byte) (int, error) {
	cou, err := con.Conn.Write(buf)
	con.total.Add(int64(cou))
	return cou, err
}

// Bytes returns the bytes sent and received over all sessions so far.
func (mul *Multiplexer) Bytes() int64 { return mul.bytes.Load() }
