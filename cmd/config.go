package cmd

import (
	"fmt"

	"pollenlatch"
	"pollenlatch/lint"
	"pollenlatch/platform/wire"
	"pollenlatch/state"
)

// maxCheckedFiles is the maximum number of files of one check-config: the parser of
// the command line needs the number of positional arguments beforehand.
const maxCheckedFiles = 16

var checkConfigCommand = command{
	name:    "check-config",
	args:    "FILE...",
	summary: "check changes of the configuration without sending them",
	examples: []string{
		"check-config change.json",
		"check-config --current config.json first.json second.json",
	},
	setup: func(f *flags) func(*env) error {
		var files [maxCheckedFiles]string
		var current string
		f.positionalVar(&files[0], "FILE")
		for n := range files[1:] {
			f.optionalVar(&files[n+1], fmt.Sprintf("FILE%d", n+2))
		}
		f.stringVar(&current, "", "current", "file with the configuration in force; also prints what changes")
		return func(e *env) error {
			before, err := e.readCurrent(current)
			if err != nil {
				return err
			}
			refused, warnings := 0, 0
			for _, file := range files {
				if file == "" {
					break
				}
				text, err := e.readFile(file)
				if err != nil {
					return err
				}
				r := checkChange(before, current != "", []byte(text))
				e.writeFindings(file, &r, current != "")
				before = r.Next
				warnings += r.Count(lint.SeverityWarning)
				if r.Count(lint.SeverityError) > 0 {
					refused++
				}
			}
			switch {
			case refused > 0 && current == "":
				return exitf(exitFailed, "changes that the group would refuse: %d, on top of an empty configuration; name the one in force with --current", refused)
			case refused > 0:
				return exitf(exitFailed, "changes that the group would refuse: %d", refused)
			case warnings > 0:
				return exitf(exitWarnings, "no errors, warnings: %d", warnings)
			}
			return nil
		}
	},
}

// readCurrent returns a state with the configuration of a file, or an empty one if
// file is empty.
func (e *env) readCurrent(file string) (*state.State, error) {
	s := new(state.State)
	if file == "" {
		return s, nil
	}
	text, err := e.readFile(file)
	if err != nil {
		return nil, err
	}
	items, err := wire.DecodeItems([]byte(text))
	if err != nil {
		return nil, exitf(exitUsage, "%s: %w", file, err)
	}
	next, res := s.Apply(1, &pollenlatch.Command{Change: &pollenlatch.ConfigChange{Items: items}})
	if !res.Verdict.Accepted {
		return nil, exitf(exitUsage, "%s: not a configuration in force: %s", file, joinFaults(res.Verdict.Faults))
	}
	return next, nil
}

func checkChange(before *state.State, known bool, text []byte) lint.Result {
	items, err := wire.DecodeChange(text)
	if err != nil {
		return lint.Undecodable(before, err)
	}
	return lint.Check(before, known, items)
}

func (e *env) writeFindings(file string, r *lint.Result, differences bool) {
	for _, f := range r.Findings {
		_, _ = fmt.Fprintf(e.stdout, "%s: %s\n", file, f)
	}
	if differences {
		for _, d := range r.Differences {
			_, _ = fmt.Fprintf(e.stdout, "%s: %s\n", file, d)
		}
	}
	_, _ = fmt.Fprintf(e.stdout, "%s: errors %d, warnings %d, notes %d\n", file,
		r.Count(lint.SeverityError), r.Count(lint.SeverityWarning), r.Count(lint.SeverityNote))
}
