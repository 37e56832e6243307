package relayer

import (
	"context"
	"net"
	"net/http"
	"strconv"
)

// connKey is the key of a caller's connection in the contexts of its calls.
type connKey struct{}

// lingerer is a connection that can be reset instead of closed, such as *net.TCPConn.
type lingerer interface{ SetLinger(seconds int) error }

// ConnContext keeps a caller's connection in the contexts of its calls, as
// http.Server.ConnContext. Without it, streams that end with their connection can't be
// forwarded as such, and are aborted at their end.
func ConnContext(ctx context.Context, con net.Conn) context.Context {
	if lin, ok := con.(lingerer); ok {
		return context.WithValue(ctx, connKey{}, lin)
	}
	return ctx
}

// startFrame sets the header that tells the caller how the end of the answer is marked: by
// its length, by chunks if length is negative, or not at all if the endpoint's answer was not
// framed either. It returns whether the end is marked. If it is not, the caller's connection
// is reset when it closes, also when the process is killed, until endFrame is called.
func (fwd *forwarding) startFrame(framed bool, length int) bool {
	stream, chunks := length < 0, fwd.htr.ProtoAtLeast(1, 1)
	switch {
	case framed && !stream:
		fwd.wri.Header().Set("Content-Length", strconv.Itoa(length))
		return true
	case framed && chunks:
		return true
	}
	if !fwd.setLinger(0) && stream && chunks {
		// Without a reset, the caller would take an aborted stream for complete.
		return true
	}
	// net/http then sends neither a length nor chunks and closes the connection.
	fwd.wri.Header().Set("Transfer-Encoding", "identity")
	return false
}

// endFrame flushes a complete answer whose end is not marked, so that its connection can be
// closed without a reset.
func (fwd *forwarding) endFrame() {
	_ = http.NewResponseController(fwd.wri).Flush()
	fwd.setLinger(-1)
}

// setLinger sets how the caller's connection closes: 0 resets it, -1 closes it after all data
// is sent. It returns false if the connection is not known.
func (fwd *forwarding) setLinger(seconds int) bool {
	lin, ok := fwd.htr.Context().Value(connKey{}).(lingerer)
	if !ok {
		return false
	}
	if err := lin.SetLinger(seconds); err != nil {
		fwd.log.Warn().Str("Peer", fwd.htr.RemoteAddr).Int("Seconds", seconds).Err(err).Msg("setting how the caller's connection closes failed")
		return false
	}
	return true
}
