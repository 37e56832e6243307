package receiver

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
)

// TestPrompts parses bodies from testdata/prompts. In the input, \xff stands for
// that byte, and REPEAT(n,text) for n copies of a text.
func TestPrompts(t *testing.T) {
	datadriven.RunTest(t, "testdata/prompts", func(t *testing.T, dat *datadriven.TestData) string {
		prompt, err := parsePrompt([]byte(expand(t, dat.Input)), dat.Cmd == "chat")
		if err != nil {
			return refusalText(t, err)
		}
		return fmt.Sprintf("%q tokens=%d max=%d stream=%t usage=%t seed=%d ignored=%v\n", prompt.Text, prompt.Tokens, prompt.MaxTokens, prompt.Stream, prompt.IncludeUsage, prompt.Seed, prompt.Ignored)
	})
}

func refusalText(t *testing.T, err error) string {
	t.Helper()
	var refused *RefusalError
	require.ErrorAs(t, err, &refused)
	return fmt.Sprintf("%d %s %s: %s\n", refused.Status, refused.Code, refused.Param, refused.Message)
}

func expand(t *testing.T, text string) string {
	t.Helper()
	for {
		before, after, ok := strings.Cut(text, "REPEAT(")
		if !ok {
			break
		}
		arg, after, _ := strings.Cut(after, ")")
		count, repeated, _ := strings.Cut(arg, ",")
		times, err := strconv.Atoi(count)
		require.NoError(t, err)
		text = before + strings.Repeat(repeated, times) + after
	}
	return strings.ReplaceAll(text, `\xff`, "\xff")
}

// TestHeaders validates headers from testdata/headers and prints the refusal or the
// resulting time limit.
func TestHeaders(t *testing.T) {
	datadriven.RunTest(t, "testdata/headers", func(t *testing.T, dat *datadriven.TestData) string {
		hea := http.Header{}
		for _, line := range strings.Split(expand(t, dat.Input), "\n") {
			name, val, _ := strings.Cut(line, ":")
			hea.Add(name, strings.TrimSpace(val))
		}
		if err := ValidateHeaders(hea, time.Unix(0, 0)); err != nil {
			return refusalText(t, err)
		}
		deadline, err := Deadline(hea, time.Minute, time.Unix(0, 0))
		require.NoError(t, err)
		return fmt.Sprintf("good, limit %s\n", deadline.Sub(time.Unix(0, 0)))
	})
}

// TestBodyBudget reads bodies of announced and unknown length with a budget of
// 50 kB. Memory must be reserved for BodyCopies of the body, and a body beyond the
// budget or the limit must be refused.
func TestBodyBudget(t *testing.T) {
	tts := []struct {
		name           string
		announcedBytes int64
		actualBytes    int
		maxBytes       int64
		reserved       int64
		code           string
	}{
		{"announced", 1000, 1000, 1000, 3000, ""},
		{"announced, too large for the host", 20_000, 20_000, 1 << 20, 0, "host_memory_full"},
		{"announced over the limit", 5000, 5000, 4000, 12_000, "body_too_large"},
		{"empty", 0, 0, 1000, 0, ""},
		{"unknown length", -1, 5000, 1 << 20, 0, "host_memory_full"},
	}
	for _, tt := range tts {
		t.Run(tt.name, func(t *testing.T) {
			bud := &MemoryBudget{MaxBytes: 50_000}
			bod := NewBody(io.NopCloser(strings.NewReader(strings.Repeat("x", tt.actualBytes))), bud, tt.announcedBytes, tt.maxBytes)
			buf, err := ReadBody(bod, tt.maxBytes)
			require.Equal(t, tt.reserved, bud.Reserved())
			bod.Release()
			require.Zero(t, bud.Reserved())
			if tt.code == "" {
				require.NoError(t, err)
				require.Len(t, buf, tt.actualBytes)
				return
			}
			var refused *RefusalError
			require.ErrorAs(t, err, &refused)
			require.Equal(t, tt.code, refused.Code)
		})
	}
}

// TestBodyUnknownLength reads bodies of unknown length, with sizes around those at
// which the reservation grows: each body must be read completely, with memory
// reserved for all its copies.
func TestBodyUnknownLength(t *testing.T) {
	for _, size := range []int{0, 1, firstReserveBytes - 1, firstReserveBytes, firstReserveBytes + 1, 5*firstReserveBytes + 7} {
		bud := &MemoryBudget{MaxBytes: 64 * firstReserveBytes}
		bod := NewBody(io.NopCloser(strings.NewReader(strings.Repeat("x", size))), bud, -1, 1<<20)
		buf, err := ReadBody(bod, 1<<20)
		require.NoError(t, err)
		require.Len(t, buf, size)
		require.GreaterOrEqual(t, bud.Reserved(), int64(size*BodyCopies))
	}
}

// FuzzPrompt checks that parsePrompt never panics, refuses bodies only with status
// 400, and otherwise returns complete prompts.
func FuzzPrompt(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"hum"}]}`), true)
	f.Add([]byte(`{"model":"m","prompt":"hum","stream":true,"stream_options":{"include_usage":true}}`), false)
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"a"}]}],"max_tokens":3}`), true)
	f.Add([]byte(`{"model":"m","prompt":null,"stop":["x"]}`), false)
	f.Add([]byte("{\"model\":\"\xff\"}"), false)
	f.Add([]byte(strings.Repeat("[", 20_000)), true)
	f.Fuzz(func(t *testing.T, buf []byte, chat bool) {
		prompt, err := parsePrompt(buf, chat)
		if err != nil {
			var refused *RefusalError
			require.True(t, errors.As(err, &refused))
			require.Equal(t, http.StatusBadRequest, refused.Status)
			return
		}
		require.NotEmpty(t, prompt.Model)
		require.Positive(t, prompt.MaxTokens)
		require.LessOrEqual(t, prompt.MaxTokens, int64(MaxAnswerTokens))
		require.NotEmpty(t, prompt.Text)
	})
}
