package persister_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"hemlockpin/connection/persister"
	"hemlockpin/internal/testkit/answerer"

	"github.com/stretchr/testify/require"
)

// TestGetWithoutFrame guards against an object that broke off without a length being taken for
// the whole object: the records of claims, cut between two fields, can be decoded.
func TestGetWithoutFrame(t *testing.T) {
	for headers, whole := range map[string]bool{"": false, "Content-Length: 4\r\n": true} {
		t.Run(fmt.Sprint(whole), func(t *testing.T) {
			lis, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer lis.Close()
			go func() {
				con, err := lis.Accept()
				if err != nil {
					return
				}
				defer con.Close()
				if _, err := http.ReadRequest(bufio.NewReader(con)); err == nil {
					fmt.Fprint(con, "HTTP/1.1 200 X\r\nETag: \"3\"\r\n"+headers+"\r\nhalf")
				}
			}()
			obj, err := (&persister.Persister{BaseURL: "http://" + lis.Addr().String()}).Get(t.Context(), "claims/1")
			require.Equal(t, whole, err == nil, "%q", obj.Value)
		})
	}
}

// TestGetTooLarge guards against the beginning of an object that is too large, or that has no end,
// being taken for the whole object.
func TestGetTooLarge(t *testing.T) {
	for size, whole := range map[int]bool{persister.MaxValueBytes: true, persister.MaxValueBytes + 1: false, 80 << 20: false} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			address := answerer.Serve(t, answerer.Sound.Text("ETag: \"3\"\r\n", strings.Repeat("x", size)))
			obj, err := (&persister.Persister{BaseURL: "http://" + address}).Get(t.Context(), "claims/1")
			require.Equal(t, whole, err == nil, "%d bytes", len(obj.Value))
		})
	}
}
