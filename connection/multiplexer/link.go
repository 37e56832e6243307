package multiplexer

import (
	"net"

	"github.com/hashicorp/yamux"
	"github.com/rotisserie/eris"
)

// link is a yamux session and its underlying connection.
type link struct {
	*yamux.Session
	con net.Conn
}

// newDialedLink opens the session on a connection that this host has dialed.
func newDialedLink(con net.Conn) (link, error) {
	con = closeOnErrorConn{con}
	ses, err := yamux.Client(con, sessionConfig())
	return link{ses, con}, eris.Wrap(err, "multiplexer: open session")
}

// newAcceptedLink opens the session on a connection that a peer has dialed.
func newAcceptedLink(con net.Conn) (link, error) {
	con = closeOnErrorConn{con}
	ses, err := yamux.Server(con, sessionConfig())
	return link{ses, con}, eris.Wrap(err, "multiplexer: accept session")
}

// Close closes the connection, which ends the session. If the yamux session were
// closed first, its stream readers would poll in a busy loop until the connection is
// closed; on a host with one core they would occupy a whole time slice before the
// connection can be closed.
func (lin link) Close() error {
	return eris.Wrapf(lin.con.Close(), "link.Close: peer %s", lin.con.RemoteAddr())
}

// closeOnErrorConn is a connection that closes itself after a failed read or write.
// yamux closes its session after such a failure, and the connection must be closed
// first, as in link.Close.
type closeOnErrorConn struct{ net.Conn }

// Read reads from the connection and closes it if the read fails.
func (clo closeOnErrorConn) Read(buf []byte) (int, error) {
	n, err := clo.Conn.Read(buf)
	if err != nil {
		_ = clo.Close()
	}
	return n, err
}

// Write writes to the connection and closes it if the write fails.
func (clo closeOnErrorConn) Write(buf []byte) (int, error) {
	n, err := clo.Conn.Write(buf)
	if err != nil {
		_ = clo.Close()
	}
	return n, err
}
