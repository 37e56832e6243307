// Package configurer holds the settings of an entry host, read from flags and
// environment and checked whole before anything starts.
package configurer

import (
	"fmt"
	"net"
	"net/url"
	"strings"
	"time"

	"hemlockpin/request/placer"
)

// Settings are the settings of one entry host.
type Settings struct {
	HostID     string `long:"host-id" env:"HEMLOCKPIN_HOST_ID" description:"name of this host, unique in the fleet"`
	DataCenter string `long:"data-center" env:"HEMLOCKPIN_DATA_CENTER" description:"data centre of this host"`
	Region     string `long:"region" env:"HEMLOCKPIN_REGION" description:"region of this host"`
	Listen     string `long:"listen" env:"HEMLOCKPIN_LISTEN" default:"127.0.0.1:8080" description:"address for callers, as IP:port"`
	PeerListen string `long:"peer-listen" env:"HEMLOCKPIN_PEER_LISTEN" default:"127.0.0.1:8081" description:"address for other hosts, as IP:port"`
	Operator   string `long:"operator-listen" env:"HEMLOCKPIN_OPERATOR_LISTEN" default:"127.0.0.1:8082" description:"address for operators and metrics, as IP:port"`
	Platform   string `long:"platform" env:"HEMLOCKPIN_PLATFORM" description:"base URL of the platform, as http://IP:port"`

	Placement    string        `long:"placement" env:"HEMLOCKPIN_PLACEMENT" default:"cell" description:"placement policy: cell, two-choices, work, classes, reservation, random or least-outstanding"`
	MaxBodyBytes int64         `long:"max-body-bytes" env:"HEMLOCKPIN_MAX_BODY_BYTES" default:"33554432" description:"limit of a request body"`
	MaxHeader    int           `long:"max-header-bytes" env:"HEMLOCKPIN_MAX_HEADER_BYTES" default:"65536" description:"limit of the request headers"`
	MaxConns     int           `long:"max-connections" env:"HEMLOCKPIN_MAX_CONNECTIONS" default:"10000" description:"limit of callers' connections"`
	MaxRequests  int           `long:"max-requests" env:"HEMLOCKPIN_MAX_REQUESTS" default:"2000" description:"limit of requests in progress or waiting"`
	ReadTimeout  time.Duration `long:"read-timeout" env:"HEMLOCKPIN_READ_TIMEOUT" default:"30s" description:"limit for receiving a request"`
	DrainTimeout time.Duration `long:"drain-timeout" env:"HEMLOCKPIN_DRAIN_TIMEOUT" default:"10m" description:"limit for requests in progress at shutdown"`

	WriteTimeout  time.Duration `long:"write-timeout" env:"HEMLOCKPIN_WRITE_TIMEOUT" default:"30s" description:"limit of one write to a slow reader"`
	IdleTimeout   time.Duration `long:"idle-timeout" env:"HEMLOCKPIN_IDLE_TIMEOUT" default:"2m" description:"limit of a caller's connection without a request"`
	MaxBodyMemory int64         `long:"max-body-memory" env:"HEMLOCKPIN_MAX_BODY_MEMORY" default:"536870912" description:"limit of the memory for bodies of requests in progress, in bytes, counting three copies of each"`
	DrainNotice   time.Duration `long:"drain-notice" env:"HEMLOCKPIN_DRAIN_NOTICE" default:"2s" description:"how long a draining host still takes requests, for the balancer to turn away"`
	SeedPeers     []string      `long:"seed-peer" env:"HEMLOCKPIN_SEED_PEERS" env-delim:"," description:"address of another host, as IP:port, to ask when the platform is out"`

	LoadInterval time.Duration `long:"load-interval" env:"HEMLOCKPIN_LOAD_INTERVAL" default:"250ms" description:"interval of engine load reports"`
	ListInterval time.Duration `long:"list-interval" env:"HEMLOCKPIN_LIST_INTERVAL" default:"1s" description:"interval of reading the platform's list"`
	Heartbeat    time.Duration `long:"heartbeat-interval" env:"HEMLOCKPIN_HEARTBEAT_INTERVAL" default:"1s" description:"interval of probes between hosts"`

	TraceEndpoint string `long:"trace-endpoint" env:"HEMLOCKPIN_TRACE_ENDPOINT" description:"OTLP collector, as http://IP:port; empty for none"`
	LogLevel      string `long:"log-level" env:"HEMLOCKPIN_LOG_LEVEL" default:"info" description:"debug, info, warn or error"`
	CheckSettings bool   `long:"check-settings" description:"check the settings and exit"`
}

// FaultsError lists every fault of the settings.
type FaultsError struct{ Faults []string }

// Error joins the faults, a line each.
func (err *FaultsError) Error() string {
	return "bad settings:\n  " + strings.Join(err.Faults, "\n  ")
}

// Validate returns a FaultsError with every fault, or nil.
func (set Settings) Validate() error {
	var fas []string
	fas = append(fas, set.validateNames()...)
	fas = append(fas, set.validateLimits()...)
	if len(fas) > 0 {
		return &FaultsError{fas}
	}
	return nil
}

func (set Settings) validateNames() []string {
	var fas []string
	if set.HostID == "" || strings.ContainsAny(set.HostID, " /\r\n") {
		fas = append(fas, "--host-id must be a name without spaces and slashes")
	}
	if set.DataCenter == "" {
		fas = append(fas, "--data-center is missing")
	}
	addrs := []struct{ flag, val string }{
		{"--listen", set.Listen}, {"--peer-listen", set.PeerListen}, {"--operator-listen", set.Operator},
	}
	for _, add := range addrs {
		if !validAddress(add.val) {
			fas = append(fas, fmt.Sprintf("%s %q must be IP:port", add.flag, add.val))
		}
	}
	for _, add := range set.SeedPeers {
		if !validAddress(add) {
			fas = append(fas, fmt.Sprintf("--seed-peer %q must be IP:port", add))
		}
	}
	if ure, err := url.Parse(set.Platform); err != nil || ure.Scheme != "http" && ure.Scheme != "https" || ure.Host == "" {
		fas = append(fas, fmt.Sprintf("--platform %q must be a URL such as http://127.0.0.1:7000", set.Platform))
	}
	return fas
}

func (set Settings) validateLimits() []string {
	var fas []string
	if !placer.Policy(set.Placement).Valid() {
		fas = append(fas, fmt.Sprintf("--placement %q is not a placement policy", set.Placement))
	}
	nums := []struct {
		flag string
		val  int64
	}{
		{"--max-body-bytes", set.MaxBodyBytes},
		{"--max-header-bytes", int64(set.MaxHeader)},
		{"--max-connections", int64(set.MaxConns)},
		{"--max-requests", int64(set.MaxRequests)},
		{"--read-timeout", int64(set.ReadTimeout)},
		{"--write-timeout", int64(set.WriteTimeout)},
		{"--idle-timeout", int64(set.IdleTimeout)},
		{"--max-body-memory", set.MaxBodyMemory},
		{"--drain-timeout", int64(set.DrainTimeout)},
		{"--drain-notice", int64(set.DrainNotice)},
		{"--load-interval", int64(set.LoadInterval)},
		{"--list-interval", int64(set.ListInterval)},
		{"--heartbeat-interval", int64(set.Heartbeat)},
	}
	for _, num := range nums {
		if num.val <= 0 {
			fas = append(fas, num.flag+" must be positive")
		}
	}
	return fas
}

func validAddress(txt string) bool {
	hos, por, err := net.SplitHostPort(txt)
	return err == nil && net.ParseIP(hos) != nil && por != ""
}
