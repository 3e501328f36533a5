package main

import (
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/alecthomas/kong"
)

// completionCmd holds one command per supported shell.
type completionCmd struct {
	Bash completionBashCmd `cmd:"" help:"Print completion for bash. Load it with: source <(wigeonsail completion bash)."`
}

type completionBashCmd struct{}

// Run prints a bash function that completes all commands and flags.
func (completionBashCmd) Run(ctx *kong.Context) error {
	return writeBashCompletion(os.Stdout, ctx.Model.Node)
}

// bashFunction follows the typed words to the current command, whose path is the
// key into the lists of completions.
const bashFunction = `_wigeonsail() {
  local current="${COMP_WORDS[COMP_CWORD]}" path="wigeonsail " word
  for word in "${COMP_WORDS[@]:1:COMP_CWORD-1}"; do
    [[ -n "${_wigeonsail_words[$path$word ]+set}" ]] && path="$path$word "
  done
  COMPREPLY=($(compgen -W "${_wigeonsail_words[$path]}" -- "$current"))
}
complete -o default -F _wigeonsail wigeonsail
`

// writeBashCompletion writes the lists of completions and the bash function.
func writeBashCompletion(w io.Writer, root *kong.Node) error {
	var text strings.Builder
	text.WriteString("declare -A _wigeonsail_words=()\n")
	addWords(&text, root.Name+" ", root, nil)
	text.WriteString(bashFunction)
	_, err := io.WriteString(w, text.String())
	return err
}

// addWords writes the completions of a command and of all commands below it: its
// subcommands and all flags that are valid there.
func addWords(text *strings.Builder, path string, node *kong.Node, inherited []string) {
	flags := inherited[:len(inherited):len(inherited)]
	for _, flag := range node.Flags {
		if !flag.Hidden {
			flags = append(flags, "--"+flag.Name)
		}
	}
	var words []string
	for _, child := range node.Children {
		if !child.Hidden {
			words = append(words, child.Name)
		}
	}
	words = append(words, flags...)
	fmt.Fprintf(text, "_wigeonsail_words[%q]=%q\n", path, strings.Join(words, " "))
	for _, child := range node.Children {
		addWords(text, path+child.Name+" ", child, flags)
	}
}
