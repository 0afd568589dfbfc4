package cmd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"pollenlatch/load"
)

// loadOptions are the values of the load command's flags.
type loadOptions struct {
	targets, service, output, csv string
	rate, keys, seed              uint64
	duration, timeout             time.Duration
	zipf, claims                  float64
	follow                        bool
}

var loadCommand = command{
	name:    "load",
	summary: "send requests at a fixed rate and report latencies and outcomes",
	examples: []string{
		"load --targets 127.0.0.1:8080,127.0.0.1:8081 --service listing --rate 500 --duration 10s",
	},
	setup: func(f *flags) func(*env) error {
		o := loadOptions{output: outputTable, rate: 100, keys: 1000, seed: 1, duration: 10 * time.Second, timeout: load.DefaultTimeout, zipf: 1, claims: 0.2}
		f.stringVar(&o.targets, "", "targets", "callers' addresses of daemons, separated by commas")
		f.stringVar(&o.service, "", "service", "service to ask")
		f.uint64Var(&o.rate, "", "rate", "requests a second; 100 if not given")
		f.durationVar(&o.duration, "duration", "length of the run; 10s if not given")
		f.durationVar(&o.timeout, "timeout", "longest time of a request; 2s if not given")
		f.uint64Var(&o.keys, "", "keys", "number of keys; 1000 if not given")
		f.float64Var(&o.zipf, "", "zipf", "exponent of the keys' popularity; 1 if not given, 0 is uniform")
		f.float64Var(&o.claims, "", "claims", "share of requests that must not run twice; 0.2 if not given")
		f.uint64Var(&o.seed, "", "seed", "of arrivals and keys; 1 if not given")
		f.boolVar(&o.follow, "", "follow", "send a key to the daemon that answered for it last")
		f.stringVar(&o.csv, "", "csv", "file for the time series")
		f.stringVar(&o.output, "o", "output", "table or json")
		return o.run
	},
}

func (o *loadOptions) run(e *env) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	r, err := load.Run(ctx, o.config())
	if err != nil && ctx.Err() == nil {
		return &exitError{code: exitUsage, err: err}
	}
	if o.csv != "" {
		if err := writeFile(o.csv, r.WriteCSV); err != nil {
			return err
		}
	}
	if o.output == outputJSON {
		return r.WriteJSON(e.stdout)
	}
	_, err = fmt.Fprint(e.stdout, r)
	return err
}

func (o *loadOptions) config() load.Config {
	cfg := load.Config{
		Service: o.service, Rate: float64(o.rate), Duration: o.duration, Keys: int(o.keys), Zipf: o.zipf,
		Seed: o.seed, Timeout: o.timeout, MaxAttempts: 4, FollowOwner: o.follow,
		Kinds: []load.Kind{{Name: "view", Caller: "load", Weight: 1 - o.claims}},
	}
	if o.targets != "" {
		cfg.Targets = strings.Split(o.targets, ",")
	}
	if o.claims > 0 {
		cfg.Kinds = append(cfg.Kinds, load.Kind{
			Name: "claim", Caller: "load", Weight: o.claims, Method: "POST", BodyBytes: claimBodyBytes, Idempotent: true,
		})
	}
	return cfg
}

// claimBodyBytes is the body size of a claim, a request that must not run twice.
const claimBodyBytes = 64

// writeFile creates a file with the content that write produces.
func writeFile(name string, write func(w io.Writer) error) (err error) {
	f, err := os.Create(name)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	return write(f)
}
