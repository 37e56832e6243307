// Package inspector checks that what is read from a connection are answers of HTTP/1.1.
//
// net/http accepts more than the protocol allows, and what it then takes for the status, the
// header or the body of an answer depends on the reader. A Conn passes the bytes of sound answers
// on unchanged, and fails before the end of a head that is none.
package inspector

import (
	"net"

	"github.com/rotisserie/eris"
)

// errUnasked reports bytes after an answer while no request was sent.
var errUnasked = eris.New("bytes after the answer belong to no request")

// Conn is a connection on which requests are written and their answers read, one request at a
// time. One goroutine at a time may read, and another one write.
type Conn struct {
	net.Conn
	requests requests
	answers  answers
	// fault is the fault of the bytes after those that have been returned.
	fault error
}

// New returns a connection that reads answers from con, on which no request has been written.
func New(con net.Conn) *Conn { return &Conn{Conn: con} }

// Read reads the bytes of answers. After the last byte that may belong to a sound answer it
// returns an error.
func (con *Conn) Read(buf []byte) (int, error) {
	if con.fault != nil {
		return 0, con.fault
	}
	n, err := con.Conn.Read(buf)
	var sound int
	sound, con.fault = con.answers.check(buf[:n], &con.requests)
	if con.fault != nil && sound == 0 {
		return 0, con.fault
	}
	return sound, err
}

// Write writes bytes of a request.
func (con *Conn) Write(buf []byte) (int, error) {
	con.requests.begin(buf)
	return con.Conn.Write(buf)
}
