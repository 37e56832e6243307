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
	// maxNameBytes is the limit of host, data centre and region names.
	maxNameBytes = 63
	// maxCores is the limit of --cpu-share. It detects a value that is not in cores.
	maxCores = 1024
	// minMemoryMB is the least memory in MB. It suffices for the program, the tables and a
	// few requests.
	minMemoryMB = 48
	// maxFarPrice is the limit of --far-price.
	maxFarPrice = 1e6
	// minFiles is the least number of file descriptors. It suffices for the listeners, the
	// sessions with other hosts and a few requests.
	minFiles = 512
)

// Validate returns a FaultsError with all faults, or nil if there are none.
func (set Settings) Validate() error {
	var faults []string
	faults = append(faults, set.Host.validate()...)
	faults = append(faults, set.Limits.validate()...)
	faults = append(faults, set.Placing.validate()...)
	faults = append(faults, set.Peering.validate()...)
	faults = append(faults, set.Forwarding.validate()...)
	faults = append(faults, checkPositive(flagValue{"--drain-notice", int64(set.DrainNotice)}, flagValue{"--drain-timeout", int64(set.DrainTimeout)})...)
	faults = append(faults, set.Observation.validate()...)
	if len(faults) > 0 {
		return &FaultsError{faults}
	}
	return nil
}

func (hos Host) validate() []string {
	var faults []string
	if !validName(hos.HostID) {
		faults = append(faults, fmt.Sprintf("--host-id %q must be 1 to %d letters, digits, points and hyphens", hos.HostID, maxNameBytes))
	}
	if !validName(hos.DataCenter) {
		faults = append(faults, fmt.Sprintf("--data-center %q must be 1 to %d letters, digits, points and hyphens", hos.DataCenter, maxNameBytes))
	}
	if hos.Region != "" && !validName(hos.Region) {
		faults = append(faults, fmt.Sprintf("--region %q must be at most %d letters, digits, points and hyphens", hos.Region, maxNameBytes))
	}
	if !(hos.CPUShare >= 0 && hos.CPUShare <= maxCores) {
		faults = append(faults, fmt.Sprintf("--cpu-share %g must be 0 to %d", hos.CPUShare, maxCores))
	}
	if hos.MemoryMB != 0 && hos.MemoryMB < minMemoryMB {
		faults = append(faults, fmt.Sprintf("--memory-mb %d must be 0 or at least %d", hos.MemoryMB, minMemoryMB))
	}
	if hos.MaxFiles != 0 && hos.MaxFiles < minFiles {
		faults = append(faults, fmt.Sprintf("--max-files %d must be 0 or at least %d", hos.MaxFiles, minFiles))
	}
	flagAt := map[string]string{}
	addrs := []struct{ flag, value string }{
		{"--listen", hos.Listen}, {"--peer-listen", hos.PeerListen}, {"--operator-listen", hos.Operator},
	}
	for _, addr := range addrs {
		if !validAddress(addr.value) {
			faults = append(faults, fmt.Sprintf("%s %q must be IP:port", addr.flag, addr.value))
		} else if other := flagAt[addr.value]; other != "" {
			faults = append(faults, fmt.Sprintf("%s %q is also %s", addr.flag, addr.value, other))
		}
		flagAt[addr.value] = addr.flag
	}
	return faults
}

func (lim Limits) validate() []string {
	faults := checkPositive(
		flagValue{"--max-body-bytes", lim.MaxBodyBytes},
		flagValue{"--max-body-memory", lim.MaxBodyMemory},
		flagValue{"--max-header-bytes", int64(lim.MaxHeader)},
		flagValue{"--max-header-fields", int64(lim.HeaderFields)},
		flagValue{"--max-header-memory", lim.HeaderMemory},
		flagValue{"--max-connections", int64(lim.MaxConns)},
		flagValue{"--max-requests", int64(lim.MaxRequests)},
		flagValue{"--read-timeout", int64(lim.ReadTimeout)},
		flagValue{"--write-timeout", int64(lim.WriteTimeout)},
		flagValue{"--idle-timeout", int64(lim.IdleTimeout)},
	)
	if lim.MaxBodyMemory > 0 && lim.MaxBodyMemory/receiver.BodyCopies < lim.MaxBodyBytes {
		faults = append(faults, fmt.Sprintf("--max-body-memory %d is less than %d times --max-body-bytes", lim.MaxBodyMemory, receiver.BodyCopies))
	}
	return faults
}

func (pla Placing) validate() []string {
	faults := checkPositive(flagValue{"--load-interval", int64(pla.LoadInterval)})
	if !placer.Policy(pla.Placement).Valid() {
		faults = append(faults, fmt.Sprintf("--placement %q is not a placement policy", pla.Placement))
	}
	return faults
}

func (pee Peering) validate() []string {
	faults := checkPositive(
		flagValue{"--list-interval", int64(pee.ListInterval)},
		flagValue{"--heartbeat-interval", int64(pee.Heartbeat)},
	)
	for _, addr := range pee.SeedPeers {
		if !validAddress(addr) {
			faults = append(faults, fmt.Sprintf("--seed-peer %q must be IP:port", addr))
		}
	}
	if !validURL(pee.Platform) {
		faults = append(faults, fmt.Sprintf("--platform %q must be a URL such as http://127.0.0.1:7000", pee.Platform))
	}
	return faults
}

func (obs Observation) validate() []string {
	var faults []string
	if obs.TraceEndpoint != "" && !validURL(obs.TraceEndpoint) {
		faults = append(faults, fmt.Sprintf("--trace-endpoint %q must be a URL such as http://127.0.0.1:4318", obs.TraceEndpoint))
	}
	if !(obs.TraceRatio >= 0 && obs.TraceRatio <= 1) {
		faults = append(faults, fmt.Sprintf("--trace-ratio %g must be 0 to 1", obs.TraceRatio))
	}
	switch lev, err := zerolog.ParseLevel(obs.LogLevel); {
	case err != nil, obs.LogLevel == "", lev < zerolog.DebugLevel, lev > zerolog.ErrorLevel:
		faults = append(faults, fmt.Sprintf("--log-level %q must be debug, info, warn or error", obs.LogLevel))
	}
	return faults
}

func (fwd Forwarding) validate() []string {
	var faults []string
	if fwd.Interface != InterfaceOpenAI && fwd.Interface != InterfaceForward {
		faults = append(faults, fmt.Sprintf("--interface %q must be %s or %s", fwd.Interface, InterfaceOpenAI, InterfaceForward))
	}
	if fwd.Interface == InterfaceForward && !validAddress(fwd.ReadyListen) {
		faults = append(faults, fmt.Sprintf("--ready-listen %q must be IP:port", fwd.ReadyListen))
	}
	if !(fwd.RetryRatio >= 0 && fwd.RetryRatio <= 1) || !(fwd.RetrySlack >= 0) {
		faults = append(faults, fmt.Sprintf("--retry-ratio %g must be 0 to 1, and --retry-slack %g not negative", fwd.RetryRatio, fwd.RetrySlack))
	}
	if !(fwd.ColdOverage >= 1 || fwd.ColdOverage == 0) || !(fwd.ColdSlack >= 0) {
		faults = append(faults, fmt.Sprintf("--cold-overage %g must be at least 1, and --cold-slack %g not negative", float64(fwd.ColdOverage), float64(fwd.ColdSlack)))
	}
	if !(fwd.FarPrice >= 0 && fwd.FarPrice <= maxFarPrice) {
		faults = append(faults, fmt.Sprintf("--far-price %g must be 0 to %g", fwd.FarPrice, float64(maxFarPrice)))
	}
	if fwd.EvacuateWithin < 0 {
		faults = append(faults, fmt.Sprintf("--evacuate-within %s must not be negative", fwd.EvacuateWithin))
	}
	return append(faults, checkPositive(
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
	var faults []string
	for _, val := range values {
		if val.value <= 0 {
			faults = append(faults, val.flag+" must be positive")
		}
	}
	return faults
}

// validName reports whether name has 1 to maxNameBytes ASCII letters, digits, points and
// hyphens.
func validName(name string) bool {
	if name == "" || len(name) > maxNameBytes {
		return false
	}
	return strings.IndexFunc(name, func(char rune) bool {
		return (char < 'a' || char > 'z') && (char < 'A' || char > 'Z') && (char < '0' || char > '9') && char != '-' && char != '.'
	}) < 0
}

// validAddress reports whether address is a literal IP address with a port above 0.
func validAddress(address string) bool {
	host, port, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	n, err := strconv.ParseUint(port, 10, 16)
	return err == nil && n > 0
}

// validURL reports whether text is an http or https URL with a host.
func validURL(text string) bool {
	parsed, err := url.Parse(text)
	return err == nil && (parsed.Scheme == "http" || parsed.Scheme == "https") && parsed.Host != ""
}
