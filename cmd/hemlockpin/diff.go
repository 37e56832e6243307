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
		return usage("diff needs either FILE or --revision")
	}
	old, cur, err := com.versions()
	if err != nil {
		return err
	}
	chas := editor.Diff(old, cur)
	if com.JSON {
		return com.printJSON(chas)
	}
	com.printDiff(chas)
	return nil
}

func (com *diffCommand) versions() (old, cur parser.Tables, err error) {
	if com.Revision != 0 {
		return com.withRevision(com.Revision)
	}
	fil, err := com.decodeFile(com.Args.File)
	if err != nil {
		return old, cur, err
	}
	old, err = com.requester().Tables(com.ctx)
	return old, combine(old, fil, com.Whole), err
}

// withRevision reads an earlier revision and the tables in force.
func (com *command) withRevision(rev uint64) (old, cur parser.Tables, err error) {
	old, err = com.requester().Revision(com.ctx, rev)
	if err != nil {
		return old, cur, historyError(err, "revision "+strconv.FormatUint(rev, 10))
	}
	cur, err = com.requester().Tables(com.ctx)
	return old, cur, err
}
