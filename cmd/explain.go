package cmd

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"pollenlatch/trace"
)

var explainCommand = command{
	name:  "explain",
	args:  "ID LOGS",
	about: "print the path of one request through the logs of several processes",
	examples: []string{
		"explain 7e484ef31174a601 logs/",
		"explain 7e484ef31174a601 - < all.log",
	},
	setup: func(f *flags) func(*env) error {
		var id, logs string
		f.positional(&id, "ID")
		f.positional(&logs, "LOGS")
		return func(e *env) error {
			l := &trace.RequestTrace{ID: id}
			if err := e.readLogs(l, logs); err != nil {
				return err
			}
			if len(l.Steps()) == 0 {
				return exitf(exitFailed, "no line tells of request %s; %d lines were not structured. Lines beyond the rate of a process are counted in the field suppressed", id, l.Unstructured)
			}
			return l.Write(e.stdout)
		}
	},
}

// readLogs reads a file, standard input, or every file of a folder.
func (e *env) readLogs(l *trace.RequestTrace, path string) error {
	if path == stdinFile {
		return l.Read("stdin", e.stdin)
	}
	files := []string{path}
	if info, err := os.Stat(path); err == nil && info.IsDir() {
		if files, err = filepath.Glob(filepath.Join(path, "*")); err != nil {
			return fmt.Errorf("logs: %w", err)
		}
	}
	var errs []error
	for _, name := range files {
		errs = append(errs, readLog(l, name))
	}
	return errors.Join(errs...)
}

func readLog(l *trace.RequestTrace, name string) (err error) {
	f, err := os.Open(name)
	if err != nil {
		return exitf(exitUsage, "logs: %w", err)
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	base := filepath.Base(name)
	return l.Read(strings.TrimSuffix(base, filepath.Ext(base)), f)
}
