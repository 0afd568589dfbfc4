package script

import (
	"context"
	"flag"
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"pollenlatch"
	"pollenlatch/cmd"
	"pollenlatch/daemon"
	"pollenlatch/sample"
)

// networkEnv is the environment variable with the address of the Network.
const networkEnv = "POLLENLATCH_SCRIPT_NETWORK"

// RunPollenlatch is the main function of the program pollenlatch for scenarios. Its
// serve command dials through the Network and uses a disk with injected faults. It
// returns the exit code.
func RunPollenlatch() int {
	args, network := os.Args[1:], os.Getenv(networkEnv)
	if len(args) != 3 || args[0] != "serve" || args[1] != "-c" || network == "" {
		return cmd.Run(args, os.Stdout, os.Stderr)
	}
	err := cmd.Serve(args[2], func(c *daemon.Config) {
		c.Dial = DialThrough(network, c.Name)
		if c.Voter != nil {
			c.Voter.Disk = &faultyDisk{Disk: c.Voter.Disk, name: c.Name}
		}
	})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}

// RunEndpoint is the main function of the program endpoint, a sample endpoint server
// that appends each run to a file before the run begins. It returns the exit code.
func RunEndpoint() int {
	var (
		cfg              sample.Config
		listen, runsFile string
		unfenced         bool
	)
	fs := flag.NewFlagSet("endpoint", flag.ExitOnError)
	fs.StringVar(&listen, "listen", "", "address for requests")
	fs.StringVar(&cfg.Daemon, "daemon", "", "local address of the daemon")
	fs.StringVar(&cfg.Endpoint.Service, "service", "", "service")
	fs.StringVar(&runsFile, "record", "", "file for the runs")
	fs.DurationVar(&cfg.ServiceTime, "time", time.Millisecond, "run time of a request")
	fs.BoolVar(&unfenced, "unfenced", false, "do not check fences")
	_ = fs.Parse(os.Args[1:])
	cfg.Endpoint.Fenced = !unfenced
	if err := serveEndpoint(cfg, listen, runsFile); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}

func serveEndpoint(cfg sample.Config, listen, runsFile string) error {
	f, err := os.OpenFile(runsFile, os.O_WRONLY|os.O_APPEND|os.O_CREATE, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	cfg.Ledger = &sample.Ledger{OnStart: func(r sample.Run) {
		_, _ = f.WriteString(formatRun(r))
	}}
	s, err := sample.New(cfg)
	if err != nil {
		return err
	}
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	context.AfterFunc(ctx, func() { _ = s.Close() })
	drain := make(chan os.Signal, 1)
	signal.Notify(drain, syscall.SIGUSR1)
	go func() {
		<-drain
		// The server keeps running while it drains, so that the file of runs shows
		// any requests that it still receives.
		_ = s.Drain(ctx, time.Hour)
	}()
	return s.Serve(ln)
}

// formatRun encodes a run as one line. It is written with a single write, so that
// lines of concurrent runs are not interleaved.
func formatRun(r sample.Run) string {
	return fmt.Sprintf("%d %d %d %d %q %q\n", r.Start.UnixNano(), r.Server, r.Fence, r.Shard.Range, r.Shard.Key, r.ID)
}

// parseRun decodes a line of formatRun.
func parseRun(line string) (r sample.Run, err error) {
	var start int64
	var fence uint64
	_, err = fmt.Sscanf(line, "%d %d %d %d %q %q", &start, &r.Server, &fence, &r.Shard.Range, &r.Shard.Key, &r.ID)
	r.Start, r.Fence = time.Unix(0, start), pollenlatch.Fence(fence)
	return r, err
}
