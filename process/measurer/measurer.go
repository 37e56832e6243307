// Package measurer creates the metrics of a host.
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

// reportInterval is the interval at which tally passes values to the reporter.
const reportInterval = time.Second

// New creates the metrics of a host, with those of the Go runtime and the process, and
// the handler that serves them. Each call uses a separate registry, so that several hosts
// can run in one program.
func New(log zerolog.Logger) (tally.Scope, http.Handler) {
	reg := prom.NewRegistry()
	reg.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	rep := prometheus.NewReporter(prometheus.Options{
		Registerer: reg,
		// The reporter's default is to panic if a metric conflicts with another. This
		// function logs the error instead, and the host runs without the metric.
		OnRegisterError: func(err error) { log.Error().Err(err).Msg("metric not registered; the host runs without it") },
	})
	sco, _ := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "hemlockpin", CachedReporter: rep, Separator: prometheus.DefaultSeparator, SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}, reportInterval)
	return sco, rep.HTTPHandler()
}
