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

const rejection = "the tables would have faults; nothing was changed"

// editOptions are shared by the commands that change the tables.
type editOptions struct {
	DryRun bool   `long:"dry-run" description:"show the difference and the faults, and change nothing"`
	Base   uint64 `long:"base" description:"refuse the edit unless this revision is in force"`
}

// editReport is the JSON form of a change.
type editReport struct {
	Base     uint64
	Revision uint64 `json:",omitempty"`
	// InForce counts the hosts known to have the edit in force.
	InForce int `json:",omitempty"`
	Changes []editor.Change
}

// edit reads the tables in force, changes them and writes them back if nobody
// else has changed them since.
func (com *command) edit(opt editOptions, change func(parser.Tables) (parser.Tables, error)) error {
	old, err := com.requester().Tables(com.ctx)
	if err != nil {
		return err
	}
	cur, err := change(old)
	if err != nil {
		return err
	}
	if opt.Base != 0 && opt.Base != old.Revision {
		return com.late(opt.Base, old, cur.Defaults())
	}
	return com.submit(opt, old, cur.Defaults())
}

// late refuses an edit whose base is no longer in force.
func (com *command) late(base uint64, old, cur parser.Tables) error {
	if !com.JSON {
		fmt.Fprintf(com.out, "against revision %d, now in force, the edit would change:\n", old.Revision)
		com.printDiff(editor.Diff(old, cur))
	}
	return &requester.ConflictError{Host: com.Hosts[0], Base: base, Current: old}
}

func (com *command) submit(opt editOptions, old, cur parser.Tables) error {
	rep := editReport{Base: old.Revision, Changes: editor.Diff(old, cur)}
	var fas *parser.FaultsError
	if err := cur.Validate(); errors.As(err, &fas) {
		com.printDiff(rep.Changes)
		return &requester.RejectedError{Host: "this command", Message: rejection, Faults: fas.Faults}
	}
	if opt.DryRun || len(rep.Changes) == 0 {
		return com.printEdit(rep)
	}
	out, err := com.requester().Put(com.ctx, cur, old.Revision)
	if err != nil {
		return com.raced(old, err)
	}
	rep.Revision = out.Tables.Revision
	rep.InForce = out.InForce
	return com.printEdit(rep)
}

// raced shows what the other edit changed.
func (com *command) raced(old parser.Tables, err error) error {
	var rac *requester.ConflictError
	if errors.As(err, &rac) && !com.JSON && rac.Current.Revision != old.Revision {
		fmt.Fprintf(com.out, "changes from revision %d to revision %d by others:\n", old.Revision, rac.Current.Revision)
		com.printDiff(editor.Diff(old, rac.Current))
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

// readFile reads a file of at most the size of the tables; - is standard input.
func (com *command) readFile(name string) ([]byte, error) {
	rea := com.in
	if name != "-" {
		fil, err := os.Open(name)
		if err != nil {
			return nil, &usageError{err}
		}
		defer fil.Close()
		rea = fil
	}
	doc, err := io.ReadAll(io.LimitReader(rea, parser.MaxDocumentBytes+1))
	if err != nil {
		return nil, usage("read %s: %w", name, err)
	}
	if len(doc) > parser.MaxDocumentBytes {
		return nil, usage("%s is over %d bytes", name, parser.MaxDocumentBytes)
	}
	return doc, nil
}
