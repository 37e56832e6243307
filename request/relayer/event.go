package relayer

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"

	"hemlockpin/connection/rationer"
)

// maxEventBytes bounds one event of a stream. A faulty endpoint may send data without
// end, and a host relays hundreds of streams at once.
const maxEventBytes = 256 << 10

var errEventTooLarge = errors.New("event of the stream exceeds 256 KiB")

// event is one event of a stream as the endpoint sent it.
type event struct {
	raw []byte
	id  string
	// hasData is false for a block that only has comments or settings.
	hasData bool
}

// readEvent reads one event, up to its final blank line, into buf, which holds it until the next
// call. At the end of the stream it returns io.EOF, or io.ErrUnexpectedEOF within an event.
func readEvent(rea *bufio.Reader, buf *rationer.Buffer) (event, error) {
	buf.Clear()
	var eve event
	for {
		line, err := readLine(rea, buf)
		if err != nil {
			return eve, err
		}
		if len(buf.Bytes()) > maxEventBytes {
			return eve, errEventTooLarge
		}
		if len(line) == 0 {
			if len(bytes.TrimSpace(buf.Bytes())) == 0 {
				buf.Clear()
				continue
			}
			eve.raw = buf.Bytes()
			return eve, nil
		}
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			eve.id = string(bytes.TrimPrefix(value, []byte(" ")))
		}
		eve.hasData = eve.hasData || bytes.HasPrefix(line, []byte("data"))
	}
}

// readLine appends a line to the event in buf and returns it without its line ending.
func readLine(rea *bufio.Reader, buf *rationer.Buffer) ([]byte, error) {
	start := len(buf.Bytes())
	for {
		part, err := rea.ReadSlice('\n')
		if err := buf.Append(part); err != nil {
			return nil, err
		}
		switch {
		case err == nil:
			return bytes.TrimRight(buf.Bytes()[start:], "\r\n"), nil
		case errors.Is(err, bufio.ErrBufferFull) && len(buf.Bytes()) <= maxEventBytes:
		case errors.Is(err, bufio.ErrBufferFull):
			return nil, errEventTooLarge
		case errors.Is(err, io.EOF) && len(buf.Bytes()) > 0:
			return nil, io.ErrUnexpectedEOF
		default:
			return nil, err
		}
	}
}

// follows reports whether an event comes after the last event that the caller received.
// IDs that are not numbers have no order: any ID other than the last one follows.
func follows(id, last string) bool {
	if id == "" || last == "" {
		return true
	}
	newID, err := strconv.ParseInt(id, 10, 64)
	lastID, lastErr := strconv.ParseInt(last, 10, 64)
	if err != nil || lastErr != nil {
		return id != last
	}
	return newID > lastID
}

// position follows the events of one answer, which may begin before the last event that the
// caller received.
type position struct {
	// behind says that the answer has not reached that event yet.
	behind bool
	// repeated counts the events that the caller had already.
	repeated int
}

// repeats reports whether the caller already has the next event of the answer. An event
// without an ID is taken to follow the event before it.
func (pos *position) repeats(id, last string) bool {
	isNew := follows(id, last)
	if id != "" {
		pos.behind = !isNew && id != last
	}
	if !pos.behind && isNew {
		return false
	}
	pos.repeated++
	return true
}
