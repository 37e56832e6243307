package invoker

import (
	"bufio"
	"bytes"
	"errors"
	"strconv"

	"hemlockpin/connection/decoder"
	"hemlockpin/connection/rationer"

	"github.com/rotisserie/eris"
)

// maxEventTypeBytes bounds the type of an event.
const maxEventTypeBytes = 256

// errMalformed reports an event that cannot be decoded.
var errMalformed = eris.New("malformed event")

// reportedError is a failure that the engine reports as an event of a stream.
type reportedError struct {
	Code    string
	Message string
}

// Error returns the engine's code and message.
func (err *reportedError) Error() string { return err.Code + ": " + err.Message }

// scanner reads server-sent events. Token events in the usual form, which are
// nearly all events of a stream, are decoded without reflection.
type scanner struct {
	// requestID is the request identifier of the stream. Tokens with this identifier
	// share the string, which saves an allocation for each token.
	requestID string
	eventType []byte
	data      rationer.Buffer
	longLine  rationer.Buffer
}

// release gives the memory of the scanner back.
func (sca *scanner) release() {
	sca.data.Release()
	sca.longLine.Release()
}

// next reads one event. An error event is returned as a reportedError.
func (sca *scanner) next(reader *bufio.Reader) (Event, error) {
	sca.eventType = sca.eventType[:0]
	sca.data.Clear()
	sca.longLine.Clear()
	for {
		line, err := sca.readLine(reader)
		if err != nil {
			return nil, err
		}
		if len(line) == 0 && len(sca.eventType) == 0 && len(sca.data.Bytes()) == 0 {
			continue
		}
		if len(line) == 0 {
			return sca.decode()
		}
		if err := sca.parseField(line); err != nil {
			return nil, err
		}
	}
}

// readLine returns one line without its line end. The result is valid until the
// next read.
func (sca *scanner) readLine(reader *bufio.Reader) ([]byte, error) {
	line, err := reader.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		sca.longLine.Clear()
		if err := sca.longLine.Append(line); err != nil {
			return nil, err
		}
		line, err = sca.readLongLine(reader)
	}
	if err != nil {
		return nil, err
	}
	return bytes.TrimSuffix(line[:len(line)-1], []byte("\r")), nil
}

// readLongLine reads the rest of a line that exceeds the reader's buffer and returns
// the line.
func (sca *scanner) readLongLine(reader *bufio.Reader) ([]byte, error) {
	for {
		line, err := reader.ReadSlice('\n')
		if err := sca.longLine.Append(line); err != nil {
			return nil, err
		}
		if len(sca.longLine.Bytes()) > maxEventBytes {
			return nil, eris.Wrapf(errMalformed, "the event is over %d bytes", maxEventBytes)
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return sca.longLine.Bytes(), err
		}
	}
}

func (sca *scanner) parseField(line []byte) error {
	name, val, _ := bytes.Cut(line, []byte(":"))
	val = bytes.TrimPrefix(val, []byte(" "))
	switch string(name) {
	case "event":
		if len(val) > maxEventTypeBytes {
			return eris.Wrapf(errMalformed, "unknown event type %.64q", val)
		}
		sca.eventType = append(sca.eventType[:0], val...)
	case "data":
		if len(sca.data.Bytes()) > 0 {
			if err := sca.data.Append([]byte{'\n'}); err != nil {
				return err
			}
		}
		if err := sca.data.Append(val); err != nil {
			return err
		}
	}
	if len(sca.data.Bytes()) > maxEventBytes {
		return eris.Wrapf(errMalformed, "the event is over %d bytes", maxEventBytes)
	}
	return nil
}

func (sca *scanner) decode() (Event, error) {
	switch string(sca.eventType) {
	case "Token":
		if tok, ok := sca.parseToken(); ok {
			return tok, nil
		}
		return decodeAs[Token](sca.data.Bytes())
	case "Finish":
		return decodeAs[Finish](sca.data.Bytes())
	case "Idle":
		return decodeAs[Idle](sca.data.Bytes())
	case "Error":
		var rep reportedError
		if err := decoder.Unmarshal(sca.data.Bytes(), &rep); err != nil {
			return nil, eris.Wrapf(errMalformed, "error event %.64q", sca.data.Bytes())
		}
		return nil, &rep
	default:
		return nil, eris.Wrapf(errMalformed, "unknown event type %.64q", sca.eventType)
	}
}

func decodeAs[E Event](data []byte) (Event, error) {
	var eve E
	if err := decoder.Unmarshal(data, &eve); err != nil {
		return nil, eris.Wrapf(errMalformed, "%T: %v", eve, err)
	}
	return eve, nil
}

// parseToken decodes a token event whose fields are in the engines' usual order and
// contain no escapes. It returns false for any other form.
func (sca *scanner) parseToken() (Token, bool) {
	cur := cursor{remaining: sca.data.Bytes(), ok: true}
	cur.expect(`{"RequestID":`)
	id := cur.text()
	cur.expect(`,"Attempt":`)
	attempt := cur.number()
	cur.expect(`,"Index":`)
	index := cur.number()
	cur.expect(`,"Text":`)
	text := cur.text()
	cur.expect("}")
	if !cur.ok || len(cur.remaining) > 0 {
		return Token{}, false
	}
	tok := Token{RequestID: sca.requestID, Attempt: int(attempt), Index: index, Text: string(text)}
	if string(id) != sca.requestID {
		tok.RequestID = string(id)
	}
	return tok, true
}

// cursor parses JSON of a known form; ok becomes false at the first difference.
type cursor struct {
	remaining []byte
	ok        bool
}

func (cur *cursor) expect(text string) {
	if !cur.ok || len(cur.remaining) < len(text) || string(cur.remaining[:len(text)]) != text {
		cur.ok = false
		return
	}
	cur.remaining = cur.remaining[len(text):]
}

// text parses a string of printable ASCII without escapes.
func (cur *cursor) text() []byte {
	cur.expect(`"`)
	if !cur.ok {
		return nil
	}
	for i, char := range cur.remaining {
		if char == '"' {
			text := cur.remaining[:i]
			cur.remaining = cur.remaining[i+1:]
			return text
		}
		if char < ' ' || char > '~' || char == '\\' {
			break
		}
	}
	cur.ok = false
	return nil
}

func (cur *cursor) number() int64 {
	end := 0
	for end < len(cur.remaining) && cur.remaining[end] >= '0' && cur.remaining[end] <= '9' {
		end++
	}
	n, err := strconv.ParseInt(string(cur.remaining[:end]), 10, 64)
	if err != nil || end > 1 && cur.remaining[0] == '0' {
		cur.ok = false
		return 0
	}
	cur.remaining = cur.remaining[end:]
	return n
}
