package rig3

// Route is a route of the operator's configuration.
type Route struct {
	Name, Host, Prefix, Kind, Service string
	TimeoutMs, TargetMs, GapMs        int
	Attempts                          int
	Public, Resumable                 bool
}

// Engine is the engine of the sheets' language models.
var Engine = map[string]any{
	"slots": 16, "kvCapacityTokens": 315000, "stride": 51, "step_ms": 0.85, "per_seq_ms": 0.00425, "context_per_k": 0.00285, "read_per_s": 177000.0,
	"pairs_per_m": 0.184, "chunk": 2048, "report_lag_ms": 200.0, "delays": []any{}, "usual": map[string]any{"prompt": 11108, "answer": 1622}, "hopMs": 0.05,
}

// Config returns a configuration with routes to plain services and to engines.
func Config(version int, routes []Route, services []string, engines []string) map[string]any {
	rous, sers := []any{}, []any{}
	for _, rou := range routes {
		rous = append(rous, map[string]any{
			"name": rou.Name, "hostname": rou.Host, "pathPrefix": rou.Prefix, "kind": rou.Kind, "service": rou.Service, "timeoutMs": rou.TimeoutMs,
			"targetLatencyMs": rou.TargetMs, "gapAimMs": rou.GapMs, "priority": 1, "maxAttempts": rou.Attempts, "public": rou.Public,
			"sticky": rou.Kind == "streaming", "resumable": rou.Resumable,
		})
	}
	for _, name := range services {
		sers = append(sers, map[string]any{"name": name, "healthPath": "/healthz", "maxConnections": 244, "protocol": "h1", "tls": false})
	}
	for _, name := range engines {
		sers = append(sers, map[string]any{"name": name, "healthPath": "/healthz", "maxConnections": 831, "protocol": "h1", "tls": false, "engine": Engine})
	}
	return map[string]any{
		"version": version, "routes": rous, "services": sers,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}
