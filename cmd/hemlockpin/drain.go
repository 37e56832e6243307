package main

import "fmt"

const (
	drainShort = "make a host finish its requests and stop"
	drainLong  = "Has the effect of SIGTERM on a host: it reports not ready, takes no new connections, finishes the requests in progress and stops. The order may go through any host; HOST is the name that status prints."
)

type drainCommand struct {
	*command `no-flag:"yes"`
	Args     struct {
		Host string `positional-arg-name:"HOST"`
	} `positional-args:"yes" required:"yes"`
}

// Execute sends the request to drain.
func (com *drainCommand) Execute([]string) error {
	host, err := com.newRequester().Drain(com.ctx, com.Args.Host)
	if err != nil {
		return err
	}
	if com.JSON {
		return com.printJSON(struct{ Host string }{host})
	}
	fmt.Fprintf(com.out, "host %s drains\n", host)
	return nil
}
