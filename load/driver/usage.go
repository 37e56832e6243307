package driver

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"hemlockpin/load/summarizer"
	"hemlockpin/process/server"
)

const usageTimeout = 2 * time.Second

// readUsage reads what each host has used so far; hosts that do not answer are
// left out.
func readUsage(ctx context.Context, addresses []string) map[string]server.Usage {
	out := map[string]server.Usage{}
	for _, address := range addresses {
		if usa, err := readHostUsage(ctx, address); err == nil {
			out[usa.Host] = usa
		}
	}
	return out
}

func readHostUsage(ctx context.Context, address string) (server.Usage, error) {
	ctx, stop := context.WithTimeout(ctx, usageTimeout)
	defer stop()
	var usa server.Usage
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/usage", nil)
	if err != nil {
		return usa, err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return usa, err
	}
	defer res.Body.Close()
	return usa, json.NewDecoder(res.Body).Decode(&usa)
}

// loadAverage returns the load average of the load generator's machine over the
// last minute; 0 if it cannot be read.
func loadAverage() float64 {
	buf, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}
	first, _, _ := strings.Cut(string(buf), " ")
	val, _ := strconv.ParseFloat(first, 64)
	return val
}

// usageRates converts two readings into rates over the time between them. It
// leaves out a host that is missing from the first reading or was restarted.
func usageRates(before, after map[string]server.Usage, elapsed time.Duration) []summarizer.HostUsage {
	var out []summarizer.HostUsage
	seconds := elapsed.Seconds()
	for host, last := range after {
		first, ok := before[host]
		if !ok || first.Incarnation != last.Incarnation {
			continue
		}
		out = append(out, summarizer.HostUsage{
			Host:                   host,
			CorePercent:            100 * (last.CPUSeconds - first.CPUSeconds) / seconds,
			MemoryBytes:            last.MemoryBytes,
			PeerBytesPerSecond:     float64(last.PeerBytes-first.PeerBytes) / seconds,
			EndpointBytesPerSecond: float64(last.EndpointBytes-first.EndpointBytes) / seconds,
			PlatformBytesPerSecond: float64(last.PlatformBytes-first.PlatformBytes) / seconds,
			PlatformCallsPerHour:   float64(last.PlatformCalls-first.PlatformCalls) / seconds * 3600,
		})
	}
	return out
}
