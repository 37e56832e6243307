package invoker

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func scanAll(text string) ([]Event, error) {
	sca := scanner{requestID: "r"}
	reader := bufio.NewReaderSize(strings.NewReader(text), 64)
	var eves []Event
	for {
		eve, err := sca.next(reader)
		if err != nil {
			return eves, err
		}
		eves = append(eves, eve)
	}
}

// TestScanner decodes events that differ in field order, line ends, escapes and size.
// Token events outside the fast path must be decoded as well, and malformed events must
// fail with errMalformed.
func TestScanner(t *testing.T) {
	tok := Token{RequestID: "r", Attempt: 2, Index: 7, Text: " t00"}
	tts := []struct {
		name, text string
		want       []Event
		err        error
	}{
		{"plain", "event: Token\ndata: {\"RequestID\":\"r\",\"Attempt\":2,\"Index\":7,\"Text\":\" t00\"}\n\n", []Event{tok}, io.EOF},
		{"other order", "event: Token\ndata: {\"Text\":\" t00\",\"Index\":7,\"Attempt\":2,\"RequestID\":\"r\"}\n\n", []Event{tok}, io.EOF},
		{"data first", "data: {\"RequestID\":\"r\",\"Attempt\":2,\"Index\":7,\"Text\":\" t00\"}\nevent: Token\n\n", []Event{tok}, io.EOF},
		{"line ends and comments", ": ping\r\nevent: Idle\r\ndata: {\"Ahead\":3}\r\n\r\n", []Event{Idle{Ahead: 3}}, io.EOF},
		{"escapes", "event: Token\ndata: {\"RequestID\":\"r\",\"Attempt\":2,\"Index\":7,\"Text\":\"\\u00e9\\n\"}\n\n", []Event{Token{"r", 2, 7, "é\n"}}, io.EOF},
		{"long", "event: Token\ndata: {\"RequestID\":\"r\",\"Attempt\":2,\"Index\":7,\"Text\":\"" + strings.Repeat("x", 500) + "\"}\n\n", []Event{Token{"r", 2, 7, strings.Repeat("x", 500)}}, io.EOF},
		{"leading zero", "event: Token\ndata: {\"RequestID\":\"r\",\"Attempt\":02,\"Index\":7,\"Text\":\"x\"}\n\n", nil, errMalformed},
		{"invalid JSON", "event: Token\ndata: {\n\n", nil, errMalformed},
		{"unknown type", "event: Surprise\ndata: {}\n\n", nil, errMalformed},
		{"too long", "event: Token\ndata: " + strings.Repeat("x", maxEventBytes+1) + "\n\n", nil, errMalformed},
		{"too long in lines", "event: Token\n" + strings.Repeat("data: "+strings.Repeat("x", 1000)+"\n", 1200) + "\n", nil, errMalformed},
		{"truncated", "event: Token\ndata: {\"Requ", nil, io.EOF},
	}
	for _, tt := range tts {
		t.Run(tt.name, func(t *testing.T) {
			got, err := scanAll(tt.text)
			require.Equal(t, tt.want, got)
			require.ErrorIs(t, err, tt.err)
		})
	}
}

// FuzzToken checks that parseToken agrees with encoding/json.
func FuzzToken(f *testing.F) {
	f.Add(`{"RequestID":"r","Attempt":1,"Index":2,"Text":" t"}`)
	f.Add(`{"RequestID":"other","Attempt":1,"Index":9223372036854775808,"Text":"\""}`)
	f.Fuzz(func(t *testing.T, data string) {
		sca := scanner{requestID: "r"}
		require.NoError(t, sca.data.Append([]byte(data)))
		parsed, ok := sca.parseToken()
		if !ok {
			return
		}
		var want Token
		require.NoError(t, json.Unmarshal([]byte(data), &want))
		require.Equal(t, want, parsed)
	})
}

// FuzzScanner checks that the scanner neither panics nor returns an error other than
// io.EOF, errMalformed and reportedError.
func FuzzScanner(f *testing.F) {
	f.Add("event: Token\ndata: {}\n\n")
	f.Fuzz(func(t *testing.T, text string) {
		_, err := scanAll(text)
		var rep *reportedError
		known := errors.Is(err, io.EOF) || errors.Is(err, errMalformed) || errors.As(err, &rep)
		require.True(t, known, fmt.Sprint(err))
	})
}
