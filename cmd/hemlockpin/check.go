package main

import (
	"fmt"

	"hemlockpin/operator/checker"
	"hemlockpin/operator/editor"
	"hemlockpin/operator/requester"
	"hemlockpin/platform"
	"hemlockpin/version/parser"
)

const (
	checkShort = "look through a file before it is applied"
	checkLong  = `Lists the faults with which hosts would reject the tables, entries that can never
match, and limits and times that contradict each other; no host is asked. With
--against the file is taken as apply would, and what it would change is listed.
Exit code 5 if there are faults, 6 if there are warnings only.`
)

// findingsError reports that tables have warnings but no faults.
type findingsError struct{ warnings int }

// Error returns the number of warnings.
func (err *findingsError) Error() string { return fmt.Sprintf("%d warnings", err.warnings) }

type checkCommand struct {
	*command `no-flag:"yes"`
	Against  bool         `long:"against" description:"check what applying the file to the tables in force gives, and show the difference"`
	Platform bool         `long:"platform" description:"the file holds the operator's configuration of the users' platform"`
	Whole    bool         `long:"whole" description:"the file holds all entries; for --against"`
	Args     fileArgument `positional-args:"yes" required:"yes"`
}

// Execute checks the file.
func (com *checkCommand) Execute([]string) error {
	if com.Platform && com.Against {
		return usageErrorf("--platform goes without --against: a forwarding host does not hand out its tables")
	}
	tab, err := com.readTables()
	if err != nil {
		return err
	}
	var rep struct {
		Findings []checker.Finding
		Changes  []editor.Change `json:",omitempty"`
	}
	if com.Against {
		live, err := com.newRequester().Tables(com.ctx)
		if err != nil {
			return err
		}
		tab = combine(live, tab, com.Whole).Defaults()
		rep.Changes = editor.Diff(live, tab)
	}
	rep.Findings = checker.Check(tab)
	if com.JSON {
		err = com.printJSON(rep)
	} else {
		com.printFindings(rep.Findings)
	}
	if com.Against && !com.JSON {
		com.printDiff(rep.Changes)
	}
	if err != nil {
		return err
	}
	return outcomeOf(rep.Findings)
}

// readTables reads the file in the format that the options name.
func (com *checkCommand) readTables() (parser.Tables, error) {
	if !com.Platform {
		return com.decodeFile(com.Args.File)
	}
	doc, err := com.readFile(com.Args.File)
	if err != nil {
		return parser.Tables{}, err
	}
	tab, err := platform.DecodeTables(doc)
	if err != nil {
		return tab, &requester.RejectedError{Host: "this command", Message: rejectionMessage, Faults: []string{com.Args.File + ": " + err.Error()}}
	}
	return tab, nil
}

func (com *command) printFindings(fins []checker.Finding) {
	for _, fin := range fins {
		if fin.Entry == "" {
			fmt.Fprintf(com.out, "%s: %s\n", fin.Severity, fin.Reason)
			continue
		}
		fmt.Fprintf(com.out, "%s: %s: %s\n", fin.Severity, fin.Entry, fin.Reason)
	}
}

// outcomeOf returns the error that gives the exit code for findings; nil for none.
func outcomeOf(fins []checker.Finding) error {
	faults := 0
	for _, fin := range fins {
		if fin.Severity == checker.Fault {
			faults++
		}
	}
	switch {
	case faults > 0:
		return &faultsFoundError{faults}
	case len(fins) > 0:
		return &findingsError{len(fins)}
	default:
		return nil
	}
}

// faultsFoundError reports that tables have faults.
type faultsFoundError struct{ faults int }

// Error returns the number of faults.
func (err *faultsFoundError) Error() string {
	return fmt.Sprintf("%d faults; hosts would reject the tables", err.faults)
}
