package cmd

import (
	"encoding/json"
	"errors"
	"fmt"
	"regexp"
	"strings"

	"pollenlatch/conf"
	"pollenlatch/field"
	"pollenlatch/ticket"
)

var checkCommand = command{
	name:  "check",
	args:  "FILE",
	about: "check a ticket or a settings file without sending it",
	examples: []string{
		"check examples/board/ticket.yaml",
		"check --secrets /etc/pollenlatch/settings.yaml",
	},
	setup: func(f *flags) func(*env) error {
		var file string
		var secrets bool
		output := outputTable
		f.positional(&file, "FILE")
		f.boolean(&secrets, "", "secrets", "also read the key and token files that settings name")
		f.text(&output, "o", "output", "table or json")
		return func(e *env) error {
			if output != outputTable && output != outputJSON {
				return exitf(exitUsage, "--output %s is neither %s nor %s", output, outputTable, outputJSON)
			}
			text, err := e.read(file)
			if err != nil {
				return err
			}
			kind, summary, err := check(file, text, secrets)
			if output == outputJSON {
				e.writeCheck(file, kind, err)
			} else if err == nil {
				_, _ = fmt.Fprintf(e.stdout, "%s: %s\n", file, summary)
			}
			return err
		}
	},
}

// A ticket has a number at the top level, settings have none.
var isTicket = regexp.MustCompile(`(?m)^number\s*:`)

// check checks a document and returns what it is and a summary.
func check(file, text string, secrets bool) (kind, summary string, err error) {
	if isTicket.MatchString(text) {
		number, spec, err := ticket.Parse(text)
		if err != nil {
			return "ticket", "", withFile(file, err)
		}
		return "ticket", fmt.Sprintf("ticket %d is in order: %d services, %d callers, %d voters, %d to remove",
			number, len(spec.Services), len(spec.Callers), len(spec.Voters), len(spec.Remove)), nil
	}
	s, err := conf.Parse(file, []byte(text))
	if err == nil && secrets {
		err = readSecrets(s)
	}
	return "settings", fmt.Sprintf("settings of instance %s in %s are in order", s.Name, s.DC), err
}

// writeCheck prints the result of a check as JSON.
func (e *env) writeCheck(file, kind string, err error) {
	out := struct {
		File   string        `json:"file"`
		Kind   string        `json:"kind"`
		OK     bool          `json:"ok"`
		Faults []field.Fault `json:"faults"`
	}{File: file, Kind: kind, OK: err == nil, Faults: []field.Fault{}}
	var fe *field.Error
	switch {
	case errors.As(err, &fe):
		out.Faults = fe.Faults
	case err != nil:
		out.Faults = append(out.Faults, field.Fault{File: file, Text: err.Error()})
	}
	enc := json.NewEncoder(e.stdout)
	enc.SetIndent("", "  ")
	_ = enc.Encode(out)
}

// withFile names the file in the faults of a document.
func withFile(file string, err error) error {
	var e *field.Error
	if !errors.As(err, &e) {
		return fmt.Errorf("%s: %w", file, err)
	}
	named := &field.Error{}
	for _, f := range e.Faults {
		f.File = file
		named.Faults = append(named.Faults, f)
	}
	return named
}

func readSecrets(s conf.Settings) error {
	_, err := s.Key()
	errs := []error{err}
	for _, t := range s.Tokens {
		_, err := t.Secret()
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}

// document reads a ticket file and checks it, so that most mistakes are found
// with the file's name and before anything is sent.
func (e *env) document(file string) (string, error) {
	text, err := e.read(file)
	if err != nil {
		return "", err
	}
	if _, _, err := ticket.Parse(text); err != nil {
		return "", withFile(file, err)
	}
	return text, nil
}

func faultLines(faults []string) string { return strings.Join(faults, "\n") }
