package main

import (
	"os"

	"hemlockpin/load/reporter"

	"github.com/rotisserie/eris"
)

const (
	compareShort = "compare two reports"
	compareLong  = `Prints the classes of two JSON reports side by side, with the ratio of the
second to the first. With --html, both are drawn into one page. A file with
several reports counts with its first.`
)

type compareCommand struct {
	HTML string `long:"html" description:"file for the comparison as HTML"`
	Args struct {
		First  string `positional-arg-name:"FIRST"`
		Second string `positional-arg-name:"SECOND"`
	} `positional-args:"true" required:"true"`
}

// Execute compares the reports.
func (com *compareCommand) Execute([]string) error {
	first, err := reporter.ReadJSON(com.Args.First)
	if err != nil {
		return err
	}
	second, err := reporter.ReadJSON(com.Args.Second)
	if err != nil {
		return err
	}
	if len(first) == 0 || len(second) == 0 {
		return eris.New("a file holds no report")
	}
	if com.HTML != "" {
		if err := reporter.WriteHTML(com.HTML, "Comparison", append(first[:1:1], second[0])); err != nil {
			return err
		}
	}
	return reporter.Compare(os.Stdout, first[0], second[0])
}
