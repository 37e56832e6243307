// Package inspector checks that what is read from a connection are answers of HTTP/1.1.
//
// net/http accepts more than the protocol allows, and what it then takes for the status, the
// header or the body of an answer depends on the reader. A Conn passes the bytes of sound answers
// on unchanged, and fails before the end of a head that is none.
package inspector

import (
	"errors"
	"io"
	"net"
	"time"

	"hemlockpin/connection/rationer"

	"github.com/rotisserie/eris"
)

// uploadWait is how long the end of an unframed answer waits for the rest of its request. A reset
// that follows the end arrives within the round trip of the next bytes.
const uploadWait = 150 * time.Millisecond

var (
	// errUnasked reports bytes after an answer while no request was sent.
	errUnasked = eris.New("bytes after the answer belong to no request")
	// errUploadFailed reports an answer that ends with its connection, which failed while the
	// request was written.
	errUploadFailed = eris.New("the connection failed while the request was sent, so the end of the answer is no certain one")
)

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
// Large heads take memory of mem until the next answer or the close; nil for no limit.
func New(con net.Conn, mem rationer.Memory) *Conn {
	out := &Conn{Conn: con}
	out.requests.changed.L = &out.requests.mu
	out.answers.account.memory = mem
	return out
}

// Read reads the bytes of answers. After the last byte that may belong to a sound answer it
// returns an error.
func (con *Conn) Read(buf []byte) (int, error) {
	if con.fault != nil {
		return 0, con.fault
	}
	n, err := con.Conn.Read(buf)
	var sound int
	sound, con.fault = con.answers.check(buf[:n], &con.requests)
	if con.fault == nil && errors.Is(err, io.EOF) {
		con.fault = con.checkEnd()
	}
	switch {
	case con.fault == nil:
		return sound, err
	case sound > 0:
		return sound, nil
	default:
		return 0, con.fault
	}
}

// checkEnd returns an error if the end of the connection is not the end of an unframed answer. The
// kernel reports a reset once, to the reader or to the writer; if it was to the writer, the reader
// finds the same end as after a close. An endpoint that closes its connection without having read
// the request resets it at once or after the end of the answer, depending on what it has received
// by then; both count.
func (con *Conn) checkEnd() error {
	if con.answers.place != inUnframed {
		return nil
	}
	timer := time.AfterFunc(uploadWait, func() {
		con.requests.giveUp()
		// Ends a write in progress, unless it has failed already.
		_ = con.SetWriteDeadline(time.Unix(1, 0))
	})
	defer timer.Stop()
	if err := con.requests.await(); err != nil {
		return eris.Wrap(errUploadFailed, err.Error())
	}
	return nil
}

// Write writes bytes of a request.
func (con *Conn) Write(buf []byte) (int, error) {
	con.requests.begin(buf)
	n, err := con.Conn.Write(buf)
	con.requests.end(err)
	return n, err
}

// Close closes the connection.
func (con *Conn) Close() error {
	con.answers.account.close()
	return con.Conn.Close()
}
