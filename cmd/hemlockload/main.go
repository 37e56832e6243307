// Command hemlockload sends open-loop load to entry hosts, injects faults into
// stand-ins at the times given by --fault and reports the outcomes.
package main

import (
	"fmt"
	"os"

	// All programs of the project use the name resolver of the C library.
	_ "runtime/cgo"

	"github.com/jessevdk/go-flags"
)

const exitUsage = 2

func main() {
	par := flags.NewParser(nil, flags.HelpFlag|flags.PassDoubleDash)
	_, _ = par.AddCommand("run", runShort, runLong, &runCommand{})
	_, _ = par.AddCommand("compare", compareShort, compareLong, &compareCommand{})
	_, _ = par.AddCommand("mixes", mixesShort, mixesLong, &mixesCommand{})
	if _, err := par.Parse(); err != nil {
		if flags.WroteHelp(err) {
			fmt.Println(err)
			return
		}
		fmt.Fprintln(os.Stderr, "hemlockload:", err)
		os.Exit(exitCode(err))
	}
}

func exitCode(err error) int {
	if _, ok := err.(*flags.Error); ok { //nolint:errorlint // The parser returns its errors unwrapped.
		return exitUsage
	}
	return 1
}
