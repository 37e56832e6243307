// Package decoder decodes JSON that other programs write.
//
// JSON has a single type of numbers, so that 90, 90.0 and 9e1 are the same number. This package
// decodes each of them into an integer, which encoding/json does only for the first.
package decoder

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

const (
	// maxDigits is the number of digits of the greatest uint64. Longer numbers don't fit into an
	// integer.
	maxDigits = 20
	// maxExponentDigits bounds the exponents that are read.
	maxExponentDigits = 4
	// maxQuotedBytes bounds the part of a value that an error quotes.
	maxQuotedBytes = 40
)

// ValueError is a value that can't be decoded.
type ValueError struct {
	// Field is the path of the value, such as routes.maxAttempts; empty for the document itself.
	Field string
	// Value describes the value, for example "number 2.5".
	Value string
	// Want describes the values that the field can hold.
	Want string
}

// Error returns the field and the value.
func (err *ValueError) Error() string {
	text := fmt.Sprintf("%s is not %s", err.Value, err.Want)
	if err.Field == "" {
		return text
	}
	return err.Field + ": " + text
}

// Unmarshal decodes a document like json.Unmarshal, and whole numbers however they are written. It
// returns a ValueError for a value that does not fit its field.
func Unmarshal(doc []byte, out any) error {
	return describe(json.Unmarshal(Normalize(doc), out))
}

// Read decodes the document that a reader holds. See Unmarshal.
func Read(rea io.Reader, out any) error {
	doc, err := io.ReadAll(rea)
	if err != nil {
		return eris.Wrap(err, "decoder.Read")
	}
	return Unmarshal(doc, out)
}

// Member is a member of an object that may be absent, which the value alone does not tell. Its zero
// value is an absent one.
type Member[T any] struct {
	// Found reports whether the object has the member, also if that is null.
	Found bool
	// Value is the zero value for a member that is null.
	Value T
}

// UnmarshalJSON decodes the value of the member.
func (mem *Member[T]) UnmarshalJSON(doc []byte) error {
	*mem = Member[T]{Found: true}
	return json.Unmarshal(doc, &mem.Value)
}

// describe turns an error of encoding/json about a value into a ValueError.
func describe(err error) error {
	var typ *json.UnmarshalTypeError
	if !errors.As(err, &typ) {
		return err
	}
	value := typ.Value
	if len(value) > maxQuotedBytes {
		value = value[:maxQuotedBytes] + "..."
	}
	return &ValueError{Field: typ.Field, Value: value, Want: describeType(typ.Type.String())}
}

// describeType describes the values of a Go type.
func describeType(name string) string {
	switch {
	case strings.HasPrefix(name, "uint"):
		return "a whole number of 0 or more that fits " + name
	case strings.HasPrefix(name, "int"):
		return "a whole number that fits " + name
	case strings.HasPrefix(name, "float"):
		return "a number that fits " + name
	case strings.HasPrefix(name, "[]"):
		return "a list"
	case name == "string":
		return "a text"
	case name == "bool":
		return "true or false"
	default:
		return "an object"
	}
}

// Normalize returns a document in which all whole numbers that fit into an integer are written
// without a point and an exponent. It does not change anything else, and returns a document
// without such numbers as it is.
func Normalize(doc []byte) []byte {
	var out []byte
	copied := 0
	for i := 0; i < len(doc); {
		switch char := doc[i]; {
		case char == '"':
			i += stringLength(doc[i:])
		case char == '-' || isDigit(char):
			end := i + numberLength(doc[i:])
			if whole, ok := wholeNumber(doc[i:end]); ok {
				out = append(append(out, doc[copied:i]...), whole...)
				copied = end
			}
			i = end
		default:
			i++
		}
	}
	if copied == 0 {
		return doc
	}
	return append(out, doc[copied:]...)
}

func isDigit(char byte) bool { return '0' <= char && char <= '9' }

// stringLength returns the length of the string that a document begins with, up to the end of the
// document if the string isn't closed.
func stringLength(doc []byte) int {
	for i := 1; i < len(doc); {
		n := bytes.IndexAny(doc[i:], `"\`)
		switch {
		case n < 0:
			return len(doc)
		case doc[i+n] == '"':
			return i + n + 1
		default:
			i += n + 2
		}
	}
	return len(doc)
}

// numberLength returns the length of the number that a document begins with.
func numberLength(doc []byte) int {
	for i, char := range doc {
		if !isDigit(char) && !strings.ContainsRune("+-.eE", rune(char)) {
			return i
		}
	}
	return len(doc)
}

// wholeNumber returns a number without its point and exponent. It returns false for a number that
// has neither, that isn't whole, that doesn't fit into an integer, or that JSON does not allow.
func wholeNumber(num []byte) (string, bool) {
	if !bytes.ContainsAny(num, ".eE") && string(num) != "-0" || !json.Valid(num) {
		return "", false
	}
	unsigned, negative := strings.CutPrefix(string(num), "-")
	mantissa, power, _ := strings.Cut(strings.ToLower(unsigned), "e")
	exponent := 0
	if power != "" {
		if len(power) > maxExponentDigits {
			return "", false
		}
		exponent, _ = strconv.Atoi(power)
	}
	before, after, _ := strings.Cut(mantissa, ".")
	digits := strings.TrimLeft(before+after, "0")
	trimmed := strings.TrimRight(digits, "0")
	exponent += len(digits) - len(trimmed) - len(after)
	switch {
	case trimmed == "":
		return "0", true
	case exponent < 0 || len(trimmed)+exponent > maxDigits:
		return "", false
	}
	out := trimmed + strings.Repeat("0", exponent)
	if negative {
		out = "-" + out
	}
	return out, true
}
