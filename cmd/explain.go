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
	name:    "explain",
	args:    "ID LOGS",
	summary: "print the path of one request through the logs of several processes",
	examples: []string{
		"explain 7e484ef31174a601 logs/",
		"explain 7e484ef31174a601 - < all.log",
	},
	setup: func(f *flags) func(*env) error {
		var id, logs string
		f.positionalVar(&id, "ID")
		f.positionalVar(&logs, "LOGS")
		return func(e *env) error {
			tr := &trace.RequestTrace{ID: id}
			if err := e.readLogs(tr, logs); err != nil {
				return err
			}
			if len(tr.Steps()) == 0 {
				return exitf(exitFailed, "no log line mentions request %s; %d lines were not structured. A process limits its log rate and counts the dropped lines in the field suppressed", id, tr.Unstructured)
			}
			return tr.Write(e.stdout)
		}
	},
}

// readLogs reads a file, standard input, or every file in a folder.
func (e *env) readLogs(tr *trace.RequestTrace, path string) error {
	if path == stdinFile {
		return tr.Read("stdin", e.stdin)
	}
	files := []string{path}
	if info, err := os.Stat(path); err == nil && info.IsDir() {
		if files, err = filepath.Glob(filepath.Join(path, "*")); err != nil {
			return fmt.Errorf("logs: %w", err)
		}
	}
	var errs []error
	for _, name := range files {
		errs = append(errs, readLog(tr, name))
	}
	return errors.Join(errs...)
}

func readLog(tr *trace.RequestTrace, name string) (err error) {
	f, err := os.Open(name)
	if err != nil {
		return exitf(exitUsage, "logs: %w", err)
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	base := filepath.Base(name)
	return tr.Read(strings.TrimSuffix(base, filepath.Ext(base)), f)
}
