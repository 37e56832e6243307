package inspector

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
	"golang.org/x/net/http/httpguts"
)

// The statuses of HTTP, which have statusDigits digits.
const (
	minStatus    = 100
	maxStatus    = 599
	statusDigits = 3
)

// Faults of the head of an answer. net/http accepts such answers in part, and what it reads as
// their body then depends on the reader.
var (
	errVersion        = eris.New("answer is of no version of HTTP/1")
	errStatus         = eris.New("answer has no status, or one outside of 100 to 599")
	errReason         = eris.New("reason of the answer has a control character")
	errFieldName      = eris.New("name of a header is no token")
	errFieldValue     = eris.New("value of a header has a control character")
	errLength         = eris.New("length of the answer is malformed, or there are several")
	errEncoding       = eris.New("answer has another transfer encoding than chunks")
	errTwoFrames      = eris.New("answer has both a length and chunks")
	errOldChunks      = eris.New("answer of HTTP/1.0 has chunks")
	errBodyOfNone     = eris.New("answer that has no body announces one")
	errFrameInTrailer = eris.New("trailer of the answer frames its body")
	errUpgrade        = eris.New("endpoint changes the protocol")
)

// head is what the head of an answer says of its body.
type head struct {
	status int
	// minor is the minor version of HTTP/1.
	minor int
	// length is the announced length; -1 for none. chunked says that the body is in chunks.
	length  int64
	chunked bool
}

// parseHead parses the head of an answer, with its empty line. It returns an error if readers of
// HTTP may read it in different ways.
func parseHead(text []byte) (head, error) {
	line, fields, _ := bytes.Cut(text, []byte("\n"))
	hea, err := parseStatusLine(trimReturn(line))
	if err != nil {
		return hea, err
	}
	err = eachField(fields, func(name, value []byte) error {
		switch {
		case isField(name, "Content-Length"):
			return hea.addLength(value)
		case isField(name, "Transfer-Encoding"):
			return hea.addEncoding(value)
		}
		return nil
	})
	if err != nil {
		return hea, err
	}
	return hea, hea.checkFrame()
}

// parseStatusLine parses the first line of an answer. The reason may be missing together with the
// blank before it.
func parseStatusLine(line []byte) (head, error) {
	hea := head{length: -1}
	proto, rest, _ := strings.Cut(string(line), " ")
	major, minor, ok := http.ParseHTTPVersion(proto)
	if !ok || major != 1 {
		return hea, errVersion
	}
	status, reason, _ := strings.Cut(rest, " ")
	number, err := strconv.ParseUint(status, 10, 16)
	if err != nil || number < minStatus || number > maxStatus || len(status) != statusDigits {
		return hea, errStatus
	}
	if !httpguts.ValidHeaderFieldValue(reason) {
		return hea, errReason
	}
	hea.minor, hea.status = minor, int(number)
	return hea, nil
}

// checkFrame returns an error if the end of the body is in doubt.
func (hea *head) checkFrame() error {
	bodiless := hea.status < http.StatusOK || hea.status == http.StatusNoContent
	switch {
	case hea.chunked && hea.minor == 0:
		return errOldChunks
	case hea.chunked && hea.length >= 0:
		return errTwoFrames
	case hea.status == http.StatusSwitchingProtocols:
		return errUpgrade
	case bodiless && (hea.chunked || hea.length > 0):
		return errBodyOfNone
	default:
		return nil
	}
}

// addLength adds a header with the length of the body. Equal lengths count as one.
func (hea *head) addLength(value []byte) error {
	length, err := strconv.ParseUint(string(value), 10, 63)
	if err != nil || hea.length >= 0 && hea.length != int64(length) {
		return errLength
	}
	hea.length = int64(length)
	return nil
}

func (hea *head) addEncoding(value []byte) error {
	if hea.chunked || !bytes.EqualFold(value, []byte("chunked")) {
		return errEncoding
	}
	hea.chunked = true
	return nil
}

// eachField calls fun with the name and the value of each field of a section.
func eachField(section []byte, fun func(name, value []byte) error) error {
	for len(section) > 0 {
		var line []byte
		line, section, _ = bytes.Cut(section, []byte("\n"))
		if line = trimReturn(line); len(line) == 0 {
			return nil
		}
		name, value, err := parseField(line)
		if err != nil {
			return err
		}
		if err := fun(name, value); err != nil {
			return err
		}
	}
	return nil
}

// parseField parses a line of a head. A line that continues the one before it has no name.
func parseField(line []byte) (name, value []byte, err error) {
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok || !httpguts.ValidHeaderFieldName(string(name)) {
		return nil, nil, errFieldName
	}
	if !httpguts.ValidHeaderFieldValue(string(value)) {
		return nil, nil, errFieldValue
	}
	return name, bytes.Trim(value, " \t"), nil
}

// checkTrailer returns an error for a malformed trailer, and for one that would frame the body.
func checkTrailer(text []byte) error {
	return eachField(text, func(name, _ []byte) error {
		if isField(name, "Content-Length") || isField(name, "Transfer-Encoding") {
			return errFrameInTrailer
		}
		return nil
	})
}

// parseChunkSize parses the line with the size of a chunk, without its line end.
func parseChunkSize(line []byte) (int64, error) {
	digits, extension, extended := bytes.Cut(line, []byte(";"))
	if extended {
		digits = bytes.TrimRight(digits, " \t")
	}
	size, err := strconv.ParseUint(string(digits), 16, 63)
	if err != nil || !httpguts.ValidHeaderFieldValue(string(extension)) {
		return 0, errChunkSize
	}
	return int64(size), nil
}

func trimReturn(line []byte) []byte { return bytes.TrimSuffix(line, []byte("\r")) }

func isField(name []byte, want string) bool { return bytes.EqualFold(name, []byte(want)) }
