// Command hemlockload sends load to entry hosts and reports the outcomes.
package main

import (
	"fmt"
	"os"

	_ "runtime/cgo"

	"github.com/jessevdk/go-flags"
)

func main() {
	par := flags.NewParser(nil, flags.HelpFlag|flags.PassDoubleDash)
	if _, err := par.Parse(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(2)
	}
}
