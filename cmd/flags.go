package cmd

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/template"
	"time"

	"github.com/integrii/flaggy"
)

func init() {
	// By default flaggy exits the process when arguments are wrong or help is
	// requested. Run returns an exit code instead, so parse recovers from the panic.
	flaggy.PanicInsteadOfExit = true
}

// flags declares the flags of one command.
type flags struct {
	parser      *flaggy.Parser
	help        []string
	positionals []*string
	required    int // positionals that must be given
}

// stdinFile replaces the argument "-", which flaggy would parse as a flag.
const stdinFile = "/dev/stdin"

// addHelp adds the line of a flag to the help text.
func (f *flags) addHelp(long, short, usage string) {
	name := "    --" + long
	if short != "" {
		name = "-" + short + ", --" + long
	}
	f.help = append(f.help, fmt.Sprintf("  %-16s %s", name, usage))
}

func (f *flags) stringVar(v *string, short, long, usage string) {
	f.addHelp(long, short, usage)
	f.parser.String(v, short, long, usage)
}

func (f *flags) boolVar(v *bool, short, long, usage string) {
	f.addHelp(long, short, usage)
	f.parser.Bool(v, short, long, usage)
}

func (f *flags) durationVar(v *time.Duration, long, usage string) {
	f.addHelp(long, "", usage)
	f.parser.Duration(v, "", long, usage)
}

func (f *flags) uint64Var(v *uint64, short, long, usage string) {
	f.addHelp(long, short, usage)
	f.parser.UInt64(v, short, long, usage)
}

func (f *flags) float64Var(v *float64, short, long, usage string) {
	f.addHelp(long, short, usage)
	f.parser.Float64(v, short, long, usage)
}

// positionalVar declares the next positional argument, which is required.
func (f *flags) positionalVar(v *string, name string) {
	f.optionalVar(v, name)
	f.required = len(f.positionals)
}

// optionalVar declares the next positional argument, which may be missing. Required
// ones come first.
func (f *flags) optionalVar(v *string, name string) {
	f.positionals = append(f.positionals, v)
	f.parser.AddPositionalValue(v, name, len(f.positionals), false, "")
}

// flags declares the flags of the command, and returns the function that runs it
// after they are parsed.
func (c command) flags() (f *flags, run func(*env) error) {
	p := flaggy.NewParser("pollenlatch " + c.name)
	p.ShowVersionWithVersionFlag = false
	p.ShowCompletion = false
	f = &flags{parser: p}
	return f, c.setup(f)
}

// run parses the arguments and runs the command.
func (c command) run(args []string, e *env) error {
	f, run := c.flags()
	helpRequested, err := f.parse(args)
	switch {
	case helpRequested:
		c.help(e.stdout)
		return nil
	case err != nil:
		return exitf(exitUsage, "%s: %w\nsee pollenlatch %s --help", c.name, err, c.name)
	}
	return run(e)
}

// flaggyExit is the message with which flaggy would exit the process; it is empty
// if help was requested.
type flaggyExit struct{ message string }

// parse parses arguments. It reports whether help was requested.
func (f *flags) parse(args []string) (helpRequested bool, err error) {
	var exit *flaggyExit
	funcs := template.FuncMap{"keep": func(message string) string {
		exit = &flaggyExit{message: message}
		return ""
	}}
	// flaggy renders its help to the standard error of the process. This template
	// renders nothing, but keeps the message.
	f.parser.HelpTemplate = template.Must(template.New("").Funcs(funcs).Parse("{{keep .Message}}"))
	defer func() {
		r := recover()
		if r == nil {
			return
		}
		if exit == nil {
			panic(r)
		}
		helpRequested = exit.message == ""
		if !helpRequested {
			err = usageError(strings.TrimSpace(exit.message))
		}
	}()
	args = slices.Clone(args)
	for i, a := range args {
		if a == "-" {
			args[i] = stdinFile
		}
	}
	if err := f.parser.ParseArgs(args); err != nil {
		return false, err
	}
	return false, f.fillPositionals()
}

// fillPositionals sets positional arguments that follow "--", which flaggy does not
// assign.
func (f *flags) fillPositionals() error {
	rest := f.parser.TrailingArguments
	for i, p := range f.parser.PositionalFlags {
		switch {
		case p.Found:
		case len(rest) == 0 && i < f.required:
			return usageError(p.Name + " is missing")
		case len(rest) == 0:
		default:
			*f.positionals[i], rest = rest[0], rest[1:]
		}
	}
	if len(rest) > 0 {
		return usageError("unexpected argument: " + rest[0])
	}
	return nil
}

type usageError string

func (e usageError) Error() string { return string(e) }

// help prints the summary, usage, flags and examples of the command.
func (c command) help(w io.Writer) {
	f, _ := c.flags()
	_, _ = fmt.Fprintf(w, "%s\n\nusage: pollenlatch %s [FLAGS] %s\n", c.summary, c.name, c.args)
	if len(f.help) > 0 {
		_, _ = fmt.Fprintf(w, "\nflags:\n%s\n", strings.Join(f.help, "\n"))
	}
	_, _ = fmt.Fprintf(w, "\nexamples:\n")
	for _, x := range c.examples {
		_, _ = fmt.Fprintf(w, "  pollenlatch %s\n", x)
	}
}
