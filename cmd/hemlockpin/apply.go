package main

import (
	"hemlockpin/operator/editor"
	"hemlockpin/operator/requester"
	"hemlockpin/version/parser"
)

const (
	applyShort = "change the tables by a file"
	applyLong  = `Changes the tables by a JSON file; - stands for standard input. The entries in
the file replace those of the same name and new ones are added; with --whole the
file replaces all tables. All of the file is accepted or nothing. A file with a
Revision, as get prints it, is refused if another revision is in force.`
)

type fileArgument struct {
	File string `positional-arg-name:"FILE" description:"JSON document; - for standard input"`
}

type applyCommand struct {
	*command `no-flag:"yes"`
	editOptions
	Whole bool         `long:"whole" description:"the file holds all entries; others are removed"`
	Args  fileArgument `positional-args:"yes" required:"yes"`
}

// Execute applies the file.
func (com *applyCommand) Execute([]string) error {
	fileTables, err := com.decodeFile(com.Args.File)
	if err != nil {
		return err
	}
	if com.Base == 0 {
		com.Base = fileTables.Revision
	}
	return com.edit(com.editOptions, func(old parser.Tables) (parser.Tables, error) {
		return combine(old, fileTables, com.Whole), nil
	})
}

// decodeFile reads the entries of a file. It returns a RejectedError if the file
// cannot be decoded.
func (com *command) decodeFile(name string) (parser.Tables, error) {
	doc, err := com.readFile(name)
	if err != nil {
		return parser.Tables{}, err
	}
	tab, err := editor.Decode(doc)
	if err != nil {
		return tab, &requester.RejectedError{Host: "this command", Message: rejectionMessage, Faults: []string{name + ": " + err.Error()}}
	}
	return tab, nil
}

// combine merges the entries of given into old or, if whole, replaces all entries of
// old with those of given. Revision, nonce and recent edits are those of old.
func combine(old, given parser.Tables, whole bool) parser.Tables {
	if !whole {
		return editor.Merge(old, given)
	}
	given.Revision = old.Revision
	given.Nonce = old.Nonce
	given.Recent = old.Recent
	return given
}
