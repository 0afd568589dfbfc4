package cmd

import (
	"encoding/json"
	"errors"
	"fmt"
	"regexp"
	"strings"

	"pollenlatch/conf"
	"pollenlatch/ticket"
	"pollenlatch/yamlx"
)

var checkCommand = command{
	name:    "check",
	args:    "FILE",
	summary: "check a ticket or a settings file without sending it",
	examples: []string{
		"check examples/board/ticket.yaml",
		"check --secrets /etc/pollenlatch/settings.yaml",
	},
	setup: func(f *flags) func(*env) error {
		var file string
		var secrets bool
		output := outputTable
		f.positionalVar(&file, "FILE")
		f.boolVar(&secrets, "", "secrets", "also read the key and token files that settings name")
		f.stringVar(&output, "o", "output", "table or json")
		return func(e *env) error {
			if output != outputTable && output != outputJSON {
				return exitf(exitUsage, "--output %s is neither %s nor %s", output, outputTable, outputJSON)
			}
			text, err := e.readFile(file)
			if err != nil {
				return err
			}
			kind, summary, err := checkDocument(file, text, secrets)
			if output == outputJSON {
				e.writeCheckJSON(file, kind, err)
			} else if err == nil {
				_, _ = fmt.Fprintf(e.stdout, "%s: %s\n", file, summary)
			}
			return err
		}
	},
}

// ticketPattern matches tickets, which have a number at the top level; settings have
// none.
var ticketPattern = regexp.MustCompile(`(?m)^number\s*:`)

// checkDocument checks a ticket or settings file, and returns its kind and a
// summary.
func checkDocument(file, text string, secrets bool) (kind, summary string, err error) {
	if ticketPattern.MatchString(text) {
		number, spec, err := ticket.Parse(text)
		if err != nil {
			return "ticket", "", addFileName(file, err)
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

// writeCheckJSON prints the result of a check as JSON.
func (e *env) writeCheckJSON(file, kind string, err error) {
	out := struct {
		File   string        `json:"file"`
		Kind   string        `json:"kind"`
		OK     bool          `json:"ok"`
		Faults []yamlx.Fault `json:"faults"`
	}{File: file, Kind: kind, OK: err == nil, Faults: []yamlx.Fault{}}
	var fe *yamlx.Error
	switch {
	case errors.As(err, &fe):
		out.Faults = fe.Faults
	case err != nil:
		out.Faults = append(out.Faults, yamlx.Fault{File: file, Text: err.Error()})
	}
	enc := json.NewEncoder(e.stdout)
	enc.SetIndent("", "  ")
	_ = enc.Encode(out)
}

// addFileName adds the file's name to the faults of a document.
func addFileName(file string, err error) error {
	var e *yamlx.Error
	if !errors.As(err, &e) {
		return fmt.Errorf("%s: %w", file, err)
	}
	named := &yamlx.Error{}
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

// readTicket reads and checks a ticket file, so that most faults are reported with
// the file's name and before anything is sent.
func (e *env) readTicket(file string) (string, error) {
	text, err := e.readFile(file)
	if err != nil {
		return "", err
	}
	if _, _, err := ticket.Parse(text); err != nil {
		return "", addFileName(file, err)
	}
	return text, nil
}

func joinFaults(faults []string) string { return strings.Join(faults, "\n") }
