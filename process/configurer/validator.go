package configurer

import (
	"fmt"
	"net"
	"net/url"
	"strconv"
	"strings"

	"hemlockpin/request/placer"
	"hemlockpin/request/receiver"

	"github.com/rs/zerolog"
)

const (
	maxNameBytes = 63
	// maxCores bounds --cpu-share against values in other units.
	maxCores = 1024
	// leastMemoryMB holds the program, the tables and some requests; leastFiles the
	// listeners, the sessions with other hosts and some requests.
	leastMemoryMB = 48
	leastFiles    = 512
)

// Validate returns a FaultsError with every fault, or nil.
func (set Settings) Validate() error {
	var fas []string
	fas = append(fas, set.Host.validate()...)
	fas = append(fas, set.Limits.validate()...)
	fas = append(fas, set.Placing.validate()...)
	fas = append(fas, set.Peering.validate()...)
	fas = append(fas, set.Forwarding.validate()...)
	fas = append(fas, positive(number{"--drain-notice", int64(set.DrainNotice)}, number{"--drain-timeout", int64(set.DrainTimeout)})...)
	fas = append(fas, set.Observation.validate()...)
	if len(fas) > 0 {
		return &FaultsError{fas}
	}
	return nil
}

func (hos Host) validate() []string {
	var fas []string
	if !validName(hos.HostID) {
		fas = append(fas, fmt.Sprintf("--host-id %q must be 1 to %d letters, digits, points and hyphens", hos.HostID, maxNameBytes))
	}
	if !validName(hos.DataCenter) {
		fas = append(fas, fmt.Sprintf("--data-center %q must be 1 to %d letters, digits, points and hyphens", hos.DataCenter, maxNameBytes))
	}
	if hos.Region != "" && !validName(hos.Region) {
		fas = append(fas, fmt.Sprintf("--region %q must be at most %d letters, digits, points and hyphens", hos.Region, maxNameBytes))
	}
	if !(hos.CPUShare >= 0 && hos.CPUShare <= maxCores) {
		fas = append(fas, fmt.Sprintf("--cpu-share %g must be 0 to %d", hos.CPUShare, maxCores))
	}
	if hos.MemoryMB != 0 && hos.MemoryMB < leastMemoryMB {
		fas = append(fas, fmt.Sprintf("--memory-mb %d must be 0 or at least %d", hos.MemoryMB, leastMemoryMB))
	}
	if hos.MaxFiles != 0 && hos.MaxFiles < leastFiles {
		fas = append(fas, fmt.Sprintf("--max-files %d must be 0 or at least %d", hos.MaxFiles, leastFiles))
	}
	see := map[string]string{}
	adds := []struct{ flag, val string }{
		{"--listen", hos.Listen}, {"--peer-listen", hos.PeerListen}, {"--operator-listen", hos.Operator},
	}
	for _, add := range adds {
		if !validAddress(add.val) {
			fas = append(fas, fmt.Sprintf("%s %q must be IP:port", add.flag, add.val))
		} else if oth := see[add.val]; oth != "" {
			fas = append(fas, fmt.Sprintf("%s %q is also %s", add.flag, add.val, oth))
		}
		see[add.val] = add.flag
	}
	return fas
}

func (lim Limits) validate() []string {
	fas := positive(
		number{"--max-body-bytes", lim.MaxBodyBytes},
		number{"--max-body-memory", lim.MaxBodyMemory},
		number{"--max-header-bytes", int64(lim.MaxHeader)},
		number{"--max-connections", int64(lim.MaxConns)},
		number{"--max-requests", int64(lim.MaxRequests)},
		number{"--read-timeout", int64(lim.ReadTimeout)},
		number{"--write-timeout", int64(lim.WriteTimeout)},
		number{"--idle-timeout", int64(lim.IdleTimeout)},
	)
	if lim.MaxBodyMemory > 0 && lim.MaxBodyMemory/receiver.BodyCopies < lim.MaxBodyBytes {
		fas = append(fas, fmt.Sprintf("--max-body-memory %d is less than %d times --max-body-bytes", lim.MaxBodyMemory, receiver.BodyCopies))
	}
	return fas
}

func (pla Placing) validate() []string {
	fas := positive(number{"--load-interval", int64(pla.LoadInterval)})
	if !placer.Policy(pla.Placement).Valid() {
		fas = append(fas, fmt.Sprintf("--placement %q is not a placement policy", pla.Placement))
	}
	return fas
}

func (pee Peering) validate() []string {
	fas := positive(
		number{"--list-interval", int64(pee.ListInterval)},
		number{"--heartbeat-interval", int64(pee.Heartbeat)},
	)
	for _, add := range pee.SeedPeers {
		if !validAddress(add) {
			fas = append(fas, fmt.Sprintf("--seed-peer %q must be IP:port", add))
		}
	}
	if !validURL(pee.Platform) {
		fas = append(fas, fmt.Sprintf("--platform %q must be a URL such as http://127.0.0.1:7000", pee.Platform))
	}
	return fas
}

func (obs Observation) validate() []string {
	var fas []string
	if obs.TraceEndpoint != "" && !validURL(obs.TraceEndpoint) {
		fas = append(fas, fmt.Sprintf("--trace-endpoint %q must be a URL such as http://127.0.0.1:4318", obs.TraceEndpoint))
	}
	if !(obs.TraceRatio >= 0 && obs.TraceRatio <= 1) {
		fas = append(fas, fmt.Sprintf("--trace-ratio %g must be 0 to 1", obs.TraceRatio))
	}
	switch lev, err := zerolog.ParseLevel(obs.LogLevel); {
	case err != nil, obs.LogLevel == "", lev < zerolog.DebugLevel, lev > zerolog.ErrorLevel:
		fas = append(fas, fmt.Sprintf("--log-level %q must be debug, info, warn or error", obs.LogLevel))
	}
	return fas
}

func (fwd Forwarding) validate() []string {
	var fas []string
	if fwd.Interface != InterfaceOpenAI && fwd.Interface != InterfaceForward {
		fas = append(fas, fmt.Sprintf("--interface %q must be %s or %s", fwd.Interface, InterfaceOpenAI, InterfaceForward))
	}
	if fwd.Interface == InterfaceForward && !validAddress(fwd.ReadyListen) {
		fas = append(fas, fmt.Sprintf("--ready-listen %q must be IP:port", fwd.ReadyListen))
	}
	if !(fwd.RetryRatio >= 0 && fwd.RetryRatio <= 1) || !(fwd.RetrySlack >= 0) {
		fas = append(fas, fmt.Sprintf("--retry-ratio %g must be 0 to 1, and --retry-slack %g not negative", fwd.RetryRatio, fwd.RetrySlack))
	}
	return append(fas, positive(
		number{"--retry-window", int64(fwd.RetryWindow)}, number{"--apply-within", int64(fwd.ApplyWithin)}, number{"--leave-within", int64(fwd.LeaveWithin)},
		number{"--start-wait", int64(fwd.StartWait)},
	)...)
}

type number struct {
	flag string
	val  int64
}

func positive(nums ...number) []string {
	var fas []string
	for _, num := range nums {
		if num.val <= 0 {
			fas = append(fas, num.flag+" must be positive")
		}
	}
	return fas
}

func validName(nam string) bool {
	if nam == "" || len(nam) > maxNameBytes {
		return false
	}
	return strings.IndexFunc(nam, func(cha rune) bool {
		return (cha < 'a' || cha > 'z') && (cha < 'A' || cha > 'Z') && (cha < '0' || cha > '9') && cha != '-' && cha != '.'
	}) < 0
}

func validAddress(txt string) bool {
	hos, por, err := net.SplitHostPort(txt)
	if err != nil || net.ParseIP(hos) == nil {
		return false
	}
	num, err := strconv.ParseUint(por, 10, 16)
	return err == nil && num > 0
}

func validURL(txt string) bool {
	ure, err := url.Parse(txt)
	return err == nil && (ure.Scheme == "http" || ure.Scheme == "https") && ure.Host != ""
}
