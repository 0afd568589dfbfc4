package cmd

import (
	"context"
	"os/signal"
	"syscall"
	"time"

	"pollenlatch/bench"
)

const defaultBenchDuration = 6 * time.Second

var benchCommand = command{
	name:     "bench",
	args:     "SHAPE",
	summary:  "run traffic experiments on a deployment in this process: board or cratehaul",
	examples: []string{"bench board", "bench --duration 10s --seed 2 cratehaul"},
	setup: func(f *flags) func(*env) error {
		var shape, only string
		var attempts, losses uint64
		seed, duration := uint64(1), defaultBenchDuration
		f.positionalVar(&shape, "SHAPE")
		f.uint64Var(&seed, "", "seed", "of arrivals, keys and service times; 1 if not given")
		f.durationVar(&duration, "duration", "length of each run; 6s if not given")
		f.uint64Var(&attempts, "", "attempts", "of a caller; 4 if not given")
		f.uint64Var(&losses, "", "losses", "instead, lose so many instances and measure the recovery")
		f.stringVar(&only, "", "only", "part of the names of the experiments to run")
		return func(e *env) error {
			for _, s := range bench.Shapes {
				if s.Name != shape {
					continue
				}
				discardLogs()
				ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
				defer stop()
				cfg := bench.Config{
					Shape: s, Loads: bench.DefaultLoads, Duration: duration, Seed: seed, Attempts: int(attempts), Only: only,
				}
				if losses > 0 {
					return bench.RunLosses(ctx, e.stdout, cfg, int(losses))
				}
				return bench.Run(ctx, e.stdout, cfg)
			}
			return exitf(exitUsage, "there is no shape %q; give board or cratehaul", shape)
		}
	},
}
