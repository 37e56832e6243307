package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"hemlockpin/operator/correlator"
)

const (
	traceShort = "tell from logs what happened to one request"
	traceLong  = `Reads the logs of hosts from files, or from standard input if none are named,
and prints what happened to one request: its lines in the order of cause, which
holds also where the hosts' clocks differ, and what these hosts last believed of
the store, the tables, peers and the request's endpoints. Exit code 1 if no line
names the request.`
)

type traceCommand struct {
	*command `no-flag:"yes"`

	Args struct {
		Request string   `positional-arg-name:"REQUEST" required:"yes" description:"identifier of the request"`
		Files   []string `positional-arg-name:"FILE" description:"log of a host; the file's name stands for the host in lines that name none"`
	} `positional-args:"yes"`
}

// Execute reads the logs and prints the request.
func (com *traceCommand) Execute([]string) error {
	cor := &correlator.Correlator{RequestID: com.Args.Request}
	if len(com.Args.Files) == 0 {
		if err := cor.Read(com.in, "stdin"); err != nil {
			return err
		}
	}
	for _, path := range com.Args.Files {
		if err := readLog(cor, path); err != nil {
			return err
		}
	}
	lines, stateLines := cor.Lines(), cor.StateLines()
	if len(lines) == 0 {
		return fmt.Errorf("no line names request %q (%d lines are no log lines)", com.Args.Request, cor.Skipped())
	}
	if com.JSON {
		return com.printJSON(struct{ Lines, Beliefs []correlator.Line }{lines, stateLines})
	}
	for _, lin := range lines {
		fmt.Fprintln(com.out, lin.Text())
	}
	if len(stateLines) > 0 {
		fmt.Fprintln(com.out, "\nWhat these hosts last wrote of what they believed:")
	}
	for _, lin := range stateLines {
		fmt.Fprintln(com.out, lin.Text())
	}
	return nil
}

// readLog reads the log at path. A line without a Host field belongs to the host that
// is named by the file's base name without its extension.
func readLog(cor *correlator.Correlator, path string) error {
	fil, err := os.Open(path)
	if err != nil {
		return usageErrorf("%w", err)
	}
	defer fil.Close()
	name := filepath.Base(path)
	return cor.Read(fil, strings.TrimSuffix(name, filepath.Ext(name)))
}
