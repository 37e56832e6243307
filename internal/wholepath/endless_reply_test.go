package wholepath_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"hemlockpin/connection/persister"
	"hemlockpin/internal/testkit"

	"github.com/stretchr/testify/require"
)

// replyCount is the number of calls that a service in trouble answers at once.
const replyCount = 60

// waitForEntry bounds the time until a host sends calls to a service that is new in the list.
const waitForEntry = 20 * time.Second

// serveBytes answers each call with a text and then with more bytes, up to a limit, and holds the
// connection. It returns its address and the number of calls.
func serveBytes(t *testing.T, text string, limit int) (address string, calls *atomic.Int64) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { lis.Close() })
	calls = &atomic.Int64{}
	block := []byte(strings.Repeat("x", 64<<10))
	go func() {
		for {
			con, err := lis.Accept()
			if err != nil {
				return
			}
			go func() {
				defer con.Close()
				if _, err := http.ReadRequest(bufio.NewReader(con)); err != nil {
					return
				}
				calls.Add(1)
				_, err := io.WriteString(con, text)
				for sent := 0; err == nil && sent < limit; sent += len(block) {
					_, err = con.Write(block)
				}
				_, _ = io.Copy(io.Discard, con)
			}()
		}
	}()
	return lis.Addr().String(), calls
}

// TestReplyMemory guards against replies of services in trouble that are each within their limit,
// but together take more memory than the host has: many calls run at once. Each must be answered
// and the host's memory stay within the bound of TestBodyMemory.
func TestReplyMemory(t *testing.T) {
	var fields strings.Builder
	for fields.Len() < 60<<10 {
		fmt.Fprintf(&fields, "%x:\r\n", 0x1000+fields.Len())
	}
	for name, tt := range map[string]struct {
		text  string
		limit int
	}{
		"without end":      {"HTTP/1.1 200 X\r\n\r\n", 64 << 20},
		"held":             {"HTTP/1.1 200 X\r\n\r\n", 12 << 20},
		"held, with frame": {"HTTP/1.1 200 X\r\nContent-Length: 15000000\r\n\r\n", 12 << 20},
		"failure held":     {"HTTP/1.1 500 X\r\n\r\n", 12 << 20},
		"large head held":  {"HTTP/1.1 200 X\r\n" + fields.String() + "\r\n", 0},
	} {
		t.Run(name, func(t *testing.T) {
			fle := startFleet(t, testkit.Plan{Hosts: 1, Engines: 1, HostArgs: []string{"--max-body-bytes", "8388608", "--max-body-memory", strconv.Itoa(bodyMemoryLimit)}})
			address, calls := serveBytes(t, tt.text, tt.limit)
			entry := persister.Entry{ID: "trouble-0", Kind: persister.KindService, Service: "counter", Address: address}
			require.NoError(t, testkit.PutJSON(t.Context(), "http://"+fle.Platform.Address+"/control/entries", entry))
			require.NoError(t, testkit.Poll(t.Context(), waitForEntry, func() bool { return call(fle.Hosts[0], "/slots") != 0 && calls.Load() > 0 }))
			var wg sync.WaitGroup
			for range replyCount {
				wg.Go(func() {
					status := call(fle.Hosts[0], "/bookings")
					if status == 0 {
						t.Error("a call got no answer")
					}
				})
			}
			wg.Wait()
			peak := peakBytes(t, fle.Hosts[0].PID())
			t.Log(peak>>20, "MB")
			require.Less(t, peak, int64(2*bodyMemoryLimit+otherMemory))
		})
	}
}

// call sends a call to a host and returns the status; 0 if there was no answer.
func call(host *testkit.Process, path string) int {
	req, err := http.NewRequest(http.MethodPost, "http://"+host.Address+path, strings.NewReader("slot"))
	if err != nil {
		return 0
	}
	req.Header.Set("Authorization", "Bearer "+testkit.Key)
	req.Header.Set("Hemlockpin-Time-Limit", "4s")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode
}
