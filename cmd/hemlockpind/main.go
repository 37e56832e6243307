// Command hemlockpind is the daemon of an entry host.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	// All programs of the project use the name resolver of the C library.
	_ "runtime/cgo"

	"hemlockpin/process/configurer"
	"hemlockpin/process/logger"
	"hemlockpin/process/server"
	"hemlockpin/process/tracer"

	"github.com/rs/zerolog"
)

const (
	exitFailure = 1
	// exitSettings is the exit code for invalid settings.
	exitSettings = 2

	// timeFormat is the format of the times in the log. It has milliseconds, because
	// requests take only some hundred milliseconds.
	timeFormat = "2006-01-02T15:04:05.000Z07:00"
)

func main() {
	// A SIGHUP that arrives while the host is starting must not terminate it.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	set, err := configurer.Read(os.Args[1:])
	var help *configurer.HelpError
	switch {
	case errors.As(err, &help):
		fmt.Println(help.Text)
		return
	case err != nil:
		fail(err, exitSettings)
	case set.CheckSettings:
		fmt.Println("settings are good")
		return
	}
	if err := run(set, hup); err != nil {
		fail(err, exitFailure)
	}
}

func run(set configurer.Settings, hup <-chan os.Signal) error {
	if heapBytes := set.HeapLimit(); heapBytes > 0 {
		debug.SetMemoryLimit(heapBytes)
	}
	lev, _ := zerolog.ParseLevel(set.LogLevel)
	wri := logger.New(os.Stdout, logger.DefaultBufferBytes)
	defer wri.Close()
	zerolog.TimeFieldFormat = timeFormat
	log := zerolog.New(wri).Level(lev).With().Str("Host", set.HostID).Timestamp().Logger()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	now := time.Now()
	flush, err := tracer.Start(ctx, tracer.Settings{Endpoint: set.TraceEndpoint, Ratio: set.TraceRatio, Host: set.HostID, DataCenter: set.DataCenter}, log)
	if err != nil {
		return err
	}
	defer flush()
	if set.Interface == configurer.InterfaceForward {
		return runForwarder(ctx, set, hup, log, now)
	}
	go warnReloadUnsupported(ctx, hup, log)
	return server.New(set, log, server.ChooseIncarnation(ctx, set, now), now).Run(ctx)
}

// warnReloadUnsupported logs a warning for each SIGHUP. Only hosts that forward calls
// unchanged can reload their settings.
func warnReloadUnsupported(ctx context.Context, hup <-chan os.Signal, log zerolog.Logger) {
	for {
		select {
		case <-hup:
			log.Warn().Msg("settings not reloaded on SIGHUP; this interface reads its settings only at startup")
		case <-ctx.Done():
			return
		}
	}
}

func fail(err error, code int) {
	fmt.Fprintln(os.Stderr, "hemlockpind:", err)
	os.Exit(code)
}
