// Command hemlockstandin runs stand-ins for the external systems in tests and
// load runs: the platform, a model engine and a plain service.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	// All programs of the project use the name resolver of the C library.
	_ "runtime/cgo"

	"hemlockpin/standin/booker"
	"hemlockpin/standin/generator"
	"hemlockpin/standin/keeper"

	"github.com/jessevdk/go-flags"
)

type platformCommand struct{ keeper.Settings }

type engineCommand struct{ generator.Settings }

type serviceCommand struct{ booker.Settings }

// Execute runs the stand-in for the platform.
func (com *platformCommand) Execute([]string) error {
	return serve(com.Listen, keeper.New(com.Settings).Handler())
}

// Execute runs the stand-in for an engine.
func (com *engineCommand) Execute([]string) error {
	gen := generator.New(com.Settings)
	stop := make(chan struct{})
	defer close(stop)
	go gen.Run(stop)
	return serve(com.Listen, gen.Handler())
}

// Execute runs the stand-in for a plain service.
func (com *serviceCommand) Execute([]string) error {
	return serve(com.Listen, booker.New(com.Settings).Handler())
}

// serve serves HTTP at addr until SIGTERM or SIGINT.
func serve(addr string, han http.Handler) error {
	lis, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ser := &http.Server{Handler: han}
	context.AfterFunc(ctx, func() { _ = ser.Close() })
	if err := ser.Serve(lis); err != http.ErrServerClosed {
		return err
	}
	return nil
}

func main() {
	par := flags.NewParser(nil, flags.HelpFlag|flags.PassDoubleDash)
	_, _ = par.AddCommand("platform", "run the platform", "Runs the object API, the list of hosts and the weight store.", &platformCommand{})
	_, _ = par.AddCommand("engine", "run a model engine", "Runs a model engine with continuous batching.", &engineCommand{})
	_, _ = par.AddCommand("service", "run a plain service", "Runs a service that counts each execution by key.", &serviceCommand{})
	if _, err := par.Parse(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(2)
	}
}
