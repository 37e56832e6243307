// Package measurer makes the metrics of a host.
package measurer

import (
	"net/http"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

const reportInterval = time.Second

// New makes the metrics of one host, with those of the Go runtime and the
// process, in a registry of its own, so that several hosts fit into one program.
func New(log zerolog.Logger) (tally.Scope, http.Handler) {
	reg := prom.NewRegistry()
	reg.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	rep := prometheus.NewReporter(prometheus.Options{
		Registerer: reg,
		// A metric that clashes with another is lost; it must not end the process.
		OnRegisterError: func(err error) { log.Error().Err(err).Msg("metric not registered") },
	})
	sco, _ := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "hemlockpin", CachedReporter: rep, Separator: prometheus.DefaultSeparator, SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}, reportInterval)
	return sco, rep.HTTPHandler()
}
