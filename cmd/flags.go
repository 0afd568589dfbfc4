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
	// flaggy ends the process when arguments are wrong or help is asked for.
	// Run returns an exit code instead, so parse recovers from the panic.
	flaggy.PanicInsteadOfExit = true
}

// flags declares the flags of one command.
type flags struct {
	parser      *flaggy.Parser
	help        []string
	positionals []*string
}

// stdinFile stands for "-", which flaggy takes for a flag.
const stdinFile = "/dev/stdin"

func (f *flags) note(long, short, about string) {
	name := "    --" + long
	if short != "" {
		name = "-" + short + ", --" + long
	}
	f.help = append(f.help, fmt.Sprintf("  %-16s %s", name, about))
}

func (f *flags) text(v *string, short, long, about string) {
	f.note(long, short, about)
	f.parser.String(v, short, long, about)
}

func (f *flags) boolean(v *bool, short, long, about string) {
	f.note(long, short, about)
	f.parser.Bool(v, short, long, about)
}

func (f *flags) duration(v *time.Duration, long, about string) {
	f.note(long, "", about)
	f.parser.Duration(v, "", long, about)
}

func (f *flags) uint64(v *uint64, short, long, about string) {
	f.note(long, short, about)
	f.parser.UInt64(v, short, long, about)
}

func (f *flags) number(v *float64, short, long, about string) {
	f.note(long, short, about)
	f.parser.Float64(v, short, long, about)
}

// positional declares the next positional argument, which is required.
func (f *flags) positional(v *string, name string) {
	f.positionals = append(f.positionals, v)
	f.parser.AddPositionalValue(v, name, len(f.positionals), false, "")
}

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
	helped, err := f.parse(args)
	switch {
	case helped:
		c.help(e.stdout)
		return nil
	case err != nil:
		return exitf(exitUsage, "%s: %w\nsee pollenlatch %s --help", c.name, err, c.name)
	}
	return run(e)
}

// stopped is what flaggy said when it wanted to end the process.
type stopped struct{ message string }

// parse parses arguments. It reports whether help was asked for.
func (f *flags) parse(args []string) (helped bool, err error) {
	var s *stopped
	note := template.FuncMap{"note": func(message string) string {
		s = &stopped{message: message}
		return ""
	}}
	// flaggy renders its help to the process's standard error. This template
	// renders nothing and keeps the message.
	f.parser.HelpTemplate = template.Must(template.New("").Funcs(note).Parse("{{note .Message}}"))
	defer func() {
		r := recover()
		if r == nil {
			return
		}
		if s == nil {
			panic(r)
		}
		helped = s.message == ""
		if !helped {
			err = usageError(strings.TrimSpace(s.message))
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
	return false, f.fill()
}

// fill takes positional arguments from behind "--", where flaggy leaves them.
func (f *flags) fill() error {
	rest := f.parser.TrailingArguments
	for i, p := range f.parser.PositionalFlags {
		switch {
		case p.Found:
		case len(rest) == 0:
			return usageError(p.Name + " is missing")
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

// help prints what the command does, its flags and examples.
func (c command) help(w io.Writer) {
	f, _ := c.flags()
	_, _ = fmt.Fprintf(w, "%s\n\nusage: pollenlatch %s [FLAGS] %s\n", c.about, c.name, c.args)
	if len(f.help) > 0 {
		_, _ = fmt.Fprintf(w, "\nflags:\n%s\n", strings.Join(f.help, "\n"))
	}
	_, _ = fmt.Fprintf(w, "\nexamples:\n")
	for _, x := range c.examples {
		_, _ = fmt.Fprintf(w, "  pollenlatch %s\n", x)
	}
}
