package decoder_test

import (
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"strings"
	"testing"

	"hemlockpin/connection/decoder"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
)

// TestNormalize guards against numbers that are the same and are read differently. It runs the
// documents of testdata/normalize.
func TestNormalize(t *testing.T) {
	datadriven.RunTest(t, "testdata/normalize", func(_ *testing.T, dat *datadriven.TestData) string {
		var out strings.Builder
		for line := range strings.SplitSeq(dat.Input, "\n") {
			fmt.Fprintf(&out, "%s\n", decoder.Normalize([]byte(line)))
		}
		return out.String()
	})
}

// TestUnmarshalErrors guards against errors that don't tell which value can't be read.
func TestUnmarshalErrors(t *testing.T) {
	datadriven.RunTest(t, "testdata/errors", func(_ *testing.T, dat *datadriven.TestData) string {
		var out strings.Builder
		for line := range strings.SplitSeq(dat.Input, "\n") {
			var doc struct {
				Count  int      `json:"count"`
				Number float64  `json:"number"`
				Size   uint64   `json:"size"`
				Names  []string `json:"names"`
				Inner  struct {
					Count int `json:"count"`
				} `json:"inner"`
			}
			fmt.Fprintln(&out, decoder.Unmarshal([]byte(line), &doc))
		}
		return out.String()
	})
}

// FuzzNormalize checks that a normalized document holds the same values as before.
func FuzzNormalize(f *testing.F) {
	for _, seed := range []string{`{"a":[1.0,-2e3,"3.0\"4e1",0.50]}`, `-0`, `1e400`, `12.50E+1`, `1.`, `"\`, `[1.0e-1]`, `18446744073709551615.0`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, doc []byte) {
		out := decoder.Normalize(doc)
		require.Equal(t, json.Valid(doc), json.Valid(out), "%s", out)
		var before, after any
		if json.Unmarshal(doc, &before) == nil {
			require.NoError(t, json.Unmarshal(out, &after))
			require.Equal(t, canonical(before), canonical(after))
		}
	})
}

// canonical replaces -0, which Normalize writes as 0.
func canonical(value any) any {
	switch value := value.(type) {
	case float64:
		if value == 0 {
			return math.Abs(value)
		}
	case []any:
		for i := range value {
			value[i] = canonical(value[i])
		}
	case map[string]any:
		for key := range value {
			value[key] = canonical(value[key])
		}
	}
	return value
}

// BenchmarkNormalize normalizes a long prompt.
func BenchmarkNormalize(b *testing.B) {
	doc := []byte(`{"prompt":` + strconv.Quote(strings.Repeat("a word and \"another\" ", 50_000)) + `,"max_tokens":16}`)
	b.SetBytes(int64(len(doc)))
	for b.Loop() {
		decoder.Normalize(doc)
	}
}
