package main

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"hemlockpin/process/server"
	"hemlockpin/request/hasher"
)

const (
	explainShort = "say which way a request would take"
	explainLong  = `Says which route, pool and endpoint would take a request now on the host asked,
and for every other route and endpoint why it would not. Nothing is sent to an
endpoint. Exit code 1 if the request would be refused.`
)

type explainCommand struct {
	*command     `no-flag:"yes"`
	Team         string `long:"team" required:"yes" description:"team of the caller"`
	Model        string `long:"model" description:"model of a prompt"`
	Path         string `long:"path" description:"path of a call; that of chat completions for a prompt"`
	PromptTokens int64  `long:"prompt-tokens" description:"length of the prompt"`
	PromptFile   string `long:"prompt-file" description:"file whose text is measured in place of --prompt-tokens; - for standard input"`
	MaxTokens    int64  `long:"max-tokens" default:"256" description:"limit of the answer"`
}

// Execute prints the explanation.
func (com *explainCommand) Execute([]string) error {
	req, err := com.request()
	if err != nil {
		return err
	}
	exp, err := com.newRequester().Explain(com.ctx, req)
	if err != nil {
		return err
	}
	if com.JSON {
		err = com.printJSON(exp)
	} else {
		err = com.print(exp)
	}
	if err == nil && exp.Refused {
		return errors.New(exp.Decision)
	}
	return err
}

func (com *explainCommand) request() (server.ExplainRequest, error) {
	req := server.ExplainRequest{Team: com.Team, Model: com.Model, Path: com.Path, PromptTokens: com.PromptTokens}
	if (com.Model == "") == (com.Path == "") {
		return req, usageErrorf("explain needs either --model or --path")
	}
	if com.PromptFile != "" {
		text, err := com.readFile(com.PromptFile)
		if err != nil {
			return req, err
		}
		req.PromptTokens = hasher.Tokens(string(text))
	}
	if com.Model != "" {
		req.Path = "/v1/chat/completions"
		req.MaxTokens = com.MaxTokens
	}
	return req, nil
}

func (com *explainCommand) print(exp server.Explanation) error {
	fmt.Fprintf(com.out, "host %s, revision %d\n", exp.Host, exp.Revision)
	if exp.Route != nil {
		fmt.Fprintf(com.out, "route %s, pool %s, %s %s\n", exp.Route.Name, exp.Pool.Name, exp.Decision, exp.Endpoint)
	}
	if exp.Scheduler != "" {
		fmt.Fprintf(com.out, "cell %s, scheduled by host %s; the endpoint is what host %s would take without it\n", exp.Cell, exp.Scheduler, exp.Host)
	}
	rows := make([][]string, 0, len(exp.Candidates))
	for _, can := range exp.Candidates {
		why := strings.Join(can.Reasons, "; ")
		if can.Chosen {
			why = "takes the request"
		}
		rows = append(rows, []string{can.Route, can.Pool, why})
	}
	if err := com.printTable([]string{"ROUTE", "POOL", "WHY"}, rows); err != nil || exp.Route == nil {
		return err
	}
	rows = rows[:0]
	for _, end := range exp.Endpoints {
		why := "could take it"
		switch {
		case end.ID == exp.Endpoint:
			why = "takes it"
		case !end.Takes:
			why = strings.Join(end.Reasons, "; ")
		}
		rows = append(rows, []string{end.ID, end.DataCenter, formatTokens(end.UsedTokens, end.MemoryTokens), strconv.FormatInt(end.QueuedTokens, 10), why})
	}
	return com.printTable([]string{"ENDPOINT", "DATA CENTRE", "MEMORY TOKENS", "QUEUED TOKENS", "WHY"}, rows)
}

// formatTokens formats the used and total tokens of an endpoint's memory; it returns
// "-" if the total is 0, which means unknown.
func formatTokens(used, total int64) string {
	if total == 0 {
		return "-"
	}
	return fmt.Sprintf("%d of %d", used, total)
}
