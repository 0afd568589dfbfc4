package cmd

import (
	"context"
	"os/signal"
	"slices"
	"strings"
	"syscall"

	"pollenlatch/scale"
)

var scaleCommand = command{
	name:     "scale",
	summary:  "measure how costs grow with the size of a deployment",
	examples: []string{"scale --seed 1", "scale --parts renew,loss -o json"},
	setup: func(f *flags) func(*env) error {
		seed, names, output := uint64(1), "", outputTable
		f.uint64Var(&seed, "", "seed", "of names, placement and elections; 1 if not given")
		f.stringVar(&names, "", "parts", "parts to measure, separated by commas: "+strings.Join(scale.PartNames(), ", "))
		f.stringVar(&output, "o", "output", "table or json")
		return func(e *env) error {
			if !slices.Contains([]string{outputTable, outputJSON}, output) {
				return exitf(exitUsage, "--output %s is neither %s nor %s", output, outputTable, outputJSON)
			}
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			cfg := scale.Config{Seed: seed}
			if names != "" {
				cfg.Parts = strings.Split(names, ",")
			}
			if err := cfg.Check(); err != nil {
				return &exitError{code: exitUsage, err: err}
			}
			r, err := scale.Run(ctx, cfg)
			switch {
			case err != nil:
				return err
			case output == outputJSON:
				return r.WriteJSON(e.stdout)
			}
			return r.WriteTable(e.stdout)
		}
	},
}
