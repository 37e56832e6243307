package main

import (
	"strconv"

	"hemlockpin/operator/editor"
	"hemlockpin/version/parser"
)

const (
	diffShort = "compare a file or a revision with the tables in force"
	diffLong  = "Shows what apply of the file would change, or how the tables in force differ from an earlier revision (--revision)."
)

type diffCommand struct {
	*command `no-flag:"yes"`
	Whole    bool   `long:"whole" description:"the file holds all entries"`
	Revision uint64 `long:"revision" description:"an earlier revision in place of a file"`
	Args     struct {
		File string `positional-arg-name:"FILE" description:"JSON document; - for standard input"`
	} `positional-args:"yes"`
}

// Execute prints the difference.
func (com *diffCommand) Execute([]string) error {
	if (com.Args.File == "") == (com.Revision == 0) {
		return usageErrorf("diff needs either FILE or --revision")
	}
	old, next, err := com.readRevisions()
	if err != nil {
		return err
	}
	chas := editor.Diff(old, next)
	if com.JSON {
		return com.printJSON(chas)
	}
	com.printDiff(chas)
	return nil
}

// readRevisions returns the two tables to compare: an earlier revision and the tables
// in force, or the tables in force and the result of applying the file to them.
func (com *diffCommand) readRevisions() (old, next parser.Tables, err error) {
	if com.Revision != 0 {
		return com.readRevisionAndCurrent(com.Revision)
	}
	fileTables, err := com.decodeFile(com.Args.File)
	if err != nil {
		return old, next, err
	}
	old, err = com.newRequester().Tables(com.ctx)
	return old, combine(old, fileTables, com.Whole), err
}

// readRevisionAndCurrent reads an earlier revision and the tables in force.
func (com *command) readRevisionAndCurrent(revision uint64) (old, cur parser.Tables, err error) {
	old, err = com.newRequester().Revision(com.ctx, revision)
	if err != nil {
		return old, cur, historyError(err, "revision "+strconv.FormatUint(revision, 10))
	}
	cur, err = com.newRequester().Tables(com.ctx)
	return old, cur, err
}
