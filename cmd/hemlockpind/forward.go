package main

import (
	"context"
	"os"
	"time"

	"hemlockpin/connection/counter"
	"hemlockpin/platform"
	"hemlockpin/process/configurer"
	"hemlockpin/process/forwarder"

	"github.com/rs/zerolog"
)

// configPollInterval is the interval at which the modification time of the settings
// file is checked, for changes without a SIGHUP.
const configPollInterval = 2 * time.Second

// runForwarder runs a host that forwards calls unchanged on the platform.
func runForwarder(ctx context.Context, set configurer.Settings, hup <-chan os.Signal, log zerolog.Logger, now time.Time) error {
	cli := platform.New(set.Platform, &counter.Traffic{})
	fwd := forwarder.New(set, forwarder.Platform{Source: cli, Codec: platform.Codec{}, EngineClient: cli, Quarantines: cli, Evacuations: cli}, log, forwarder.ChooseIncarnation(ctx, set, now))
	go watchSettings(ctx, set, hup, fwd, log)
	return fwd.Run(ctx)
}

// watchSettings reloads the settings on SIGHUP and when their file changes. If the
// new settings are invalid, it logs the error and keeps the previous settings.
func watchSettings(ctx context.Context, set configurer.Settings, hup <-chan os.Signal, fwd *forwarder.Forwarder, log zerolog.Logger) {
	tic := time.NewTicker(configPollInterval)
	defer tic.Stop()
	lastModified := modTime(set.Config)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		case <-tic.C:
			// A file that cannot be read, for example while it is being replaced, is
			// checked again at the next tick.
			if modified := modTime(set.Config); modified.IsZero() || modified.Equal(lastModified) {
				continue
			}
		}
		lastModified = modTime(set.Config)
		next, err := configurer.Read(os.Args[1:])
		if err != nil {
			log.Error().Err(err).Msg("settings not reloaded; keeping the previous settings")
			continue
		}
		fwd.Reload(next)
	}
}

// modTime returns the modification time of a file; zero if it cannot be read.
func modTime(path string) time.Time {
	inf, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return inf.ModTime()
}
