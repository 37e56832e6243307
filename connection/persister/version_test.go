package persister_test

import (
	"strings"
	"testing"

	"hemlockpin/connection/persister"
	"hemlockpin/internal/testkit/answerer"

	"github.com/stretchr/testify/require"
)

// TestUnreadableVersion guards against an object whose version can't be read and counts as one that
// does not exist, so that it can never be written again.
func TestUnreadableVersion(t *testing.T) {
	for etag, want := range map[string]uint64{`"3"`: 3, `"3.0"`: 3, `"3e0"`: 3, `"3.5"`: 0, `"x"`: 0, `"0"`: 0, `""`: 0, "": 0} {
		t.Run(etag, func(t *testing.T) {
			header := "ETag: " + etag + "\r\n"
			if etag == "" {
				header = ""
			}
			per := &persister.Persister{BaseURL: "http://" + answerer.Serve(t, answerer.Sound.Text(header, "value"))}
			obj, err := per.Get(t.Context(), "claims/1")
			require.Equal(t, want == 0, err != nil)
			require.Equal(t, want, obj.Version)
			version, err := per.Put(t.Context(), persister.Object{Path: "claims/1", Value: []byte(strings.Repeat("x", 8))})
			require.Equal(t, want == 0, err != nil)
			require.Equal(t, want, version)
		})
	}
}
