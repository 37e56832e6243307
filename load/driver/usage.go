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

// readUsage reads what each host has used so far; silent hosts are left out.
func readUsage(ctx context.Context, opes []string) map[string]server.Usage {
	out := map[string]server.Usage{}
	for _, ope := range opes {
		if usa, err := readOne(ctx, ope); err == nil {
			out[usa.Host] = usa
		}
	}
	return out
}

func readOne(ctx context.Context, ope string) (server.Usage, error) {
	ctx, stop := context.WithTimeout(ctx, usageTimeout)
	defer stop()
	var usa server.Usage
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+ope+"/v1/usage", nil)
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

// loadAverage is the machine's over the last minute; 0 where it is not known.
func loadAverage() float64 {
	buf, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}
	fir, _, _ := strings.Cut(string(buf), " ")
	val, _ := strconv.ParseFloat(fir, 64)
	return val
}

// usageBetween turns two readings into rates. A host that was restarted in
// between is left out.
func usageBetween(bef, aft map[string]server.Usage, dur time.Duration) []summarizer.HostUsage {
	var out []summarizer.HostUsage
	sec := dur.Seconds()
	for hos, las := range aft {
		fir, ok := bef[hos]
		if !ok || fir.Incarnation != las.Incarnation {
			continue
		}
		out = append(out, summarizer.HostUsage{
			Host:                   hos,
			CorePercent:            100 * (las.CPUSeconds - fir.CPUSeconds) / sec,
			MemoryBytes:            las.MemoryBytes,
			PeerBytesPerSecond:     float64(las.PeerBytes-fir.PeerBytes) / sec,
			EndpointBytesPerSecond: float64(las.EndpointBytes-fir.EndpointBytes) / sec,
			PlatformBytesPerSecond: float64(las.PlatformBytes-fir.PlatformBytes) / sec,
			PlatformCallsPerHour:   float64(las.PlatformCalls-fir.PlatformCalls) / sec * 3600,
		})
	}
	return out
}
