package persister_test

import (
	"testing"
	"time"

	"hemlockpin/connection/persister"
	"hemlockpin/internal/testkit/answerer"

	"github.com/stretchr/testify/require"
)

// TestInvalidAnswers guards against bytes that HTTP/1.1 does not allow in an answer being taken
// for an answer of the store.
func TestInvalidAnswers(t *testing.T) {
	for _, ans := range append(answerer.Invalid(), answerer.Sound) {
		t.Run(ans.Name, func(t *testing.T) {
			check := require.Error
			if ans == answerer.Sound {
				check = require.NoError
			}
			per := &persister.Persister{BaseURL: "http://" + answerer.Serve(t, ans.Text("ETag: \"3\"\r\n", "[]"))}
			_, err := per.Get(t.Context(), "claims/1")
			check(t, err, "get")
			_, err = per.Put(t.Context(), persister.Object{Path: "claims/1", Value: []byte("{}")})
			check(t, err, "put")
			_, err = per.Watch(t.Context(), "claims/", 1, time.Second)
			check(t, err, "watch")
			_, err = per.Entries(t.Context())
			check(t, err, "list")
		})
	}
}
