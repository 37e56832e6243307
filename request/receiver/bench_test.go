package receiver

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
)

// BenchmarkPrompt parses chats of a thousand to a million tokens.
func BenchmarkPrompt(b *testing.B) {
	for _, tok := range []int{1_000, 100_000, 1_000_000} {
		b.Run(fmt.Sprintf("tokens=%d", tok), func(b *testing.B) {
			txt, _ := json.Marshal(strings.Repeat("thread \"pedal\"\n", tok*4/15))
			doc := []byte(`{"model":"m","messages":[{"role":"user","content":` + string(txt) + `}]}`)
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
