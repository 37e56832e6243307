package server

import (
	"context"

	"hemlockpin/connection/persister"
	"hemlockpin/process/watcher"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
)

// unavailableAfterFailures is the number of consecutive failed reads of the list after
// which the platform counts as unavailable.
const unavailableAfterFailures = 3

// platformMonitor logs when the regular reads of the platform's list begin to fail and
// when they succeed again. It is not safe for concurrent use.
type platformMonitor struct {
	watcher.Lister
	log   zerolog.Logger
	scope tally.Scope

	failures int
}

// Entries reads the list and records whether the read failed. A canceled read is not
// recorded.
func (mon *platformMonitor) Entries(ctx context.Context) ([]persister.Entry, error) {
	ents, err := mon.Lister.Entries(ctx)
	if err != nil && ctx.Err() == context.Canceled {
		return ents, err
	}
	mon.record(err)
	return ents, err
}

func (mon *platformMonitor) record(err error) {
	if err != nil {
		mon.scope.Counter("platform_list_failed").Inc(1)
		if mon.failures++; mon.failures == unavailableAfterFailures {
			mon.scope.Gauge("platform_lost").Update(1)
			mon.log.Warn().Err(err).Msg("platform lost")
		}
		return
	}
	if mon.failures >= unavailableAfterFailures {
		mon.log.Info().Msg("platform back")
	}
	mon.scope.Gauge("platform_lost").Update(0)
	mon.failures = 0
}
