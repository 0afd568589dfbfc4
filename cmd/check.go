package cmd

import (
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
		f.positional(&file, "FILE")
		f.boolean(&secrets, "", "secrets", "also read the key and token files that settings name")
		return func(e *env) error { return check(e, file, secrets) }
	},
}

// A ticket has a number at the top level, settings have none.
var isTicket = regexp.MustCompile(`(?m)^number\s*:`)

func check(e *env, file string, secrets bool) error {
	text, err := e.read(file)
	if err != nil {
		return err
	}
	if isTicket.MatchString(text) {
		return checkTicket(e, file, text)
	}
	s, err := conf.Parse(file, []byte(text))
	if err != nil {
		return err
	}
	if secrets {
		if err := readSecrets(s); err != nil {
			return err
		}
	}
	_, _ = fmt.Fprintf(e.stdout, "%s: settings of instance %s in %s are in order\n", file, s.Name, s.DC)
	return nil
}

func checkTicket(e *env, file, text string) error {
	number, spec, err := ticket.Parse(text)
	if err != nil {
		return withFile(file, err)
	}
	_, _ = fmt.Fprintf(e.stdout, "%s: ticket %d is in order: %d services, %d callers, %d voters, %d to remove\n",
		file, number, len(spec.Services), len(spec.Callers), len(spec.Voters), len(spec.Remove))
	return nil
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
