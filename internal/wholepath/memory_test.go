package wholepath_test

import (
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"

	"hemlockpin/internal/testkit"

	"github.com/stretchr/testify/require"
)

const (
	longBytes     = 4 << 20
	longPrompts   = 60
	bodyMemory    = 48 << 20
	controlMemory = 64 << 20
)

// peakBytes reads the largest resident memory of a process.
func peakBytes(t *testing.T, pid int) int64 {
	t.Helper()
	txt, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	require.NoError(t, err)
	_, res, ok := strings.Cut(string(txt), "VmHWM:")
	require.True(t, ok)
	num, err := strconv.ParseInt(strings.Fields(res)[0], 10, 64)
	require.NoError(t, err)
	return num << 10
}

// TestBodyMemory sends many prompts of a million tokens at once to one host.
// Each is answered whole or refused before it ran, and the host's memory stays
// within twice the limit for bodies, as the collector needs, and 64 MB for the rest.
func TestBodyMemory(t *testing.T) {
	fle := startFleet(t, testkit.Plan{Hosts: 1, Engines: 4, HostArgs: []string{"--max-body-bytes", "8388608", "--max-body-memory", strconv.Itoa(bodyMemory)}})
	doc := `{"model":"` + testkit.Model + `","max_tokens":1,"prompt":"` + strings.Repeat("x", longBytes) + `"}`
	var mu sync.Mutex
	got := map[string]int{}
	var gro sync.WaitGroup
	for range longPrompts {
		gro.Go(func() {
			out := sendLong(fle.Hosts[0], doc)
			mu.Lock()
			defer mu.Unlock()
			got[out]++
		})
	}
	gro.Wait()
	t.Log(got, peakBytes(t, fle.Hosts[0].PID())>>20, "MB")
	require.Positive(t, got["503 NotRun host_memory_full"])
	for out := range got {
		require.True(t, out == "200 Ran " || strings.Contains(out, " NotRun "), out)
	}
	require.Less(t, peakBytes(t, fle.Hosts[0].PID()), int64(2*bodyMemory+controlMemory))
}

func sendLong(hos *testkit.Process, doc string) string {
	req, err := http.NewRequest(http.MethodPost, "http://"+hos.Address+"/v1/completions", strings.NewReader(doc))
	if err != nil {
		return err.Error()
	}
	req.Header.Set("Authorization", "Bearer "+testkit.Key)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return err.Error()
	}
	defer res.Body.Close()
	txt, _ := io.ReadAll(res.Body)
	code := ""
	if _, aft, ok := strings.Cut(string(txt), `"code":"`); ok {
		code, _, _ = strings.Cut(aft, `"`)
	}
	return strconv.Itoa(res.StatusCode) + " " + res.Header.Get("Hemlockpin-Run") + " " + code
}
