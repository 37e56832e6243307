package inspector

import (
	"bytes"
	"fmt"
	"net/http"

	"github.com/rotisserie/eris"
)

const (
	// maxHeadBytes bounds the heads of the answers to one request in total, and its trailers, since
	// a faulty endpoint may send bytes without end.
	maxHeadBytes = 64 << 10
	// maxAnswers bounds the answers to one request, interim (1xx) and final.
	maxAnswers = 8
	// maxChunkLineBytes bounds the line with the size of a chunk.
	maxChunkLineBytes = 4 << 10
)

var (
	errHeadTooLarge   = fmt.Errorf("the head of the answer is over %d bytes", maxHeadBytes)
	errTooManyAnswers = eris.New("too many interim answers")
	errChunkSize      = eris.New("size of a chunk is malformed")
	errChunkEnd       = eris.New("chunk is longer than its size")
)

// place is what the next byte of a connection belongs to.
type place int

const (
	inHead place = iota
	inLength
	inUnframed
	inChunkSize
	inChunk
	inChunkEnd
	inTrailer
	// afterAnswer is the place after the final answer to a request.
	afterAnswer
)

// answers follows the answers that are read from a connection. Its zero value begins before the
// first one.
type answers struct {
	place place
	// line holds the beginning of a head, of a trailer, or of a line with the size of a chunk.
	line []byte
	// headBytes and interim count the heads of the current request, answered the requests whose
	// final answer is complete. cost is the memory of its heads and of its trailer.
	headBytes int
	interim   int
	cost      int64
	account   account
	answered  int
	// left is the number of bytes that are left of a body or of a chunk.
	left int64
}

// check follows bytes that were read. It returns the number of those that belong to sound answers
// as far as is known, and an error if more follow.
func (ans *answers) check(buf []byte, reqs *requests) (int, error) {
	checked := 0
	for checked < len(buf) {
		n, err := ans.step(buf[checked:], reqs)
		if err != nil {
			return checked, err
		}
		checked += n
	}
	return checked, nil
}

// step follows the first bytes of buf, which is not empty, up to where the next place begins. It
// returns their number.
func (ans *answers) step(buf []byte, reqs *requests) (int, error) {
	switch ans.place {
	case inHead:
		return ans.head(buf, reqs)
	case inTrailer:
		return ans.trailer(buf)
	case inChunkSize:
		return ans.chunkSize(buf)
	case inChunkEnd:
		return ans.chunkEnd(buf)
	case inLength, inChunk:
		n := min(ans.left, int64(len(buf)))
		if ans.left -= n; ans.left > 0 {
			return int(n), nil
		}
		if ans.place == inChunk {
			ans.place = inChunkEnd
		} else {
			ans.complete()
		}
		return int(n), nil
	case afterAnswer:
		if count, _ := reqs.begun(); count <= ans.answered {
			return 0, errUnasked
		}
		ans.place, ans.headBytes, ans.interim, ans.cost = inHead, 0, 0, 0
		return 0, ans.account.hold(0)
	default:
		return len(buf), nil
	}
}

// complete records that the final answer to a request is complete.
func (ans *answers) complete() {
	ans.answered++
	ans.place = afterAnswer
}

// section adds bytes to ans.line up to an empty line. It returns their number, and the section once
// it is complete.
func (ans *answers) section(buf []byte) (n int, section []byte, err error) {
	for n < len(buf) {
		end := bytes.IndexByte(buf[n:], '\n') + 1
		if end > 0 {
			ans.cost += headFieldCost
		} else {
			end = len(buf) - n
		}
		if ans.headBytes += end; ans.headBytes > maxHeadBytes {
			return 0, nil, errHeadTooLarge
		}
		ans.cost += int64(end) * headByteCost
		if ans.cost > smallHeadBytes {
			if err := ans.account.hold(ans.cost); err != nil {
				return 0, nil, err
			}
		}
		ans.line = append(ans.line, buf[n:n+end]...)
		n += end
		if endsWithEmptyLine(ans.line) {
			section, ans.line = ans.line, nil
			return n, section, nil
		}
	}
	return n, nil, nil
}

// endsWithEmptyLine reports whether text ends with an empty line, or is one.
func endsWithEmptyLine(text []byte) bool {
	rest, ok := bytes.CutSuffix(text, []byte("\n"))
	if !ok {
		return false
	}
	rest = bytes.TrimSuffix(rest, []byte("\r"))
	return len(rest) == 0 || rest[len(rest)-1] == '\n'
}

// head follows a head and finds the place after it.
func (ans *answers) head(buf []byte, reqs *requests) (int, error) {
	n, text, err := ans.section(buf)
	if text == nil {
		return n, err
	}
	hea, err := parseHead(text)
	if err != nil {
		return 0, err
	}
	if hea.status < http.StatusOK {
		if ans.interim++; ans.interim >= maxAnswers {
			return 0, errTooManyAnswers
		}
		return n, nil
	}
	_, headOnly := reqs.begun()
	switch {
	case headOnly || hea.status == http.StatusNoContent || hea.status == http.StatusNotModified:
		ans.complete()
	case hea.chunked:
		ans.place = inChunkSize
	case hea.length > 0:
		ans.place, ans.left = inLength, hea.length
	case hea.length == 0:
		ans.complete()
	default:
		ans.place = inUnframed
	}
	return n, nil
}

// chunkSize follows the line with the size of a chunk.
func (ans *answers) chunkSize(buf []byte) (int, error) {
	n := bytes.IndexByte(buf, '\n') + 1
	if n == 0 {
		n = len(buf)
	}
	ans.line = append(ans.line, buf[:n]...)
	if len(ans.line) > maxChunkLineBytes {
		return 0, errChunkSize
	}
	line, complete := bytes.CutSuffix(ans.line, []byte("\r\n"))
	if !complete && ans.line[len(ans.line)-1] == '\n' {
		return 0, errChunkSize
	}
	if !complete {
		return n, nil
	}
	size, err := parseChunkSize(line)
	if err != nil {
		return 0, err
	}
	ans.line = ans.line[:0]
	if ans.left = size; size == 0 {
		ans.place, ans.headBytes = inTrailer, 0
	} else {
		ans.place = inChunk
	}
	return n, nil
}

// chunkEnd follows the end of line after the bytes of a chunk.
func (ans *answers) chunkEnd(buf []byte) (int, error) {
	n := min(len("\r\n")-len(ans.line), len(buf))
	ans.line = append(ans.line, buf[:n]...)
	switch string(ans.line) {
	case "\r":
	case "\r\n":
		ans.place, ans.line = inChunkSize, ans.line[:0]
	default:
		return 0, errChunkEnd
	}
	return n, nil
}

// trailer follows what comes after the last chunk.
func (ans *answers) trailer(buf []byte) (int, error) {
	n, text, err := ans.section(buf)
	if text == nil {
		return n, err
	}
	if err := checkTrailer(text); err != nil {
		return 0, err
	}
	ans.complete()
	return n, nil
}
