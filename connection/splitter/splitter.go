// Package splitter splits a JSON document into the values of an object or an array without
// decoding these values, so that one value that can't be decoded does not affect the others.
//
// It only looks for the bounds of values. It accepts any nesting, and values that
// encoding/json rejects, as long as strings and brackets end.
package splitter

import (
	"bytes"
	"encoding/json"

	"github.com/rotisserie/eris"
)

// Members returns the values of an object by their keys, which are compared exactly. Of
// several values with one key, it returns the last.
func Members(doc []byte) (map[string]json.RawMessage, error) {
	mems := map[string]json.RawMessage{}
	err := split(doc, '{', '}', func(value []byte) error {
		end, err := valueEnd(value)
		if err != nil {
			return err
		}
		rest := bytes.TrimLeft(value[end:], space)
		if len(rest) == 0 || rest[0] != ':' {
			return eris.New("splitter.Members: a key has no value")
		}
		var key string
		if err := json.Unmarshal(value[:end], &key); err != nil {
			// Another writer's key can't be one that the caller knows.
			return nil
		}
		mems[key] = bytes.Trim(rest[1:], space)
		return nil
	})
	return mems, err
}

// Items returns the values of an array; none for null.
func Items(doc []byte) ([]json.RawMessage, error) {
	if string(bytes.Trim(doc, space)) == "null" {
		return nil, nil
	}
	var items []json.RawMessage
	err := split(doc, '[', ']', func(value []byte) error {
		items = append(items, value)
		return nil
	})
	return items, err
}

// space holds the characters that JSON allows between values.
const space = " \t\r\n"

// split calls each with the texts between the commas of an object or an array.
func split(doc []byte, first, last byte, each func(value []byte) error) error {
	doc = bytes.Trim(doc, space)
	if len(doc) < 2 || doc[0] != first || doc[len(doc)-1] != last {
		return eris.Errorf("splitter: no value from %q to %q", first, last)
	}
	doc = bytes.Trim(doc[1:len(doc)-1], space)
	for len(doc) > 0 {
		end, err := elementEnd(doc)
		if err != nil {
			return err
		}
		if err := each(bytes.Trim(doc[:end], space)); err != nil {
			return err
		}
		if end == len(doc) {
			return nil
		}
		doc = bytes.TrimLeft(doc[end+1:], space)
	}
	return nil
}

// elementEnd returns the position of the first comma outside strings and brackets, or the
// length of the text if it has none.
func elementEnd(doc []byte) (int, error) {
	for i := 0; i < len(doc); {
		if doc[i] == ',' {
			return i, nil
		}
		n, err := valueEnd(doc[i:])
		if err != nil {
			return 0, err
		}
		i += n
	}
	return len(doc), nil
}

// valueEnd returns the length of the string, of the text in brackets, or else of the single
// byte at the beginning of a text that is not empty.
func valueEnd(doc []byte) (int, error) {
	depth := 0
	for i := 0; i < len(doc); i++ {
		switch doc[i] {
		case '"':
			n, err := stringLength(doc[i:])
			if err != nil {
				return 0, err
			}
			i += n - 1
		case '{', '[':
			depth++
		case '}', ']':
			depth--
		}
		if depth < 0 {
			return 0, eris.New("splitter: a bracket closes that was not opened")
		}
		if depth == 0 {
			return i + 1, nil
		}
	}
	return 0, eris.New("splitter: a bracket is not closed")
}

// stringLength returns the length of the string at the beginning of a text, with its quotes.
func stringLength(doc []byte) (int, error) {
	for i := 1; i < len(doc); i++ {
		switch doc[i] {
		case '\\':
			i++
		case '"':
			return i + 1, nil
		}
	}
	return 0, eris.New("splitter: a string is not closed")
}
