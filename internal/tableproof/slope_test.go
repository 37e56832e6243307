package tableproof_test

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"hemlockpin/internal/testkit"
	"hemlockpin/version/parser"

	"github.com/stretchr/testify/require"
)

const (
	// slopeVariable is the environment variable with the sizes of the fleets to
	// measure, such as 5,10,20,40.
	slopeVariable = "HEMLOCKPIN_SLOPE"
	// endpointsVariable is the environment variable with the number of engines;
	// there are none if it is not set.
	endpointsVariable = "HEMLOCKPIN_SLOPE_ENGINES"
	// regionsVariable is the environment variable with the number of regions.
	// If it is set, the engine pool may overflow to any region.
	regionsVariable = "HEMLOCKPIN_SLOPE_REGIONS"
	slopeTime       = 30 * time.Second
	// ticksPerSecond is the unit of processor times in /proc.
	ticksPerSecond = 100
)

// usage is what a host has used since its start, and its resident memory now.
type usage struct {
	peerBytes, peerConnectionsOpened, platformBytes, endpointBytes, cpuSeconds, residentKB float64
}

// TestControlSlope measures how the cost of control traffic to an idle host grows
// with the size of the fleet. It is not run in CI.
func TestControlSlope(t *testing.T) {
	sizes := os.Getenv(slopeVariable)
	if sizes == "" {
		t.Skipf("%s is not set", slopeVariable)
	}
	t.Logf("hosts | peer B/s median, max | connections/s | platform B/s median, max | endpoint B/s median, max | %% of a core median, max | MB median | platform calls/s")
	for _, text := range strings.Split(sizes, ",") {
		hosts, err := strconv.Atoi(text)
		require.NoError(t, err)
		measure(t, hosts)
	}
}

func measure(t *testing.T, hosts int) {
	bin, err := testkit.Build()
	require.NoError(t, err)
	engines, _ := strconv.Atoi(os.Getenv(endpointsVariable))
	plan := testkit.Plan{Bin: bin, Model: testkit.Model, Hosts: hosts, Engines: engines, Tables: testkit.SampleTables()}
	regions, _ := strconv.Atoi(os.Getenv(regionsVariable))
	for i := range regions {
		plan.Regions = append(plan.Regions, fmt.Sprintf("region-%d", i))
		plan.Tables.Pools[0].Overflow = []string{parser.AnyRegion}
	}
	fle, err := testkit.Start(t.Context(), plan)
	require.NoError(t, err)
	defer fle.Stop()
	(&fleet{Fleet: fle, t: t}).waitAlive(hosts)
	// Updates from the start are still disseminated for some time.
	time.Sleep(slopeTime)
	callsBefore := platformCalls(t, fle)
	var before, after []usage
	for _, host := range fle.Hosts {
		before = append(before, takeSample(t, host))
	}
	time.Sleep(slopeTime)
	for _, host := range fle.Hosts {
		after = append(after, takeSample(t, host))
	}
	calls := platformCalls(t, fle) - callsBefore
	perSecond := func(get func(usage) float64) (median, highest float64) {
		var values []float64
		for i := range after {
			values = append(values, (get(after[i])-get(before[i]))/slopeTime.Seconds())
		}
		slices.Sort(values)
		return values[len(values)/2], values[len(values)-1]
	}
	peer, peerMax := perSecond(func(use usage) float64 { return use.peerBytes })
	opened, _ := perSecond(func(use usage) float64 { return use.peerConnectionsOpened })
	platform, platformMax := perSecond(func(use usage) float64 { return use.platformBytes })
	endpoint, endpointMax := perSecond(func(use usage) float64 { return use.endpointBytes })
	cpu, cpuMax := perSecond(func(use usage) float64 { return 100 * use.cpuSeconds })
	t.Logf("%d | %.0f, %.0f | %.2f | %.0f, %.0f | %.0f, %.0f | %.2f, %.2f | %.1f | %.1f",
		hosts, peer, peerMax, opened, platform, platformMax, endpoint, endpointMax, cpu, cpuMax, after[hosts/2].residentKB/1024, calls/slopeTime.Seconds())
}

func platformCalls(t *testing.T, fle *testkit.Fleet) float64 {
	var counts struct{ Reads, Writes int }
	require.NoError(t, testkit.GetJSON(t.Context(), "http://"+fle.Platform.Address+"/control/counts", &counts))
	return float64(counts.Reads + counts.Writes)
}

func takeSample(t *testing.T, host *testkit.Process) usage {
	values := metrics(t, host)
	cpu := strings.Fields(readProc(t, host, "stat"))
	user, _ := strconv.ParseFloat(cpu[13], 64)
	sys, _ := strconv.ParseFloat(cpu[14], 64)
	use := usage{
		peerBytes:             values[`control_bytes_sent{with="peer"}`] + values[`control_bytes_received{with="peer"}`],
		peerConnectionsOpened: values[`control_connections_opened{with="peer"}`],
		platformBytes:         values[`control_bytes_sent{with="platform"}`] + values[`control_bytes_received{with="platform"}`],
		endpointBytes:         values[`control_bytes_sent{with="endpoint"}`] + values[`control_bytes_received{with="endpoint"}`],
		cpuSeconds:            (user + sys) / ticksPerSecond,
	}
	for _, line := range strings.Split(readProc(t, host, "status"), "\n") {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			use.residentKB, _ = strconv.ParseFloat(strings.Fields(value)[0], 64)
		}
	}
	return use
}

func readProc(t *testing.T, host *testkit.Process, file string) string {
	buf, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", host.PID(), file))
	require.NoError(t, err)
	return string(buf)
}

// metrics returns the metrics of a host by name and labels, without the prefix
// hemlockpin_.
func metrics(t *testing.T, host *testkit.Process) map[string]float64 {
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+host.Operator+"/metrics", http.NoBody)
	require.NoError(t, err)
	res, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer res.Body.Close()
	out := map[string]float64{}
	scanner := bufio.NewScanner(res.Body)
	for scanner.Scan() {
		name, value, ok := strings.Cut(scanner.Text(), " ")
		if number, err := strconv.ParseFloat(value, 64); ok && err == nil {
			out[strings.TrimPrefix(name, "hemlockpin_")] = number
		}
	}
	return out
}
