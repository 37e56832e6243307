package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"hemlockpin/operator/editor"
	"hemlockpin/operator/requester"
	"hemlockpin/version/parser"
)

const rejectionMessage = "the tables would have faults; nothing was changed"

// editOptions holds the options of all commands that change the tables.
type editOptions struct {
	DryRun bool   `long:"dry-run" description:"show the difference and the faults, and change nothing"`
	Base   uint64 `long:"base" description:"refuse the edit unless this revision is in force"`
}

// editReport is the result of an edit that is printed as JSON.
type editReport struct {
	Base     uint64
	Revision uint64 `json:",omitempty"`
	// InForce is the number of hosts known to have the edit in force.
	InForce int `json:",omitempty"`
	Changes []editor.Change
}

// edit reads the tables in force, applies change and, except for a dry run, writes
// the result. It returns a ConflictError if another edit was accepted in the meantime
// or opt.Base is set and not in force.
func (com *command) edit(opt editOptions, change func(parser.Tables) (parser.Tables, error)) error {
	old, err := com.newRequester().Tables(com.ctx)
	if err != nil {
		return err
	}
	next, err := change(old)
	if err != nil {
		return err
	}
	if opt.Base != 0 && opt.Base != old.Revision {
		return com.refuseStaleBase(opt.Base, old, next.Defaults())
	}
	return com.submit(opt, old, next.Defaults())
}

// refuseStaleBase refuses an edit whose base is not the revision in force, and prints
// the difference between the tables in force and the result of the edit.
func (com *command) refuseStaleBase(base uint64, old, next parser.Tables) error {
	if !com.JSON {
		fmt.Fprintf(com.out, "against revision %d, now in force, the edit would change:\n", old.Revision)
		com.printDiff(editor.Diff(old, next))
	}
	return &requester.ConflictError{Host: com.Hosts[0], Base: base, Current: old}
}

// submit validates the changed tables and, except for a dry run or an edit that
// changes nothing, writes them if old is still in force.
func (com *command) submit(opt editOptions, old, next parser.Tables) error {
	rep := editReport{Base: old.Revision, Changes: editor.Diff(old, next)}
	var faults *parser.FaultsError
	if err := next.Validate(); errors.As(err, &faults) {
		// The changes are printed as text with --json too.
		com.printDiff(rep.Changes)
		return &requester.RejectedError{Host: "this command", Message: rejectionMessage, Faults: faults.Faults}
	}
	if opt.DryRun || len(rep.Changes) == 0 {
		return com.printEdit(rep)
	}
	out, err := com.newRequester().Put(com.ctx, next, old.Revision)
	if err != nil {
		return com.printConflict(old, err)
	}
	rep.Revision = out.Tables.Revision
	rep.InForce = out.InForce
	return com.printEdit(rep)
}

// printConflict prints the changes that other edits have made since old if err is a
// conflict with another edit. It returns err.
func (com *command) printConflict(old parser.Tables, err error) error {
	var conflict *requester.ConflictError
	if errors.As(err, &conflict) && !com.JSON && conflict.Current.Revision != old.Revision {
		fmt.Fprintf(com.out, "changes from revision %d to revision %d by others:\n", old.Revision, conflict.Current.Revision)
		com.printDiff(editor.Diff(old, conflict.Current))
	}
	return err
}

func (com *command) printEdit(rep editReport) error {
	if com.JSON {
		return com.printJSON(rep)
	}
	com.printDiff(rep.Changes)
	if rep.Revision != 0 {
		fmt.Fprintf(com.out, "revision %d accepted, in force on %d hosts so far\n", rep.Revision, rep.InForce)
		return nil
	}
	fmt.Fprintf(com.out, "nothing was changed; revision %d is in force\n", rep.Base)
	return nil
}

// readFile reads a file, which may be at most as large as the tables; - is standard
// input.
func (com *command) readFile(name string) ([]byte, error) {
	reader := com.in
	if name != "-" {
		fil, err := os.Open(name)
		if err != nil {
			return nil, &usageError{err}
		}
		defer fil.Close()
		reader = fil
	}
	doc, err := io.ReadAll(io.LimitReader(reader, parser.MaxDocumentBytes+1))
	if err != nil {
		return nil, usageErrorf("read %s: %w", name, err)
	}
	if len(doc) > parser.MaxDocumentBytes {
		return nil, usageErrorf("%s is over %d bytes", name, parser.MaxDocumentBytes)
	}
	return doc, nil
}
