package main

import (
	"errors"
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
	ents, err := com.requester().History(com.ctx)
	if err != nil {
		return historyError(err, "the history")
	}
	if com.JSON {
		return com.printJSON(ents)
	}
	rows := make([][]string, 0, len(ents))
	for _, ent := range ents {
		whe := "-"
		if !ent.Time.IsZero() {
			whe = ent.Time.Format(time.RFC3339)
		}
		rows = append(rows, []string{strconv.FormatUint(ent.Revision, 10), whe, orDash(ent.Nonce)})
	}
	return com.printTable([]string{"REVISION", "ACCEPTED", "EDIT"}, rows)
}

type rollbackCommand struct {
	*command `no-flag:"yes"`
	editOptions
	Args struct {
		Revision uint64 `positional-arg-name:"REVISION"`
	} `positional-args:"yes" required:"yes"`
}

// Execute makes the edit.
func (com *rollbackCommand) Execute([]string) error {
	old, err := com.requester().Revision(com.ctx, com.Args.Revision)
	if err != nil {
		return historyError(err, "revision "+strconv.FormatUint(com.Args.Revision, 10))
	}
	return com.edit(com.editOptions, func(cur parser.Tables) (parser.Tables, error) {
		return combine(cur, old, true), nil
	})
}

// historyError explains the answer of a host without the wanted history.
func historyError(err error, what string) error {
	var ans *requester.AnswerError
	if errors.As(err, &ans) && ans.Status == http.StatusNotFound {
		return eris.Wrapf(err, "host %s does not have %s: it is not kept any more, or the host's build keeps no history", ans.Host, what)
	}
	return err
}
