package persister_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"

	"hemlockpin/connection/persister"

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
