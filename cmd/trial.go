package cmd

import (
	"pollenlatch/trial"
)

const defaultTrialSeeds = 3

var trialCommand = command{
	name:     "trial",
	summary:  "compare the planner with other placements on seeded traces",
	examples: []string{"trial", "trial --seeds 5", "trial --dir docs"},
	setup: func(f *flags) func(*env) error {
		var dir string
		seeds := uint64(defaultTrialSeeds)
		f.uint64Var(&seeds, "", "seeds", "runs of each trace, with seeds from 1; 3 if not given")
		f.stringVar(&dir, "", "dir", "folder for the tables and the plot; they are only printed if not given")
		return func(e *env) error {
			if dir != "" {
				return trial.Report(dir, int(seeds))
			}
			return trial.WriteTables(e.stdout, trial.Run(int(seeds)))
		}
	},
}
