// Command hemlockpin is the operators' command line.
package main

import (
	"fmt"
	"os"

	_ "runtime/cgo"

	"github.com/jessevdk/go-flags"
)

const exitUsage = 2

func main() {
	par := flags.NewParser(nil, flags.HelpFlag|flags.PassDoubleDash)
	_, _ = par.AddCommand("get", getShort, getLong, &getCommand{})
	if _, err := par.Parse(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(exitUsage)
	}
}
