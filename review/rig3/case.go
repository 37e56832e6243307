package rig3

import (
	"fmt"
	"os"
	"path/filepath"
)

// The exit codes of a case.
const (
	exitBroken = 1
	exitNotRun = 2
)

// Case is what a case gets to run.
type Case struct {
	*Fleet
	// Trouble is false if the case runs without its disruption.
	Trouble bool
}

// Main runs the case of a folder under review and ends the program. run returns what broke the
// rule; nothing if it held.
func Main(folder string, run func(cas *Case) (broken []string, err error)) {
	rec, err := NewRecord(filepath.Join("review", folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		os.Exit(exitNotRun)
	}
	broken, err := runCase(rec, run)
	code := 0
	switch {
	case err != nil:
		rec.Line("case", "could not run: "+err.Error())
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		code = exitNotRun
	case len(broken) > 0:
		for _, text := range broken {
			rec.Line("case", "BROKEN "+text)
			fmt.Println("BROKEN", text)
		}
		code = exitBroken
	default:
		rec.Line("case", "the rule held")
		fmt.Println("the rule held")
	}
	rec.Close()
	os.Exit(code)
}

func runCase(rec *Record, run func(cas *Case) ([]string, error)) ([]string, error) {
	fle, err := NewFleet(rec)
	if err != nil {
		return nil, err
	}
	defer fle.Close()
	cas := &Case{Fleet: fle, Trouble: os.Getenv("TROUBLE") != "0"}
	rec.Line("case", fmt.Sprintf("begins, trouble %t", cas.Trouble))
	return run(cas)
}
