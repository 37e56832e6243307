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

// TestPrompts reads bodies from testdata/prompts. In the input, Go escapes such
// as \xff stand for bytes, and REPEAT(n,text) repeats a text.
func TestPrompts(t *testing.T) {
	datadriven.RunTest(t, "testdata/prompts", func(t *testing.T, dat *datadriven.TestData) string {
		pro, err := parsePrompt([]byte(expand(t, dat.Input)), dat.Cmd == "chat")
		if err != nil {
			return faultText(t, err)
		}
		return fmt.Sprintf("%q tokens=%d max=%d stream=%t usage=%t seed=%d ignored=%v\n", pro.Text, pro.Tokens, pro.MaxTokens, pro.Stream, pro.IncludeUsage, pro.Seed, pro.Ignored)
	})
}

func faultText(t *testing.T, err error) string {
	t.Helper()
	var bad *BadRequestError
	require.ErrorAs(t, err, &bad)
	return fmt.Sprintf("%d %s %s: %s\n", bad.Status, bad.Code, bad.Param, bad.Message)
}

func expand(t *testing.T, txt string) string {
	t.Helper()
	for {
		bef, aft, ok := strings.Cut(txt, "REPEAT(")
		if !ok {
			break
		}
		arg, aft, _ := strings.Cut(aft, ")")
		num, wha, _ := strings.Cut(arg, ",")
		cnt, err := strconv.Atoi(num)
		require.NoError(t, err)
		txt = bef + strings.Repeat(wha, cnt) + aft
	}
	return strings.ReplaceAll(txt, `\xff`, "\xff")
}

// TestHeaders reads headers from testdata/headers.
func TestHeaders(t *testing.T) {
	datadriven.RunTest(t, "testdata/headers", func(t *testing.T, dat *datadriven.TestData) string {
		hea := http.Header{}
		for _, lin := range strings.Split(expand(t, dat.Input), "\n") {
			nam, val, _ := strings.Cut(lin, ":")
			hea.Add(nam, strings.TrimSpace(val))
		}
		if err := ValidateHeaders(hea, time.Unix(0, 0)); err != nil {
			return faultText(t, err)
		}
		ded, err := Deadline(hea, time.Minute, time.Unix(0, 0))
		require.NoError(t, err)
		return fmt.Sprintf("good, limit %s\n", ded.Sub(time.Unix(0, 0)))
	})
}

func TestBodyBudget(t *testing.T) {
	tt := []struct {
		name   string
		length int64
		size   int
		max    int64
		held   int64
		code   string
	}{
		{"announced", 1000, 1000, 1000, 3000, ""},
		{"announced, too large for the host", 20_000, 20_000, 1 << 20, 0, "host_memory_full"},
		{"announced over the limit", 5000, 5000, 4000, 12_000, "body_too_large"},
		{"empty", 0, 0, 1000, 0, ""},
		{"unknown length", -1, 5000, 1 << 20, 0, "host_memory_full"},
	}
	for _, tc := range tt {
		t.Run(tc.name, func(t *testing.T) {
			bud := &MemoryBudget{MaxBytes: 50_000}
			bod := NewBody(io.NopCloser(strings.NewReader(strings.Repeat("x", tc.size))), bud, tc.length, tc.max)
			buf, err := ReadBody(bod, tc.max)
			require.Equal(t, tc.held, bud.Used())
			bod.Release()
			require.Zero(t, bud.Used())
			if tc.code == "" {
				require.NoError(t, err)
				require.Len(t, buf, tc.size)
				return
			}
			var bad *BadRequestError
			require.ErrorAs(t, err, &bad)
			require.Equal(t, tc.code, bad.Code)
		})
	}
}

// TestBodyUnknownLength reads whole bodies around the steps of the reservation.
func TestBodyUnknownLength(t *testing.T) {
	for _, siz := range []int{0, 1, reserveStep - 1, reserveStep, reserveStep + 1, 5*reserveStep + 7} {
		bud := &MemoryBudget{MaxBytes: 64 * reserveStep}
		bod := NewBody(io.NopCloser(strings.NewReader(strings.Repeat("x", siz))), bud, -1, 1<<20)
		buf, err := ReadBody(bod, 1<<20)
		require.NoError(t, err)
		require.Len(t, buf, siz)
		require.GreaterOrEqual(t, bud.Used(), int64(siz*BodyCopies))
	}
}

func FuzzPrompt(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"hum"}]}`), true)
	f.Add([]byte(`{"model":"m","prompt":"hum","stream":true,"stream_options":{"include_usage":true}}`), false)
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"a"}]}],"max_tokens":3}`), true)
	f.Add([]byte(`{"model":"m","prompt":null,"stop":["x"]}`), false)
	f.Add([]byte("{\"model\":\"\xff\"}"), false)
	f.Add([]byte(strings.Repeat("[", 20_000)), true)
	f.Fuzz(func(t *testing.T, buf []byte, chat bool) {
		pro, err := parsePrompt(buf, chat)
		if err != nil {
			var bad *BadRequestError
			require.True(t, errors.As(err, &bad))
			require.Equal(t, http.StatusBadRequest, bad.Status)
			return
		}
		require.NotEmpty(t, pro.Model)
		require.Positive(t, pro.MaxTokens)
		require.LessOrEqual(t, pro.MaxTokens, int64(MaxAnswerTokens))
		require.NotEmpty(t, pro.Text)
	})
}
