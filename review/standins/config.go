// Package standins holds the stand-ins of the review's cases: the platform's store, servers
// and consumers, and the start of hosts as on the platform.
package standins

import "time"

// RouteHost is the host name of all routes, and Key the key of the only tenant.
const (
	RouteHost = "desk.example"
	Key       = "n2ctnfzs989anu6wsjnb"
)

// Route is a route of the operator's configuration.
type Route struct {
	Name     string `json:"name"`
	Host     string `json:"hostname"`
	Prefix   string `json:"pathPrefix"`
	Kind     string `json:"kind"`
	Timeout  int64  `json:"timeoutMs"`
	Target   int64  `json:"targetLatencyMs"`
	Priority int    `json:"priority"`
	Service  string `json:"service"`
	Attempts int    `json:"maxAttempts"`
	Public   bool   `json:"public"`
	Sticky   bool   `json:"sticky"`
	Resume   bool   `json:"resumable"`
	GapAim   int64  `json:"gapAimMs,omitempty"`
}

// NewRoute returns a route of the test's host name.
func NewRoute(name, kind, service string, timeout time.Duration, attempts int) Route {
	return Route{Name: name, Host: RouteHost, Prefix: "/" + name + "/", Kind: kind, Timeout: timeout.Milliseconds(), Target: 300, Priority: 2, Service: service, Attempts: attempts}
}

// Service is a service of the operator's configuration; Engine is nil for a plain service.
type Service struct {
	Name     string      `json:"name"`
	Health   string      `json:"healthPath"`
	Channels int         `json:"maxConnections"`
	Protocol string      `json:"protocol"`
	TLS      bool        `json:"tls"`
	Engine   *EngineSpec `json:"engine,omitempty"`
}

// NewService returns a plain service.
func NewService(name string) Service {
	return Service{Name: name, Health: "/healthz", Channels: 831, Protocol: "h1"}
}

type limits struct {
	Header   int `json:"maxHeaderBytes"`
	Body     int `json:"maxBodyBytes"`
	HeaderMs int `json:"headerTimeoutMs"`
	IdleMs   int `json:"idleTimeoutMs"`
}

type tenant struct {
	Name     string   `json:"name"`
	Keys     []string `json:"apiKeys"`
	Priority int      `json:"priority"`
}

// MaxBodyBytes is the limit of a body in the configuration.
const MaxBodyBytes = 4194304

// Configure writes a version of the configuration, and returns the time of the ack.
func (fle *Fleet) Configure(version int, services []Service, routes ...Route) time.Time {
	ack := fle.Store.Put("config", "main", struct {
		Version  int       `json:"version"`
		Routes   []Route   `json:"routes"`
		Services []Service `json:"services"`
		Limits   limits    `json:"limits"`
		Tenants  []tenant  `json:"tenants"`
	}{version, routes, services, limits{16384, MaxBodyBytes, 3000, 15000}, []tenant{{"hule930", []string{Key}, 1}}})
	fle.Record.Printf("the store acknowledges version %d of the configuration", version)
	return ack
}
