package main

import (
	"hemlockpin/operator/editor"
	"hemlockpin/version/parser"
)

const (
	evacuateShort = "send no new requests to the endpoints of a data centre"
	evacuateLong  = "Edits the tables so that the endpoints of a data centre get no new requests; those in progress end there. The other data centres take its load. Hosts in it go on taking requests. With --undo its endpoints get requests again. Endpoints that cannot be served elsewhere are refused: look at endpoints before."
)

type evacuateCommand struct {
	*command `no-flag:"yes"`
	editOptions
	Undo bool `long:"undo" description:"let the endpoints get requests again"`
	Args struct {
		DataCenter string `positional-arg-name:"DATACENTRE"`
	} `positional-args:"yes" required:"yes"`
}

// Execute adds or removes the evacuation.
func (com *evacuateCommand) Execute([]string) error {
	return com.edit(com.editOptions, func(tab parser.Tables) (parser.Tables, error) {
		if com.Undo {
			next, err := editor.Remove(tab, editor.Evacuations, com.Args.DataCenter)
			if err != nil {
				return tab, usageErrorf("%s is not evacuated", com.Args.DataCenter)
			}
			return next, nil
		}
		if tab.Evacuated(com.Args.DataCenter) {
			return tab, nil
		}
		return editor.Merge(tab, parser.Tables{Evacuations: []parser.Evacuation{{Name: com.Args.DataCenter}}}), nil
	})
}
