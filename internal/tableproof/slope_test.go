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
	// slopeVariable names the sizes of the fleets to measure, such as 5,10,20,40.
	slopeVariable = "HEMLOCKPIN_SLOPE"
	// endpointsVariable is the number of engines beside the hosts; none if it
	// is not set.
	endpointsVariable = "HEMLOCKPIN_SLOPE_ENGINES"
	// regionsVariable is the number of regions; with several, the pool of engines
	// has overflow between all.
	regionsVariable = "HEMLOCKPIN_SLOPE_REGIONS"
	slopeTime       = 30 * time.Second
	// ticksPerSecond is the unit of processor times in /proc.
	ticksPerSecond = 100
)

// sample is what an idle host has used so far.
type sample struct {
	peerBytes, peerOpened, platformBytes, endpointBytes, cpuSeconds, residentKB float64
}

// TestControlSlope measures what control costs an idle host at several sizes of
// the fleet. It is not run in CI.
func TestControlSlope(t *testing.T) {
	sizes := os.Getenv(slopeVariable)
	if sizes == "" {
		t.Skipf("%s is not set", slopeVariable)
	}
	t.Logf("hosts | peer B/s median, max | connections/s | platform B/s median, max | endpoint B/s median, max | %% of a core median, max | MB median | platform calls/s")
	for _, txt := range strings.Split(sizes, ",") {
		num, err := strconv.Atoi(txt)
		require.NoError(t, err)
		measure(t, num)
	}
}

func measure(t *testing.T, num int) {
	bin, err := testkit.Build()
	require.NoError(t, err)
	engines, _ := strconv.Atoi(os.Getenv(endpointsVariable))
	plan := testkit.Plan{Bin: bin, Model: testkit.Model, Hosts: num, Engines: engines, Tables: testkit.SampleTables()}
	regions, _ := strconv.Atoi(os.Getenv(regionsVariable))
	for ind := range regions {
		plan.Regions = append(plan.Regions, fmt.Sprintf("region-%d", ind))
		plan.Tables.Pools[0].Overflow = []string{parser.AnyRegion}
	}
	fle, err := testkit.Start(t.Context(), plan)
	require.NoError(t, err)
	defer fle.Stop()
	(&fleet{Fleet: fle, t: t}).waitLive(num)
	// The updates of the start are passed on for a while.
	time.Sleep(slopeTime)
	befCalls := platformCalls(t, fle)
	var bef, aft []sample
	for _, hos := range fle.Hosts {
		bef = append(bef, take(t, hos))
	}
	time.Sleep(slopeTime)
	for _, hos := range fle.Hosts {
		aft = append(aft, take(t, hos))
	}
	calls := platformCalls(t, fle) - befCalls
	per := func(get func(sample) float64) (median, most float64) {
		var vals []float64
		for ind := range aft {
			vals = append(vals, (get(aft[ind])-get(bef[ind]))/slopeTime.Seconds())
		}
		slices.Sort(vals)
		return vals[len(vals)/2], vals[len(vals)-1]
	}
	pee, peeMost := per(func(sam sample) float64 { return sam.peerBytes })
	ope, _ := per(func(sam sample) float64 { return sam.peerOpened })
	pla, plaMost := per(func(sam sample) float64 { return sam.platformBytes })
	end, endMost := per(func(sam sample) float64 { return sam.endpointBytes })
	cpu, cpuMost := per(func(sam sample) float64 { return 100 * sam.cpuSeconds })
	t.Logf("%d | %.0f, %.0f | %.2f | %.0f, %.0f | %.0f, %.0f | %.2f, %.2f | %.1f | %.1f",
		num, pee, peeMost, ope, pla, plaMost, end, endMost, cpu, cpuMost, aft[num/2].residentKB/1024, calls/slopeTime.Seconds())
}

func platformCalls(t *testing.T, fle *testkit.Fleet) float64 {
	var cou struct{ Reads, Writes int }
	require.NoError(t, testkit.GetJSON(t.Context(), "http://"+fle.Platform.Address+"/control/counts", &cou))
	return float64(cou.Reads + cou.Writes)
}

func take(t *testing.T, hos *testkit.Process) sample {
	met := metrics(t, hos)
	cpu := strings.Fields(readProc(t, hos, "stat"))
	use, _ := strconv.ParseFloat(cpu[13], 64)
	sys, _ := strconv.ParseFloat(cpu[14], 64)
	sam := sample{
		peerBytes:     met[`control_bytes_sent{with="peer"}`] + met[`control_bytes_received{with="peer"}`],
		peerOpened:    met[`control_connections_opened{with="peer"}`],
		platformBytes: met[`control_bytes_sent{with="platform"}`] + met[`control_bytes_received{with="platform"}`],
		endpointBytes: met[`control_bytes_sent{with="endpoint"}`] + met[`control_bytes_received{with="endpoint"}`],
		cpuSeconds:    (use + sys) / ticksPerSecond,
	}
	for _, lin := range strings.Split(readProc(t, hos, "status"), "\n") {
		if val, ok := strings.CutPrefix(lin, "VmRSS:"); ok {
			sam.residentKB, _ = strconv.ParseFloat(strings.Fields(val)[0], 64)
		}
	}
	return sam
}

func readProc(t *testing.T, hos *testkit.Process, file string) string {
	buf, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", hos.PID(), file))
	require.NoError(t, err)
	return string(buf)
}

// metrics reads the gauges of a host, without the common prefix.
func metrics(t *testing.T, hos *testkit.Process) map[string]float64 {
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+hos.Operator+"/metrics", http.NoBody)
	require.NoError(t, err)
	res, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer res.Body.Close()
	out := map[string]float64{}
	sca := bufio.NewScanner(res.Body)
	for sca.Scan() {
		nam, val, ok := strings.Cut(sca.Text(), " ")
		if num, err := strconv.ParseFloat(val, 64); ok && err == nil {
			out[strings.TrimPrefix(nam, "hemlockpin_")] = num
		}
	}
	return out
}
