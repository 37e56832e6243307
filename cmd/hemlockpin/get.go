package main

import (
	"io"
	"net/http"
	"os"

	"github.com/rotisserie/eris"
)

const (
	getShort = "print the tables in force"
	getLong  = "Prints the tables in force on a host as JSON, with their revision."
)

type getCommand struct {
	Host string `long:"host" env:"HEMLOCKPIN_OPERATOR" default:"http://127.0.0.1:8082" description:"operator address of a host"`
}

// Execute prints the tables.
func (com *getCommand) Execute([]string) error {
	res, err := http.Get(com.Host + "/v1/tables")
	if err != nil {
		return eris.Wrapf(err, "getCommand.Execute: host %s", com.Host)
	}
	defer res.Body.Close()
	_, err = io.Copy(os.Stdout, res.Body)
	return err
}
