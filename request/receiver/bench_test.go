package receiver

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
)

// BenchmarkPrompt parses chat requests of a thousand to a million tokens.
func BenchmarkPrompt(b *testing.B) {
	for _, tokens := range []int{1_000, 100_000, 1_000_000} {
		b.Run(fmt.Sprintf("tokens=%d", tokens), func(b *testing.B) {
			text, _ := json.Marshal(strings.Repeat("thread \"pedal\"\n", tokens*4/15))
			doc := []byte(`{"model":"m","messages":[{"role":"user","content":` + string(text) + `}]}`)
			b.SetBytes(int64(len(doc)))
			b.ReportAllocs()
			for b.Loop() {
				if _, err := ParsePrompt(bytes.NewReader(doc), 1<<26, true); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
