package lab

// Configuration is a configuration of the operator. Its routes, services and tenants have the fields
// of the platform's pages.
type Configuration struct {
	Version  int    `json:"version"`
	Routes   []any  `json:"routes"`
	Services []any  `json:"services"`
	Limits   Limits `json:"limits"`
	Tenants  []any  `json:"tenants"`
}

// Limits are the limits of consumers.
type Limits struct {
	MaxHeaderBytes  int `json:"maxHeaderBytes"`
	MaxBodyBytes    int `json:"maxBodyBytes"`
	HeaderTimeoutMs int `json:"headerTimeoutMs"`
	IdleTimeoutMs   int `json:"idleTimeoutMs"`
}

// NewConfiguration returns a configuration with the limits of the small deployments.
func NewConfiguration(version int, routes, services, tenants []any) Configuration {
	return Configuration{
		Version: version, Routes: routes, Services: services, Tenants: tenants,
		Limits: Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 4194304, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000},
	}
}

// PlainRoute returns a route to a plain service. kind is idempotent or non_idempotent.
func PlainRoute(name, prefix, kind string, attempts int, service string) map[string]any {
	return map[string]any{
		"name": name, "hostname": HostName, "pathPrefix": prefix, "kind": kind, "timeoutMs": 1500, "targetLatencyMs": 300,
		"priority": 2, "service": service, "maxAttempts": attempts, "public": false,
	}
}

// StreamRoute returns a route of resumable streams to engines.
func StreamRoute(name, prefix, service string) map[string]any {
	return map[string]any{
		"name": name, "hostname": HostName, "pathPrefix": prefix, "kind": "streaming", "timeoutMs": 10000, "targetLatencyMs": 300,
		"priority": 1, "service": service, "maxAttempts": 2, "public": false, "sticky": true, "resumable": true, "gapAimMs": 250,
	}
}

// PlainService returns a plain service.
func PlainService(name string) map[string]any {
	return map[string]any{"name": name, "healthPath": "/healthz", "maxConnections": 214}
}

// Tenant returns a tenant with its keys.
func Tenant(name string, keys ...string) map[string]any {
	return map[string]any{"name": name, "apiKeys": keys}
}
