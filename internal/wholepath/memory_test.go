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
	promptBytes     = 4 << 20
	promptCount     = 60
	bodyMemoryLimit = 48 << 20
	otherMemory     = 64 << 20
)

// peakBytes returns the peak resident memory of a process in bytes.
func peakBytes(t *testing.T, pid int) int64 {
	t.Helper()
	text, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	require.NoError(t, err)
	_, res, ok := strings.Cut(string(text), "VmHWM:")
	require.True(t, ok)
	n, err := strconv.ParseInt(strings.Fields(res)[0], 10, 64)
	require.NoError(t, err)
	return n << 10
}

// TestBodyMemory sends many prompts of a million tokens at once to one host. Each
// must be answered or be refused as not run. The host's memory must stay within
// twice the limit for bodies, which the garbage collector needs, plus 64 MB for
// everything else.
func TestBodyMemory(t *testing.T) {
	fle := startFleet(t, testkit.Plan{Hosts: 1, Engines: 4, HostArgs: []string{"--max-body-bytes", "8388608", "--max-body-memory", strconv.Itoa(bodyMemoryLimit)}})
	body := `{"model":"` + testkit.Model + `","max_tokens":1,"prompt":"` + strings.Repeat("x", promptBytes) + `"}`
	var mu sync.Mutex
	outcomes := map[string]int{}
	var wg sync.WaitGroup
	for range promptCount {
		wg.Go(func() {
			outcome := send(fle.Hosts[0], body)
			mu.Lock()
			defer mu.Unlock()
			outcomes[outcome]++
		})
	}
	wg.Wait()
	t.Log(outcomes, peakBytes(t, fle.Hosts[0].PID())>>20, "MB")
	require.Positive(t, outcomes["503 NotRun host_memory_full"])
	for outcome := range outcomes {
		require.True(t, outcome == "200 Ran " || strings.Contains(outcome, " NotRun "), outcome)
	}
	require.Less(t, peakBytes(t, fle.Hosts[0].PID()), int64(2*bodyMemoryLimit+otherMemory))
}

func send(host *testkit.Process, body string) string {
	req, err := http.NewRequest(http.MethodPost, "http://"+host.Address+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return err.Error()
	}
	req.Header.Set("Authorization", "Bearer "+testkit.Key)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return err.Error()
	}
	defer res.Body.Close()
	text, _ := io.ReadAll(res.Body)
	code := ""
	if _, rest, ok := strings.Cut(string(text), `"code":"`); ok {
		code, _, _ = strings.Cut(rest, `"`)
	}
	return strconv.Itoa(res.StatusCode) + " " + res.Header.Get("Hemlockpin-Run") + " " + code
}
