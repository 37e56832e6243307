package main

import (
	"encoding/json"
	"os"

	"hemlockpin/load/mixer"

	"github.com/rotisserie/eris"
)

const (
	mixesShort = "print the mixes"
	mixesLong  = "Prints the mixes of requests that run knows, as JSON."
)

type mixesCommand struct{}

// Execute prints the mixes.
func (*mixesCommand) Execute([]string) error {
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	return eris.Wrap(enc.Encode([]mixer.Mix{mixer.Wijesinghe(), mixer.PortLouis()}), "mixesCommand.Execute")
}
