package server

import (
	"context"

	"hemlockpin/connection/persister"
	"hemlockpin/process/watcher"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
)

// platformFailures in a row make the platform count as lost.
const platformFailures = 3

// platformWatch logs when the platform is lost and when it is back, as seen by
// the regular reads of its list. One goroutine at a time may use it.
type platformWatch struct {
	watcher.Lister
	log   zerolog.Logger
	scope tally.Scope

	failures int
}

// Entries reads the list.
func (pla *platformWatch) Entries(ctx context.Context) ([]persister.Entry, error) {
	ents, err := pla.Lister.Entries(ctx)
	if err != nil && ctx.Err() == context.Canceled {
		return ents, err
	}
	pla.note(err)
	return ents, err
}

func (pla *platformWatch) note(err error) {
	if err != nil {
		pla.scope.Counter("platform_list_failed").Inc(1)
		if pla.failures++; pla.failures == platformFailures {
			pla.scope.Gauge("platform_lost").Update(1)
			pla.log.Warn().Err(err).Msg("platform lost")
		}
		return
	}
	if pla.failures >= platformFailures {
		pla.log.Info().Msg("platform back")
	}
	pla.scope.Gauge("platform_lost").Update(0)
	pla.failures = 0
}
