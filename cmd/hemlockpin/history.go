package main

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"hemlockpin/operator/requester"
	"hemlockpin/version/parser"

	"github.com/rotisserie/eris"
)

const (
	historyShort  = "list the accepted revisions of the tables"
	historyLong   = "Lists the accepted revisions that are kept, the newest first."
	rollbackShort = "put an earlier revision in force again"
	rollbackLong  = "Makes a new edit with the content of an earlier revision. Revisions never go back: the content gets the next number."
)

type historyCommand struct {
	*command `no-flag:"yes"`
}

// Execute lists the revisions.
func (com *historyCommand) Execute([]string) error {
	his, err := com.newRequester().History(com.ctx)
	if err != nil {
		return historyError(err, "the history")
	}
	if com.JSON {
		return com.printJSON(his)
	}
	rows := make([][]string, 0, len(his.Edits))
	for _, edi := range his.Edits {
		rows = append(rows, []string{strconv.FormatUint(edi.Revision, 10), edi.At.UTC().Format(time.RFC3339), orDash(edi.Nonce)})
	}
	if err := com.printTable([]string{"REVISION", "ACCEPTED", "EDIT"}, rows); err != nil {
		return err
	}
	fmt.Fprintf(com.out, "revision %d is in force; revisions from %d on can be read\n", his.Newest, his.Oldest)
	return nil
}

type rollbackCommand struct {
	*command `no-flag:"yes"`
	editOptions
	Args struct {
		Revision uint64 `positional-arg-name:"REVISION"`
	} `positional-args:"yes" required:"yes"`
}

// Execute makes a new edit with the entries of the earlier revision.
func (com *rollbackCommand) Execute([]string) error {
	earlier, err := com.newRequester().Revision(com.ctx, com.Args.Revision)
	if err != nil {
		return historyError(err, "revision "+strconv.FormatUint(com.Args.Revision, 10))
	}
	return com.edit(com.editOptions, func(cur parser.Tables) (parser.Tables, error) {
		return combine(cur, earlier, true), nil
	})
}

// historyError explains a 404 answer: the host does not have the requested revision or
// history. Other errors are returned as they are.
func historyError(err error, subject string) error {
	var sta *requester.StatusError
	if errors.As(err, &sta) && sta.Status == http.StatusNotFound {
		return eris.Wrapf(err, "host %s does not have %s: it is not kept any more, or the host's build keeps no history", sta.Host, subject)
	}
	return err
}
