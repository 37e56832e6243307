package relayer

import (
	"net/http"
	"strconv"

	"hemlockpin/connection/acceptor"
)

// startFrame sets the header that tells the caller how the end of the answer is marked: by
// its length, by chunks for a stream, whose length is given as -1, or not at all if the
// endpoint's answer was not framed either. It returns whether the end is marked. If it is not,
// the caller's connection is reset when it closes, also when the process is killed, until
// endFrame is called.
func (fwd *forwarding) startFrame(framed bool, length int) bool {
	stream, chunks := length < 0, fwd.htr.ProtoAtLeast(1, 1)
	switch {
	case framed && !stream:
		fwd.wri.Header().Set("Content-Length", strconv.Itoa(length))
		return true
	case framed && chunks:
		return true
	}
	if !acceptor.SetReset(fwd.htr.Context(), true) && stream && chunks {
		// Without a reset, the caller would take an aborted stream for complete.
		return true
	}
	// net/http then sends neither a length nor chunks and closes the connection.
	fwd.wri.Header().Set("Transfer-Encoding", "identity")
	return false
}

// endFrame flushes a complete answer whose end is not marked, so that its connection can be
// closed without a reset. After a failed flush the answer is not complete.
func (fwd *forwarding) endFrame() {
	if http.NewResponseController(fwd.wri).Flush() == nil {
		acceptor.SetReset(fwd.htr.Context(), false)
	}
}
