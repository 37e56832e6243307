// Package configurer holds the settings of a host. They are read from flags, environment
// variables and a file, and validated completely before the host starts.
package configurer

import (
	"strings"
	"time"
)

// Settings are the settings of one host.
type Settings struct {
	Host        `group:"Host"`
	Limits      `group:"Limits towards callers"`
	Placing     `group:"Placement and endpoints"`
	Peering     `group:"Platform and other hosts"`
	Forwarding  `group:"Forwarding"`
	Stopping    `group:"Stopping"`
	Observation `group:"Logs and traces"`

	Config        string `long:"config" env:"HEMLOCKPIN_CONFIG" no-ini:"true" description:"file of settings, as name = value lines under the headings below; flags and environment go before it"`
	CheckSettings bool   `long:"check-settings" description:"check the settings and exit"`
}

// Host holds the identity, the resources and the listen addresses of the host.
type Host struct {
	HostID     string      `long:"host-id" env:"HEMLOCKPIN_HOST_ID" description:"name of this host, unique in the fleet"`
	CPUShare   float64     `long:"cpu-share" env:"HEMLOCKPIN_CPU_SHARE" description:"processor time that the host has, in cores; 0 if unknown. Hosts with more plan for the others"`
	MemoryMB   WholeNumber `long:"memory-mb" env:"HEMLOCKPIN_MEMORY_MB" description:"memory that the process may take, in MB; 0 if unknown. It bounds the bodies of requests and the collector's heap"`
	MaxFiles   WholeNumber `long:"max-files" env:"HEMLOCKPIN_MAX_FILES" description:"descriptors that the process may hold; 0 if unknown. It bounds the callers' connections"`
	DataCenter string      `long:"data-center" env:"HEMLOCKPIN_DATA_CENTER" description:"data centre of this host"`
	Region     string      `long:"region" env:"HEMLOCKPIN_REGION" description:"region of this host"`
	Listen     string      `long:"listen" env:"HEMLOCKPIN_LISTEN" default:"127.0.0.1:8080" description:"address for callers, as IP:port"`
	PeerListen string      `long:"peer-listen" env:"HEMLOCKPIN_PEER_LISTEN" default:"127.0.0.1:8081" description:"address for other hosts, as IP:port"`
	Operator   string      `long:"operator-listen" env:"HEMLOCKPIN_OPERATOR_LISTEN" default:"127.0.0.1:8082" description:"address for operators and metrics, as IP:port"`
}

// Limits limit the resources that callers may use on a host.
type Limits struct {
	MaxBodyBytes  int64         `long:"max-body-bytes" env:"HEMLOCKPIN_MAX_BODY_BYTES" default:"33554432" description:"limit of a request body"`
	MaxBodyMemory int64         `long:"max-body-memory" env:"HEMLOCKPIN_MAX_BODY_MEMORY" default:"536870912" description:"limit of the memory for bodies of requests in progress, in bytes, counting three copies of each"`
	MaxHeader     int           `long:"max-header-bytes" env:"HEMLOCKPIN_MAX_HEADER_BYTES" default:"65536" description:"limit of the request headers"`
	HeaderFields  int           `long:"max-header-fields" env:"HEMLOCKPIN_MAX_HEADER_FIELDS" default:"4096" description:"limit of the fields of the request headers"`
	HeaderMemory  int64         `long:"max-header-memory" env:"HEMLOCKPIN_MAX_HEADER_MEMORY" default:"134217728" description:"limit of the memory for the headers of all requests, in bytes; at most an eighth of --memory-mb"`
	MaxConns      int           `long:"max-connections" env:"HEMLOCKPIN_MAX_CONNECTIONS" default:"10000" description:"limit of callers' connections"`
	MaxRequests   int           `long:"max-requests" env:"HEMLOCKPIN_MAX_REQUESTS" default:"2000" description:"limit of requests in progress or waiting"`
	ReadTimeout   time.Duration `long:"read-timeout" env:"HEMLOCKPIN_READ_TIMEOUT" default:"30s" description:"limit for receiving a request"`
	WriteTimeout  time.Duration `long:"write-timeout" env:"HEMLOCKPIN_WRITE_TIMEOUT" default:"30s" description:"limit of one write to a slow reader"`
	IdleTimeout   time.Duration `long:"idle-timeout" env:"HEMLOCKPIN_IDLE_TIMEOUT" default:"2m" description:"limit of a caller's connection without a request"`
}

// Placing configures how requests are placed on endpoints.
type Placing struct {
	Placement    string        `long:"placement" env:"HEMLOCKPIN_PLACEMENT" default:"cell" description:"placement policy: cell, two-choices, work, classes, reservation, random or least-outstanding"`
	LoadInterval time.Duration `long:"load-interval" env:"HEMLOCKPIN_LOAD_INTERVAL" default:"250ms" description:"interval of engine load reports"`
}

// Peering configures how the host reaches the platform and other hosts.
type Peering struct {
	Platform     string        `long:"platform" env:"HEMLOCKPIN_PLATFORM" description:"base URL of the platform, as http://IP:port"`
	ListInterval time.Duration `long:"list-interval" env:"HEMLOCKPIN_LIST_INTERVAL" default:"1s" description:"interval of reading the platform's list"`
	Heartbeat    time.Duration `long:"heartbeat-interval" env:"HEMLOCKPIN_HEARTBEAT_INTERVAL" default:"1s" description:"interval of probes between hosts"`
	SeedPeers    []string      `long:"seed-peer" env:"HEMLOCKPIN_SEED_PEERS" env-delim:"," description:"address of another host, as IP:port, to ask when the platform is out; may stand several times"`
}

// Values of Forwarding.Interface.
const (
	// InterfaceOpenAI is the OpenAI-compatible API.
	InterfaceOpenAI = "openai"
	// InterfaceForward is the forwarding of unchanged calls.
	InterfaceForward = "forward"
)

// Forwarding selects the interface towards callers and configures the forwarding of
// unchanged calls.
type Forwarding struct {
	Interface      string           `long:"interface" env:"HEMLOCKPIN_INTERFACE" default:"openai" description:"interface towards callers: openai, or forward for calls that are forwarded unchanged"`
	ReadyListen    string           `long:"ready-listen" env:"HEMLOCKPIN_READY_LISTEN" default:"127.0.0.1:8083" description:"address that tells a balancer whether the host takes calls, as IP:port; for forward"`
	RetryRatio     float64          `long:"retry-ratio" env:"HEMLOCKPIN_RETRY_RATIO" default:"0.2" description:"repeats that all hosts may send to a pool in a window, as a share of its calls; for forward"`
	RetrySlack     float64          `long:"retry-slack" env:"HEMLOCKPIN_RETRY_SLACK" default:"100" description:"repeats that all hosts may send to a pool in a window beyond that; for forward"`
	StartWait      time.Duration    `long:"start-wait" env:"HEMLOCKPIN_START_WAIT" default:"150ms" description:"how long a host that starts leaves reading the store to the watchers; longer where the whole fleet starts for the first time; for forward"`
	ApplyWithin    time.Duration    `long:"apply-within" env:"HEMLOCKPIN_APPLY_WITHIN" default:"2s" description:"time within which accepted tables have to be in force on all hosts; for forward"`
	LeaveWithin    time.Duration    `long:"leave-within" env:"HEMLOCKPIN_LEAVE_WITHIN" default:"2s" description:"time within which an endpoint that leaves has to get no new calls; for forward"`
	FarPrice       float64          `long:"far-price" env:"HEMLOCKPIN_FAR_PRICE" default:"0" description:"price of a megabyte between data centres, in the worth of a usual prompt; 0 if plans need not keep prompts in their data centre; for forward"`
	ColdOverage    OptionalNumber   `long:"cold-overage" env:"HEMLOCKPIN_COLD_OVERAGE" default:"0" description:"factor, at least 1, on the calls a second that a cold endpoint takes, as its pool says, that all hosts together may reach in a second; 0 or empty for 1; for forward"`
	ColdSlack      OptionalNumber   `long:"cold-slack" env:"HEMLOCKPIN_COLD_SLACK" default:"0" description:"calls in a second beyond that; for forward"`
	EvacuateWithin OptionalDuration `long:"evacuate-within" env:"HEMLOCKPIN_EVACUATE_WITHIN" default:"0s" description:"time within which the endpoints of a data centre that the operator evacuates have to get no new calls; 0 or empty if none is evacuated; for forward"`
	RetryWindow    time.Duration    `long:"retry-window" env:"HEMLOCKPIN_RETRY_WINDOW" default:"10s" description:"window of the repeats; for forward"`
}

// Stopping configures how the host shuts down.
type Stopping struct {
	DrainNotice  time.Duration `long:"drain-notice" env:"HEMLOCKPIN_DRAIN_NOTICE" default:"2s" description:"how long a draining host still takes requests, for the balancer to turn away"`
	DrainTimeout time.Duration `long:"drain-timeout" env:"HEMLOCKPIN_DRAIN_TIMEOUT" default:"10m" description:"limit for requests in progress at shutdown"`
}

// Observation configures logs and traces.
type Observation struct {
	TraceEndpoint string  `long:"trace-endpoint" env:"HEMLOCKPIN_TRACE_ENDPOINT" description:"OTLP collector, as http://IP:port; empty for none"`
	TraceRatio    float64 `long:"trace-ratio" env:"HEMLOCKPIN_TRACE_RATIO" default:"0.01" description:"share of requests that are traced, 0 to 1, where the caller has not decided"`
	LogLevel      string  `long:"log-level" env:"HEMLOCKPIN_LOG_LEVEL" default:"info" description:"debug, info, warn or error"`
}

// FaultsError lists all faults of the settings.
type FaultsError struct{ Faults []string }

// Error returns the faults, one per line.
func (err *FaultsError) Error() string {
	return "bad settings:\n  " + strings.Join(err.Faults, "\n  ")
}
