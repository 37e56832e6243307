// Command hemlockpin is the operators' command line.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	// All programs of the project use the name resolver of the C library.
	_ "runtime/cgo"

	"hemlockpin/operator/requester"

	"github.com/jessevdk/go-flags"
)

// Exit codes, as documented in mainLong.
const (
	exitOK       = 0
	exitFailure  = 1
	exitUsage    = 2
	exitConflict = 3
	exitUnknown  = 4
	exitRejected = 5
	exitWarnings = 6
)

const mainLong = `Reads and edits the tables of a fleet and shows its state.

Exit codes: 0 done; 1 failure, nothing was changed; 2 bad usage or input;
3 another edit was accepted first, nothing was changed; 4 it is unknown
whether the change took effect; 5 the edit was rejected, every fault is listed;
6 check found no fault, but entries or limits to look at.`

// command holds the common options, the input and the output of all subcommands.
type command struct {
	Hosts []string `long:"host" env:"HEMLOCKPIN_OPERATOR" env-delim:"," default:"http://127.0.0.1:8082" description:"operator URL of a host; may stand several times: reads go to the first that answers, changes to the first only"`
	JSON  bool     `long:"json" description:"print JSON"`

	ctx context.Context
	in  io.Reader
	out io.Writer
}

func (com *command) newRequester() *requester.Requester {
	return &requester.Requester{Hosts: com.Hosts}
}

// usageError is an error in the command line or in an input file.
type usageError struct{ err error }

// Error returns the text of the cause.
func (err *usageError) Error() string { return err.err.Error() }

// Unwrap returns the cause.
func (err *usageError) Unwrap() error { return err.err }

func usageErrorf(format string, args ...any) error { return &usageError{fmt.Errorf(format, args...)} }

// exitCode returns the exit code for an error.
func exitCode(err error) int {
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, new(*usageError)):
		return exitUsage
	case errors.As(err, new(*requester.ConflictError)):
		return exitConflict
	case errors.As(err, new(*requester.UnknownOutcomeError)):
		return exitUnknown
	case errors.As(err, new(*requester.RejectedError)), errors.As(err, new(*faultsFoundError)):
		return exitRejected
	case errors.As(err, new(*findingsError)):
		return exitWarnings
	default:
		return exitFailure
	}
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	code := run(ctx, os.Args[1:])
	stop()
	os.Exit(code)
}

func run(ctx context.Context, args []string) int {
	com := &command{ctx: ctx, in: os.Stdin, out: os.Stdout}
	par := flags.NewNamedParser("hemlockpin", flags.HelpFlag|flags.PassDoubleDash)
	par.LongDescription = mainLong
	if _, err := par.AddGroup("Common options", "", com); err != nil {
		fmt.Fprintln(os.Stderr, "hemlockpin:", err)
		return exitFailure
	}
	if err := addCommands(par, com); err != nil {
		fmt.Fprintln(os.Stderr, "hemlockpin:", err)
		return exitFailure
	}
	err := execute(par, args)
	if flags.WroteHelp(err) {
		fmt.Println(err)
		return exitOK
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "hemlockpin:", err)
	}
	return exitCode(err)
}

// execute parses the whole command line before it runs the command, so that nothing
// is changed if the command line has an error.
func execute(par *flags.Parser, args []string) error {
	var chosen flags.Commander
	par.CommandHandler = func(cmd flags.Commander, _ []string) error {
		chosen = cmd
		return nil
	}
	rest, err := par.ParseArgs(args)
	switch {
	case flags.WroteHelp(err):
		return err
	case err != nil:
		return &usageError{err}
	case len(rest) > 0:
		return usageErrorf("unexpected argument %q", rest[0])
	}
	return chosen.Execute(rest)
}

// subcommand is a command with its help texts and options.
type subcommand struct {
	name, short, long string
	data              any
}

func addCommands(par *flags.Parser, com *command) error {
	subs := []subcommand{
		{"get", getShort, getLong, &getCommand{command: com}},
		{"evacuate", evacuateShort, evacuateLong, &evacuateCommand{command: com}},
		{"check", checkShort, checkLong, &checkCommand{command: com}},
		{"apply", applyShort, applyLong, &applyCommand{command: com}},
		{"diff", diffShort, diffLong, &diffCommand{command: com}},
		{"history", historyShort, historyLong, &historyCommand{command: com}},
		{"rollback", rollbackShort, rollbackLong, &rollbackCommand{command: com}},
		{"explain", explainShort, explainLong, &explainCommand{command: com}},
		{"trace", traceShort, traceLong, &traceCommand{command: com}},
		{"status", statusShort, statusLong, &statusCommand{command: com}},
		{"usage", usageShort, usageLong, &usageCommand{command: com}},
		{"endpoints", endpointsShort, endpointsLong, &endpointsCommand{command: com}},
		{"order", orderShort, orderLong, &orderCommand{command: com}},
		{"drain", drainShort, drainLong, &drainCommand{command: com}},
		{"digest", digestShort, digestLong, &digestCommand{command: com}},
		{"completion", completionShort, completionLong, &completionCommand{command: com}},
		{"version", versionShort, versionLong, &versionCommand{command: com}},
	}
	for _, sub := range subs {
		if _, err := par.AddCommand(sub.name, sub.short, sub.long, sub.data); err != nil {
			return err
		}
	}
	return addTableCommands(par, com)
}
