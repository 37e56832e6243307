package multiplexer

import (
	"net"

	"github.com/hashicorp/yamux"
	"github.com/rotisserie/eris"
)

// link is a yamux session and the connection under it.
type link struct {
	*yamux.Session
	con net.Conn
}

// dialed opens the session of a connection that this host has dialed.
func dialed(con net.Conn) (link, error) {
	con = failing{con}
	ses, err := yamux.Client(con, sessionConfig())
	return link{ses, con}, eris.Wrap(err, "multiplexer: open session")
}

// accepted opens the session of a connection that a peer has dialed.
func accepted(con net.Conn) (link, error) {
	con = failing{con}
	ses, err := yamux.Server(con, sessionConfig())
	return link{ses, con}, eris.Wrap(err, "multiplexer: accept session")
}

// Close ends the session through its connection. When a yamux session is closed
// first, the readers of its streams poll without a pause until the connection is
// closed, which takes a whole time slice of a host with one core.
func (lin link) Close() error {
	return eris.Wrapf(lin.con.Close(), "link.Close: peer %s", lin.con.RemoteAddr())
}

// failing is a connection that closes itself when it can't be written to, for the
// same reason.
type failing struct{ net.Conn }

// Write writes to the connection.
func (fai failing) Write(buf []byte) (int, error) {
	num, err := fai.Conn.Write(buf)
	if err != nil {
		_ = fai.Close()
	}
	return num, err
}
