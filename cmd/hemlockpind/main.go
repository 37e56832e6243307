// Command hemlockpind is the daemon of an entry host.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	// The resolver of the C library serves all programs of the project.
	_ "runtime/cgo"

	"hemlockpin/process/configurer"
	"hemlockpin/process/server"

	"github.com/jessevdk/go-flags"
	"github.com/rs/zerolog"
)

const exitSettings = 2

func main() {
	var set configurer.Settings
	par := flags.NewParser(&set, flags.HelpFlag|flags.PassDoubleDash)
	if _, err := par.Parse(); err != nil {
		if flags.WroteHelp(err) {
			fmt.Println(err)
			return
		}
		fail(err, exitSettings)
	}
	if err := set.Validate(); err != nil {
		fail(err, exitSettings)
	}
	if set.CheckSettings {
		fmt.Println("settings are good")
		return
	}
	lev, _ := zerolog.ParseLevel(set.LogLevel)
	log := zerolog.New(os.Stderr).Level(lev).With().Timestamp().Logger()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := server.New(set, log, time.Now()).Run(ctx); err != nil {
		fail(err, 1)
	}
}

func fail(err error, code int) {
	fmt.Fprintln(os.Stderr, "hemlockpind:", err)
	os.Exit(code)
}
