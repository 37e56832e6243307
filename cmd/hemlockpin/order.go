package main

import (
	"fmt"
	"strconv"
	"time"

	"hemlockpin/process/server"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
)

const (
	orderShort = "make an engine load something or change its role"
	orderLong  = `Gives an order to an engine, for example
  hemlockpin order engine-3 LoadModel --model pedal-model --version 7
KIND is LoadModel, LoadAdapter, LoadVersion or ChangeRole. The host gives it
under a lease, so that two operators cannot interleave. Exit code 4 if its effect
is unknown: repeat it with the --id that is printed, which cannot apply it twice.`
)

type orderCommand struct {
	*command `no-flag:"yes"`
	Model    string        `long:"model" description:"model to load"`
	Adapter  string        `long:"adapter" description:"adapter to load"`
	Version  string        `long:"version" description:"version to load"`
	Role     string        `long:"role" description:"role to take"`
	ID       string        `long:"id" description:"identifier of an order to repeat"`
	Time     time.Duration `long:"time" default:"15s" description:"limit of the order"`
	Args     struct {
		Endpoint string `positional-arg-name:"ENDPOINT"`
		Kind     string `positional-arg-name:"KIND"`
	} `positional-args:"yes" required:"yes"`
}

// Execute issues the order.
func (com *orderCommand) Execute([]string) error {
	if com.ID == "" {
		com.ID = uuid.NewString()
	}
	rep, err := com.newRequester().Order(com.ctx, server.OrderRequest{
		Endpoint: com.Args.Endpoint, Kind: com.Args.Kind, Model: com.Model, Adapter: com.Adapter, Version: com.Version,
		Role: com.Role, ID: com.ID, TimeMs: com.Time.Milliseconds(),
	})
	if err != nil {
		return eris.Wrapf(err, "order --id %s", com.ID)
	}
	if com.JSON {
		return com.printJSON(rep)
	}
	fmt.Fprintf(com.out, "order %s applied by %s, fencing number %s\n", rep.ID, com.Args.Endpoint, strconv.FormatUint(rep.Fence, 10))
	if !rep.ChecksFencing {
		fmt.Fprintln(com.out, "the engine is not declared to check fencing numbers: a delayed earlier order is kept out by its configuration's generation only")
	}
	return nil
}
