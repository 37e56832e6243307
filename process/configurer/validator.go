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
	// maxCores is the limit of --cpu-share. It detects values in other units.
	maxCores = 1024
	// minMemoryMB suffices for the program, the tables and a few requests; minFiles for
	// the listeners, the sessions with other hosts and a few requests.
	minMemoryMB = 48
	minFiles    = 512
)

// Validate returns a FaultsError with all faults, or nil if there are none.
func (set Settings) Validate() error {
	var fas []string
	fas = append(fas, set.Host.validate()...)
	fas = append(fas, set.Limits.validate()...)
	fas = append(fas, set.Placing.validate()...)
	fas = append(fas, set.Peering.validate()...)
	fas = append(fas, set.Forwarding.validate()...)
	fas = append(fas, checkPositive(flagValue{"--drain-notice", int64(set.DrainNotice)}, flagValue{"--drain-timeout", int64(set.DrainTimeout)})...)
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
	if hos.MemoryMB != 0 && hos.MemoryMB < minMemoryMB {
		fas = append(fas, fmt.Sprintf("--memory-mb %d must be 0 or at least %d", hos.MemoryMB, minMemoryMB))
	}
	if hos.MaxFiles != 0 && hos.MaxFiles < minFiles {
		fas = append(fas, fmt.Sprintf("--max-files %d must be 0 or at least %d", hos.MaxFiles, minFiles))
	}
	flagAt := map[string]string{}
	addrs := []struct{ flag, val string }{
		{"--listen", hos.Listen}, {"--peer-listen", hos.PeerListen}, {"--operator-listen", hos.Operator},
	}
	for _, addr := range addrs {
		if !validAddress(addr.val) {
			fas = append(fas, fmt.Sprintf("%s %q must be IP:port", addr.flag, addr.val))
		} else if other := flagAt[addr.val]; other != "" {
			fas = append(fas, fmt.Sprintf("%s %q is also %s", addr.flag, addr.val, other))
		}
		flagAt[addr.val] = addr.flag
	}
	return fas
}

func (lim Limits) validate() []string {
	fas := checkPositive(
		flagValue{"--max-body-bytes", lim.MaxBodyBytes},
		flagValue{"--max-body-memory", lim.MaxBodyMemory},
		flagValue{"--max-header-bytes", int64(lim.MaxHeader)},
		flagValue{"--max-connections", int64(lim.MaxConns)},
		flagValue{"--max-requests", int64(lim.MaxRequests)},
		flagValue{"--read-timeout", int64(lim.ReadTimeout)},
		flagValue{"--write-timeout", int64(lim.WriteTimeout)},
		flagValue{"--idle-timeout", int64(lim.IdleTimeout)},
	)
	if lim.MaxBodyMemory > 0 && lim.MaxBodyMemory/receiver.BodyCopies < lim.MaxBodyBytes {
		fas = append(fas, fmt.Sprintf("--max-body-memory %d is less than %d times --max-body-bytes", lim.MaxBodyMemory, receiver.BodyCopies))
	}
	return fas
}

func (pla Placing) validate() []string {
	fas := checkPositive(flagValue{"--load-interval", int64(pla.LoadInterval)})
	if !placer.Policy(pla.Placement).Valid() {
		fas = append(fas, fmt.Sprintf("--placement %q is not a placement policy", pla.Placement))
	}
	return fas
}

func (pee Peering) validate() []string {
	fas := checkPositive(
		flagValue{"--list-interval", int64(pee.ListInterval)},
		flagValue{"--heartbeat-interval", int64(pee.Heartbeat)},
	)
	for _, addr := range pee.SeedPeers {
		if !validAddress(addr) {
			fas = append(fas, fmt.Sprintf("--seed-peer %q must be IP:port", addr))
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
	return append(fas, checkPositive(
		flagValue{"--retry-window", int64(fwd.RetryWindow)}, flagValue{"--apply-within", int64(fwd.ApplyWithin)}, flagValue{"--leave-within", int64(fwd.LeaveWithin)},
		flagValue{"--start-wait", int64(fwd.StartWait)},
	)...)
}

type flagValue struct {
	flag  string
	value int64
}

// checkPositive returns a fault for each value that is not positive.
func checkPositive(values ...flagValue) []string {
	var fas []string
	for _, val := range values {
		if val.value <= 0 {
			fas = append(fas, val.flag+" must be positive")
		}
	}
	return fas
}

func validName(name string) bool {
	if name == "" || len(name) > maxNameBytes {
		return false
	}
	return strings.IndexFunc(name, func(char rune) bool {
		return (char < 'a' || char > 'z') && (char < 'A' || char > 'Z') && (char < '0' || char > '9') && char != '-' && char != '.'
	}) < 0
}

func validAddress(address string) bool {
	host, port, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	n, err := strconv.ParseUint(port, 10, 16)
	return err == nil && n > 0
}

func validURL(text string) bool {
	ure, err := url.Parse(text)
	return err == nil && (ure.Scheme == "http" || ure.Scheme == "https") && ure.Host != ""
}
