package invoker

import (
	"fmt"
	"net/http"
	"testing"

	"hemlockpin/internal/testkit/answerer"

	"github.com/stretchr/testify/require"
)

// TestEarlyReset guards against a reply that ends with its connection counting as whole although
// the connection was reset: the kernel may report that to the writer of the call alone.
func TestEarlyReset(t *testing.T) {
	for _, size := range answerer.UploadBytes {
		cal := ServiceCall{Method: http.MethodPost, Path: "/", Body: make([]byte, size)}
		for _, ear := range answerer.Resets("HTTP/1.1 200 X\r\n\r\npart", size) {
			t.Run(fmt.Sprint(size, " bytes, ", ear), func(t *testing.T) {
				for i := range 4 {
					cal.AtMostOnce = i%2 == 0
					rep, err := (&Invoker{}).Call(t.Context(), answerer.ServeEarly(t, ear), cal)
					require.Error(t, err, "%q looks whole", rep.Body)
				}
			})
		}
	}
}

// TestEarlyInvalidStatus guards against a reply whose status HTTP does not have, sent while the call is
// still being written, that counts as a reply.
func TestEarlyInvalidStatus(t *testing.T) {
	for _, size := range answerer.UploadBytes {
		for _, ear := range answerer.EarlyInvalid(size) {
			t.Run(fmt.Sprintf("%d bytes, %q, %v", size, ear.Text, ear), func(t *testing.T) {
				for _, once := range []bool{true, false} {
					cal := ServiceCall{Method: http.MethodPost, Path: "/", Body: make([]byte, size), AtMostOnce: once}
					rep, err := (&Invoker{}).Call(t.Context(), answerer.ServeEarly(t, ear), cal)
					require.Error(t, err, "status %d, %q", rep.Status, rep.Body)
				}
			})
		}
	}
}

// TestSoundEarlyReply guards against a reply that is sent before the call has been read being lost.
func TestSoundEarlyReply(t *testing.T) {
	for _, size := range answerer.UploadBytes {
		for _, headers := range []string{"", "Content-Length: 4\r\n"} {
			t.Run(fmt.Sprintf("%d bytes, %q", size, headers), func(t *testing.T) {
				ear := answerer.Early{Text: "HTTP/1.1 200 X\r\n" + headers + "\r\ndone", HalfCloses: true}
				cal := ServiceCall{Method: http.MethodPost, Path: "/", Body: make([]byte, size), AtMostOnce: true}
				rep, err := (&Invoker{}).Call(t.Context(), answerer.ServeEarly(t, ear), cal)
				require.NoError(t, err)
				require.Equal(t, "done", string(rep.Body))
			})
		}
	}
}
