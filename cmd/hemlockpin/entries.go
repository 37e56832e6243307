package main

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"hemlockpin/operator/editor"
	"hemlockpin/version/parser"

	"github.com/jessevdk/go-flags"
)

const (
	listLong     = "Lists the entries of the table."
	getEntryLong = "Prints one entry as JSON."
	setLong      = "Changes fields of one entry, for example\n  hemlockpin routes set questions TimeLimit=5s Match.MaxPromptTokens=8000\nor, without FIELD=VALUE, adds or replaces the entry by JSON from --file."
	removeLong   = "Removes one entry. The edit is rejected if another entry refers to it."
)

// addTableCommands adds the commands routes, pools and teams with their subcommands.
func addTableCommands(par *flags.Parser, com *command) error {
	for _, kin := range []editor.Kind{editor.Routes, editor.Pools, editor.Teams} {
		name := string(kin) + "s"
		cmd, err := par.AddCommand(name, "list and edit "+name, "Lists and edits "+name+".", &struct{}{})
		if err != nil {
			return err
		}
		subs := []subcommand{
			{"list", "list " + name, listLong, &listCommand{command: com, kind: kin}},
			{"get", "print one " + string(kin), getEntryLong, &getEntryCommand{command: com, kind: kin}},
			{"set", "change or add one " + string(kin), setLong, &setCommand{command: com, kind: kin}},
			{"remove", "remove one " + string(kin), removeLong, &removeCommand{command: com, kind: kin}},
		}
		for _, sub := range subs {
			if _, err := cmd.AddCommand(sub.name, sub.short, sub.long, sub.data); err != nil {
				return err
			}
		}
	}
	return nil
}

type listCommand struct {
	*command `no-flag:"yes"`
	kind     editor.Kind
}

// Execute lists the entries.
func (com *listCommand) Execute([]string) error {
	tab, err := com.newRequester().Tables(com.ctx)
	if err != nil {
		return err
	}
	if com.JSON {
		return com.printJSON(editor.Entries(tab, com.kind))
	}
	heads, rows := columns(editor.Entries(tab, com.kind))
	return com.printTable(heads, rows)
}

// columns returns the headings and rows for a list of entries.
func columns(ents any) (heads []string, rows [][]string) {
	switch ents := ents.(type) {
	case []parser.Route:
		for _, rou := range ents {
			rows = append(rows, routeRow(rou))
		}
		return []string{"ROUTE", "MODEL", "TEAM", "PATH", "PROMPT TOKENS", "POOL", "TIME LIMIT", "PRIORITY", "REPEATABLE"}, rows
	case []parser.Pool:
		for _, poo := range ents {
			rows = append(rows, []string{poo.Name, string(poo.Kind), poo.Selector.Service, orDash(strings.Join(poo.Selector.DataCenters, ",")),
				formatLimit(poo.MaxOutstanding), formatLimit(poo.MaxWaiting), strconv.FormatBool(poo.ChecksFencing)})
		}
		return []string{"POOL", "KIND", "SERVICE", "DATA CENTRES", "MAX OUTSTANDING", "MAX WAITING", "CHECKS FENCING"}, rows
	case []parser.Team:
		for _, tea := range ents {
			rate := "-"
			if tea.TokensPerSecond > 0 {
				rate = fmt.Sprintf("%g", tea.TokensPerSecond)
			}
			rows = append(rows, []string{tea.Name, strconv.Itoa(len(tea.KeyDigests)), fmt.Sprintf("%g", tea.Share), rate})
		}
		return []string{"TEAM", "KEYS", "SHARE", "TOKENS/S"}, rows
	default:
		return nil, nil
	}
}

func routeRow(rou parser.Route) []string {
	tokenRange := "-"
	switch {
	case rou.Match.MaxPromptTokens > 0:
		tokenRange = fmt.Sprintf("%d to %d", rou.Match.MinPromptTokens, rou.Match.MaxPromptTokens)
	case rou.Match.MinPromptTokens > 0:
		tokenRange = fmt.Sprintf("from %d", rou.Match.MinPromptTokens)
	}
	return []string{rou.Name, orDash(rou.Match.Model), orDash(rou.Match.Team), orDash(rou.Match.PathPrefix), tokenRange, rou.Pool,
		time.Duration(rou.TimeLimit).String(), strconv.Itoa(rou.Priority), strconv.FormatBool(rou.Repeatable)}
}

func formatLimit(n int) string {
	if n == 0 {
		return "-"
	}
	return strconv.Itoa(n)
}

type nameArgument struct {
	Name string `positional-arg-name:"NAME"`
}

type getEntryCommand struct {
	*command `no-flag:"yes"`
	kind     editor.Kind
	Args     nameArgument `positional-args:"yes" required:"yes"`
}

// Execute prints the entry.
func (com *getEntryCommand) Execute([]string) error {
	tab, err := com.newRequester().Tables(com.ctx)
	if err != nil {
		return err
	}
	ent, err := editor.Find(tab, com.kind, com.Args.Name)
	if err != nil {
		return err
	}
	return com.printJSON(ent)
}

type setCommand struct {
	*command `no-flag:"yes"`
	editOptions
	kind editor.Kind
	File string `long:"file" description:"JSON of the whole entry; - for standard input"`
	Args struct {
		Name   string   `positional-arg-name:"NAME" required:"yes"`
		Fields []string `positional-arg-name:"FIELD=VALUE"`
	} `positional-args:"yes"`
}

// Execute changes the entry.
func (com *setCommand) Execute([]string) error {
	if (com.File == "") == (len(com.Args.Fields) == 0) {
		return usageErrorf("set needs either FIELD=VALUE or --file")
	}
	if com.File == "" {
		return com.edit(com.editOptions, func(tab parser.Tables) (parser.Tables, error) {
			out, err := editor.Set(tab, com.kind, com.Args.Name, com.Args.Fields)
			return out, asUsageError(err)
		})
	}
	doc, err := com.readFile(com.File)
	if err != nil {
		return err
	}
	part, err := editor.Put(parser.Tables{}, com.kind, doc)
	if err != nil {
		return asUsageError(err)
	}
	if names := editor.Names(part, com.kind); names[0] != com.Args.Name {
		return usageErrorf("the entry in %s is named %q, not %q", com.File, names[0], com.Args.Name)
	}
	return com.edit(com.editOptions, func(tab parser.Tables) (parser.Tables, error) {
		return editor.Merge(tab, part), nil
	})
}

// asUsageError wraps a non-nil error in a usageError.
func asUsageError(err error) error {
	if err == nil {
		return nil
	}
	return &usageError{err}
}

type removeCommand struct {
	*command `no-flag:"yes"`
	editOptions
	kind editor.Kind
	Args nameArgument `positional-args:"yes" required:"yes"`
}

// Execute removes the entry.
func (com *removeCommand) Execute([]string) error {
	return com.edit(com.editOptions, func(tab parser.Tables) (parser.Tables, error) {
		out, err := editor.Remove(tab, com.kind, com.Args.Name)
		return out, asUsageError(err)
	})
}
