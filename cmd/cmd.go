// Package cmd holds the commands of the pollenlatch program.
package cmd

import (
	"fmt"
	"io"
)

// Exit codes of the program.
const (
	exitOK    = 0
	exitUsage = 2
)

// Run runs the command that args name and returns the exit code.
func Run(args []string, stdout, stderr io.Writer) int {
	if len(args) == 1 && args[0] == "version" {
		_, _ = fmt.Fprintln(stdout, "pollenlatch dev")
		return exitOK
	}
	_, _ = fmt.Fprintln(stderr, "usage: pollenlatch version")
	return exitUsage
}
