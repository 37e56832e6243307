package server

import (
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"

	"hemlockpin/request/responder"
)

// Usage is the resource usage of the process since its start.
type Usage struct {
	Host        string
	Incarnation uint64
	// CPUSeconds is the processor time in user and system mode.
	CPUSeconds float64
	// MemoryBytes is the resident memory.
	MemoryBytes int64
	// PeerBytes counts bytes sent to and received from other hosts.
	PeerBytes int64
	// EndpointBytes counts the bytes of load reports and other control calls exchanged
	// with endpoints; callers' requests are not counted.
	EndpointBytes int64
	// PlatformBytes counts bytes exchanged with the platform.
	PlatformBytes int64
	// PlatformCalls counts calls to the platform.
	PlatformCalls int64
}

func (ser *Server) getUsage(wri http.ResponseWriter, _ *http.Request) {
	responder.WriteJSON(wri, http.StatusOK, Usage{
		Host: ser.Settings.HostID, Incarnation: ser.Incarnation, CPUSeconds: cpuSeconds(), MemoryBytes: residentBytes(),
		PeerBytes: ser.multiplexer.Bytes(), EndpointBytes: ser.invoker.Control.Totals().Bytes(),
		PlatformBytes: ser.platformTraffic.Totals().Bytes(), PlatformCalls: ser.persister.Calls(),
	})
}

func cpuSeconds() float64 {
	var rus syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &rus) != nil {
		return 0
	}
	return seconds(rus.Utime) + seconds(rus.Stime)
}

func seconds(val syscall.Timeval) float64 {
	const microseconds = 1e6
	return float64(val.Sec) + float64(val.Usec)/microseconds
}

// residentBytes returns the resident memory: the second field of /proc/self/statm, in
// pages.
func residentBytes() int64 {
	buf, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	fies := strings.Fields(string(buf))
	if len(fies) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fies[1], 10, 64)
	return pages * int64(os.Getpagesize())
}
