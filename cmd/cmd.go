// Package cmd implements the commands of the pollenlatch program.
package cmd

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/samber/oops"
)

// Exit codes of the program.
const (
	exitOK        = 0
	exitFailed    = 1 // the command failed, or the instance refused it
	exitUsage     = 2
	exitRetry     = 3 // no response, or no decision in time: the same command may be run again
	exitForbidden = 4 // the token is invalid, or does not allow the operation
	exitWarnings  = 5 // a check found warnings and no errors; 3 would make scripts run it again
)

// exitError is an error with the exit code that it leads to.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }
func (e *exitError) Unwrap() error { return e.err }

func exitf(code int, format string, args ...any) error {
	return &exitError{code: code, err: fmt.Errorf(format, args...)}
}

// env is the environment that a command runs in.
type env struct {
	stdin         io.Reader
	stdout        io.Writer
	stderr        io.Writer
	getenv        func(string) string
	retryInterval time.Duration // time before a retry of a request that may succeed later
}

// defaultRetryInterval lets an election finish between two attempts.
const defaultRetryInterval = 250 * time.Millisecond

// command is one command of the program.
type command struct {
	name     string // such as "ticket apply"
	args     string // positional arguments, for the help text
	summary  string
	examples []string
	// setup declares the flags and returns the function to run after they are parsed.
	setup func(f *flags) func(e *env) error
}

var commands = []command{
	checkCommand,
	checkConfigCommand,
	explainCommand,
	applyCommand,
	showCommand,
	listCommand,
	diffCommand,
	statusCommand,
	ownerCommand,
	drainCommand,
	evacuateCommand,
	burnCommand,
	serveCommand,
	initCommand,
	demoCommand,
	loadCommand,
	benchCommand,
	trialCommand,
	scaleCommand,
	versionCommand,
}

// Run runs the command that args name and returns the exit code.
func Run(args []string, stdout, stderr io.Writer) int {
	return run(args, &env{stdin: os.Stdin, stdout: stdout, stderr: stderr, getenv: os.Getenv, retryInterval: defaultRetryInterval})
}

func run(args []string, e *env) int {
	if len(args) == 0 {
		printCommands(e.stderr, "")
		return exitUsage
	}
	switch args[0] {
	case "help", "-h", "--help":
		if c, _, ok := findCommand(args[1:]); ok {
			c.help(e.stdout)
			return exitOK
		}
		printCommands(e.stdout, strings.Join(args[1:], " "))
		return exitOK
	case "--version":
		args[0] = "version"
	}
	c, rest, ok := findCommand(args)
	if !ok {
		return e.unknownCommand(args)
	}
	if err := c.run(rest, e); err != nil {
		return e.reportError(err)
	}
	return exitOK
}

// findCommand returns the command that args begin with and the remaining arguments.
func findCommand(args []string) (c command, rest []string, ok bool) {
	for _, c := range commands {
		words := strings.Fields(c.name)
		if len(args) >= len(words) && strings.Join(args[:len(words)], " ") == c.name {
			return c, args[len(words):], true
		}
	}
	return command{}, nil, false
}

// unknownCommand handles arguments that name no command, or only a group of
// commands, and returns the exit code.
func (e *env) unknownCommand(args []string) int {
	for _, c := range commands {
		if strings.HasPrefix(c.name, args[0]+" ") {
			help := len(args) > 1 && (args[1] == "-h" || args[1] == "--help")
			if help {
				printCommands(e.stdout, args[0])
				return exitOK
			}
			printCommands(e.stderr, args[0])
			return exitUsage
		}
	}
	_, _ = fmt.Fprintf(e.stderr, "pollenlatch: there is no command %q\n\n", args[0])
	printCommands(e.stderr, "")
	return exitUsage
}

// reportError prints an error and returns the exit code.
func (e *env) reportError(err error) int {
	var exitErr *exitError
	if !errors.As(err, &exitErr) {
		exitErr = &exitError{code: exitFailed, err: err}
	}
	_, _ = fmt.Fprintf(e.stderr, "pollenlatch: %s\n", strings.ReplaceAll(err.Error(), "\n", "\n  "))
	if o, ok := oops.AsOops(err); ok && o.Hint() != "" {
		_, _ = fmt.Fprintf(e.stderr, "  %s\n", o.Hint())
	}
	return exitErr.code
}

// printCommands lists the commands of a group, or all commands if group is empty.
func printCommands(w io.Writer, group string) {
	_, _ = fmt.Fprintf(w, "usage: pollenlatch COMMAND [ARGUMENTS]\n\ncommands:\n")
	for _, c := range commands {
		if group == "" || strings.HasPrefix(c.name, group) {
			_, _ = fmt.Fprintf(w, "  %-14s %s\n", c.name, c.summary)
		}
	}
	_, _ = fmt.Fprintf(w, "\nexit codes: 0 done, 1 refused or failed, 2 wrong usage, 3 no answer (run it again), 4 not allowed, 5 warnings\n")
	_, _ = fmt.Fprintf(w, "pollenlatch COMMAND --help tells more of one command\n")
}
