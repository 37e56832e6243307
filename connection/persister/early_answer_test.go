package persister_test

import (
	"fmt"
	"testing"

	"hemlockpin/connection/persister"
	"hemlockpin/internal/testkit/answerer"

	"github.com/stretchr/testify/require"
)

// TestEarlyReset guards against the answer to a write counting as whole although its connection
// was reset while the value was written.
func TestEarlyReset(t *testing.T) {
	for _, size := range []int{4, 20 << 10, 300 << 10, persister.MaxValueBytes} {
		for _, ear := range answerer.Resets("HTTP/1.1 200 X\r\nETag: \"3\"\r\n\r\n", size) {
			t.Run(fmt.Sprint(size, " bytes, ", ear), func(t *testing.T) {
				per := &persister.Persister{BaseURL: "http://" + answerer.ServeEarly(t, ear)}
				_, err := per.Put(t.Context(), persister.Object{Path: "claims/1", Value: make([]byte, size)})
				require.Error(t, err)
			})
		}
	}
}
