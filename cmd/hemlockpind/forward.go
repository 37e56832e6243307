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

// fileInterval is how often the file of settings is looked at for changes that
// no signal tells of.
const fileInterval = 2 * time.Second

// forward runs a host that forwards calls unchanged on the users' platform.
func forward(ctx context.Context, set configurer.Settings, hup <-chan os.Signal, log zerolog.Logger, now time.Time) error {
	cli := platform.New(set.Platform, &counter.Traffic{})
	fwd := forwarder.New(set, forwarder.Platform{Source: cli, Codec: platform.Codec{}, EngineClient: cli}, log, forwarder.ChooseIncarnation(ctx, set, now))
	go watchSettings(ctx, set, hup, fwd, log)
	return fwd.Run(ctx)
}

// watchSettings reads the settings again on SIGHUP and when their file changes.
func watchSettings(ctx context.Context, set configurer.Settings, hup <-chan os.Signal, fwd *forwarder.Forwarder, log zerolog.Logger) {
	tic := time.NewTicker(fileInterval)
	defer tic.Stop()
	last := modified(set.Config)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		case <-tic.C:
			if mod := modified(set.Config); mod.IsZero() || mod.Equal(last) {
				continue
			}
		}
		last = modified(set.Config)
		nex, err := configurer.Read(os.Args[1:])
		if err != nil {
			log.Error().Err(err).Msg("settings not reloaded; the old ones stay in force")
			continue
		}
		fwd.Reload(nex)
	}
}

// modified returns the time of a file's last change; zero if there is none.
func modified(path string) time.Time {
	inf, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return inf.ModTime()
}
