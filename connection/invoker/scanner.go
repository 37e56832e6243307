package invoker

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"strconv"

	"github.com/rotisserie/eris"
)

// errMalformed marks an event that can't be read.
var errMalformed = eris.New("malformed event")

// reportedError is a failure that the engine itself reports on a stream.
type reportedError struct {
	Code    string
	Message string
}

// Error formats the report.
func (err *reportedError) Error() string { return err.Code + ": " + err.Message }

// scanner reads server-sent events. Tokens in the plain form, which is nearly
// all of a stream, are read without reflection.
type scanner struct {
	// requestID saves a copy of the identifier for each token.
	requestID string
	kind      []byte
	data      []byte
	long      []byte
}

// next reads one event.
func (sca *scanner) next(rea *bufio.Reader) (Event, error) {
	sca.kind = sca.kind[:0]
	sca.data = sca.data[:0]
	for {
		lin, err := sca.line(rea)
		if err != nil {
			return nil, err
		}
		if len(lin) == 0 && len(sca.kind) == 0 && len(sca.data) == 0 {
			continue
		}
		if len(lin) == 0 {
			return sca.decode()
		}
		if err := sca.field(lin); err != nil {
			return nil, err
		}
	}
}

// line reads one line without its end. It is valid until the next read.
func (sca *scanner) line(rea *bufio.Reader) ([]byte, error) {
	lin, err := rea.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		sca.long = append(sca.long[:0], lin...)
		lin, err = sca.longLine(rea)
	}
	if err != nil {
		return nil, err
	}
	return bytes.TrimSuffix(lin[:len(lin)-1], []byte("\r")), nil
}

func (sca *scanner) longLine(rea *bufio.Reader) ([]byte, error) {
	for {
		lin, err := rea.ReadSlice('\n')
		sca.long = append(sca.long, lin...)
		if len(sca.long) > maxEventBytes {
			return nil, eris.Wrapf(errMalformed, "the event is over %d bytes", maxEventBytes)
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return sca.long, err
		}
	}
}

func (sca *scanner) field(lin []byte) error {
	nam, val, _ := bytes.Cut(lin, []byte(":"))
	val = bytes.TrimPrefix(val, []byte(" "))
	switch string(nam) {
	case "event":
		sca.kind = append(sca.kind[:0], val...)
	case "data":
		if len(sca.data) > 0 {
			sca.data = append(sca.data, '\n')
		}
		sca.data = append(sca.data, val...)
	}
	if len(sca.data) > maxEventBytes {
		return eris.Wrapf(errMalformed, "the event is over %d bytes", maxEventBytes)
	}
	return nil
}

func (sca *scanner) decode() (Event, error) {
	switch string(sca.kind) {
	case "Token":
		if tok, ok := sca.token(); ok {
			return tok, nil
		}
		return decodeAs[Token](sca.data)
	case "Finish":
		return decodeAs[Finish](sca.data)
	case "Idle":
		return decodeAs[Idle](sca.data)
	case "Error":
		var rep reportedError
		if err := json.Unmarshal(sca.data, &rep); err != nil {
			return nil, eris.Wrapf(errMalformed, "error event %.64q", sca.data)
		}
		return nil, &rep
	default:
		return nil, eris.Wrapf(errMalformed, "unknown event type %.64q", sca.kind)
	}
}

func decodeAs[E Event](dat []byte) (Event, error) {
	var eve E
	if err := json.Unmarshal(dat, &eve); err != nil {
		return nil, eris.Wrapf(errMalformed, "%T: %v", eve, err)
	}
	return eve, nil
}

// token reads a token whose fields come in the usual order without escapes.
func (sca *scanner) token() (Token, bool) {
	cur := cursor{rest: sca.data, ok: true}
	cur.skip(`{"RequestID":`)
	id := cur.text()
	cur.skip(`,"Attempt":`)
	att := cur.number()
	cur.skip(`,"Index":`)
	ind := cur.number()
	cur.skip(`,"Text":`)
	txt := cur.text()
	cur.skip("}")
	if !cur.ok || len(cur.rest) > 0 {
		return Token{}, false
	}
	tok := Token{RequestID: sca.requestID, Attempt: int(att), Index: ind, Text: string(txt)}
	if string(id) != sca.requestID {
		tok.RequestID = string(id)
	}
	return tok, true
}

// cursor walks over JSON of a known form; ok turns false where it differs.
type cursor struct {
	rest []byte
	ok   bool
}

func (cur *cursor) skip(txt string) {
	if !cur.ok || len(cur.rest) < len(txt) || string(cur.rest[:len(txt)]) != txt {
		cur.ok = false
		return
	}
	cur.rest = cur.rest[len(txt):]
}

// text reads a string of printable ASCII without escapes.
func (cur *cursor) text() []byte {
	cur.skip(`"`)
	if !cur.ok {
		return nil
	}
	for ind, byt := range cur.rest {
		if byt == '"' {
			txt := cur.rest[:ind]
			cur.rest = cur.rest[ind+1:]
			return txt
		}
		if byt < ' ' || byt > '~' || byt == '\\' {
			break
		}
	}
	cur.ok = false
	return nil
}

func (cur *cursor) number() int64 {
	end := 0
	for end < len(cur.rest) && cur.rest[end] >= '0' && cur.rest[end] <= '9' {
		end++
	}
	num, err := strconv.ParseInt(string(cur.rest[:end]), 10, 64)
	if err != nil || end > 1 && cur.rest[0] == '0' {
		cur.ok = false
		return 0
	}
	cur.rest = cur.rest[end:]
	return num
}
