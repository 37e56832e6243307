package server

import (
	"bufio"
	"fmt"
	"testing"
	"time"

	"hemlockpin/process/drainer"

	"github.com/stretchr/testify/require"
)

// TestStopRefusesRequest guards against requests that a stopping host drops without an
// answer: one whose body has not arrived completely, and one that may outlast the host.
func TestStopRefusesRequest(t *testing.T) {
	set := edgeSettings()
	// The read timeout must not end the request first.
	set.ReadTimeout = time.Minute
	for _, tt := range []struct {
		path, length string
		phase        drainer.Phase
		want         string
	}{
		{"/v1/completions", "100", drainer.Answering, "503 server_error host_stopping NotRun\n"},
		{"/bookings", "100", drainer.Answering, "503 server_error host_stopping NotRun\n"},
		{"/bookings", "3", drainer.Closing, "503 server_error host_stopping NotRun\n"},
	} {
		t.Run(fmt.Sprint(tt.path, " ", tt.phase), func(t *testing.T) {
			ser, addr := startEdge(t, set, nil)
			con := dial(t, addr)
			_, err := fmt.Fprintf(con, "POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: %s\r\n\r\n", tt.path, edgeKey, tt.length)
			require.NoError(t, err)
			// The head gets time to reach the host; if it is later, the request is refused at
			// its arrival.
			time.Sleep(50 * time.Millisecond)
			ser.drainGate.Set(drainer.State{Phase: tt.phase, ClosingAt: time.Now()})
			_, err = fmt.Fprint(con, "abc")
			require.NoError(t, err)
			require.Equal(t, tt.want, answer(t, bufio.NewReader(con)))
		})
	}
}
