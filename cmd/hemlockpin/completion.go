package main

import (
	"fmt"
)

const (
	completionShort = "print the completion script of a shell"
	completionLong  = "Prints a script for bash, zsh or fish, for example\n  source <(hemlockpin completion bash)"

	bashCompletion = `_hemlockpin() {
    local IFS=$'\n'
    COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${COMP_WORDS[@]:1:$COMP_CWORD}"))
}
complete -o default -F _hemlockpin hemlockpin
`
	zshCompletion = `#compdef hemlockpin
_hemlockpin() {
    local -a found
    found=("${(@f)$(GO_FLAGS_COMPLETION=1 "${words[1]}" "${(@)words[2,$CURRENT]}")}")
    compadd -a found || _files
}
compdef _hemlockpin hemlockpin
`
	fishCompletion = `function __hemlockpin
    set -l words (commandline -opc) (commandline -ct)
    GO_FLAGS_COMPLETION=1 $words[1] $words[2..-1]
end
complete -c hemlockpin -a '(__hemlockpin)'
`
)

type completionCommand struct {
	*command `no-flag:"yes"`
	Args     struct {
		Shell string `positional-arg-name:"SHELL" description:"bash, zsh or fish"`
	} `positional-args:"yes" required:"yes"`
}

// Execute prints the script.
func (com *completionCommand) Execute([]string) error {
	scripts := map[string]string{"bash": bashCompletion, "zsh": zshCompletion, "fish": fishCompletion}
	script, ok := scripts[com.Args.Shell]
	if !ok {
		return usageErrorf("no completion for shell %q: use bash, zsh or fish", com.Args.Shell)
	}
	_, err := fmt.Fprint(com.out, script)
	return err
}
