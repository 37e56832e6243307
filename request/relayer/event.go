package relayer

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// maxEvent bounds one event of a stream: an endpoint in trouble may send bytes without
// end, and a host passes hundreds of streams on.
const maxEvent = 256 << 10

var errEventTooLarge = errors.New("an event of the stream is too large")

// event is one event of a stream as the endpoint sent it.
type event struct {
	raw []byte
	id  string
}

// readEvent reads up to the blank line that ends an event. It fails with io.EOF
// between two events and with io.ErrUnexpectedEOF within one. The bytes are
// appended to buf.
func readEvent(rea *bufio.Reader, buf []byte) (event, error) {
	eve := event{raw: buf[:0]}
	for {
		lin, err := readLine(rea, &eve)
		if err != nil {
			return eve, err
		}
		if len(eve.raw) > maxEvent {
			return eve, errEventTooLarge
		}
		if len(lin) == 0 {
			if len(bytes.TrimSpace(eve.raw)) == 0 {
				eve.raw = eve.raw[:0]
				continue
			}
			return eve, nil
		}
		if val, ok := bytes.CutPrefix(lin, []byte("id:")); ok {
			eve.id = string(bytes.TrimPrefix(val, []byte(" ")))
		}
	}
}

// readLine appends a line to the event and returns it without its end.
func readLine(rea *bufio.Reader, eve *event) ([]byte, error) {
	beg := len(eve.raw)
	for {
		par, err := rea.ReadSlice('\n')
		eve.raw = append(eve.raw, par...)
		switch {
		case err == nil:
			return bytes.TrimRight(eve.raw[beg:], "\r\n"), nil
		case errors.Is(err, bufio.ErrBufferFull) && len(eve.raw) <= maxEvent:
		case errors.Is(err, bufio.ErrBufferFull):
			return nil, errEventTooLarge
		case errors.Is(err, io.EOF) && len(eve.raw) > 0:
			return nil, io.ErrUnexpectedEOF
		default:
			return nil, err
		}
	}
}

// follows reports whether an event comes after the last one that the caller has.
// Identifiers that are no numbers are only told apart.
func follows(id, last string) bool {
	if id == "" || last == "" {
		return true
	}
	num, err := strconv.ParseInt(id, 10, 64)
	old, err2 := strconv.ParseInt(last, 10, 64)
	if err != nil || err2 != nil {
		return id != last
	}
	return num > old
}
