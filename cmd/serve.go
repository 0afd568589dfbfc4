package cmd

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"k8s.io/klog/v2"

	"pollenlatch/admin"
	"pollenlatch/conf"
	"pollenlatch/ctrl"
	"pollenlatch/daemon"
	"pollenlatch/logs"
	"pollenlatch/store"
)

var serveCommand = command{
	name:     "serve",
	summary:  "run the process beside an endpoint, or a voter",
	examples: []string{"serve -c /etc/pollenlatch/settings.yaml"},
	setup: func(f *flags) func(*env) error {
		file := defaultSettings
		f.stringVar(&file, "c", "config", "settings file; "+defaultSettings+" if not given")
		return func(*env) error { return Serve(file) }
	},
}

var initCommand = command{
	name:     "init",
	summary:  "give a voter's data folder its identity, once",
	examples: []string{"init -c /etc/pollenlatch/settings.yaml"},
	setup: func(f *flags) func(*env) error {
		file := defaultSettings
		f.stringVar(&file, "c", "config", "settings file of the voter; "+defaultSettings+" if not given")
		return func(e *env) error {
			id, err := initDataFolder(file)
			if err != nil {
				return err
			}
			_, _ = fmt.Fprintf(e.stdout, "voter %s has incarnation %d\n", id.Name, id.Incarnation)
			return nil
		}
	},
}

// defaultSettings is the settings file that serve and init read.
const defaultSettings = "/etc/pollenlatch/settings.yaml"

// Serve runs one process with a settings file until SIGTERM or SIGINT, which shut it
// down gracefully. A second signal ends it at once. Each override is applied to the
// configuration from the settings, for example to dial through a simulated network.
func Serve(file string, overrides ...func(*daemon.Config)) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP) // its default action would end the process
	defer signal.Stop(hup)
	s, err := conf.Load(file)
	if err != nil {
		return err
	}
	if s.Adapter != "" {
		return servePlatform(file, s, hup, overrides)
	}
	cfg, err := daemonConfig(s)
	if err != nil {
		return err
	}
	for _, override := range overrides {
		override(&cfg)
	}
	d, err := daemon.New(cfg)
	if err != nil {
		return err
	}
	return runWithReload(file, s, d, hup)
}

// servePlatform runs one process that uses the adapter to the users' platform.
func servePlatform(file string, s conf.Settings, hup <-chan os.Signal, overrides []func(*daemon.Config)) error {
	defer logToStdout()()
	limitMemory(s.MemoryMB)
	cfg, port, err := platformConfig(s)
	if err != nil {
		return err
	}
	for _, override := range overrides {
		override(&cfg)
	}
	d, err := daemon.New(cfg)
	if err != nil {
		return err
	}
	connectPlatform(port, d, s)
	return runWithReload(file, s, d, hup)
}

// runWithReload runs a daemon until a signal ends the process, and meanwhile applies
// changes of its settings file.
func runWithReload(file string, s conf.Settings, d *daemon.Daemon, hup <-chan os.Signal) error {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	r := &reloader{file: file, current: s, setContacts: d.UpdateVoters}
	go r.run(ctx, hup)
	return runUntilSignal(d)
}

const (
	// gcPercent is the value of GOGC. It is below the default of 100 because
	// instances are small: a larger heap costs more than the processor time that it
	// saves.
	gcPercent = 50
	// heapShare is the share of the process's memory at which the soft memory limit
	// of the Go runtime lies. The rest is for memory that the runtime does not count.
	heapShare = 0.8
)

// limitMemory sets the garbage collector to keep the heap within the memory that the
// process may use, in MB; 0 is unknown.
func limitMemory(maxMB uint32) {
	debug.SetGCPercent(gcPercent)
	if maxMB > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(maxMB) * (1 << 20)))
	}
}

// flushTimeout is the maximum wait at exit for the reader of the log.
const flushTimeout = 200 * time.Millisecond

// logToStdout writes log lines to standard output without blocking on its reader.
// The returned function writes the lines that are still queued.
func logToStdout() (flush func()) {
	w := logs.NewWriter(os.Stdout, 0)
	klog.LogToStderr(false)
	klog.SetOutput(w)
	return func() {
		klog.Flush()
		w.Close()
		select {
		case <-w.Done():
		case <-time.After(flushTimeout):
		}
	}
}

// runUntilSignal runs a daemon until a signal ends the process.
func runUntilSignal(d *daemon.Daemon) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	context.AfterFunc(ctx, stop) // restores the default action for the second signal
	return d.Run(ctx)
}

func daemonConfig(s conf.Settings) (daemon.Config, error) {
	key, err := s.Key()
	if err != nil {
		return daemon.Config{}, err
	}
	cfg := daemon.Config{
		Name: s.Name, DC: s.DC, Group: s.Group, Key: key,
		Region: s.Region, Data: s.Voter.Data,
		Link: s.Addresses.Link, Front: s.Addresses.Front, Local: s.Addresses.Local, Admin: s.Addresses.Admin,
		MaxSessions: int(s.MaxSessions),
		Timing: ctrl.Timing{
			Lease: s.Timings.Lease, Renew: s.Timings.Renew, Heartbeat: s.Timings.Heartbeat,
			Election: s.Timings.Election, Grace: s.Timings.Grace, Drain: s.Timings.Drain,
		},
	}
	for _, t := range s.Tokens {
		secret, err := t.Secret()
		if err != nil {
			return cfg, err
		}
		cfg.Tokens = append(cfg.Tokens, admin.Token{Name: t.Name, Secret: secret, Scope: t.Scope, Services: t.Services})
	}
	cfg.Voters = contactsToMembers(s.Voters)
	if s.Voter.Data == "" {
		return cfg, nil
	}
	cfg.Voter, err = daemon.OpenVoter(s.Voter.Data, s.Name, s.Addresses.Link, cfg.Voters)
	return cfg, err
}

// initDataFolder creates the identity of the voter in its data folder.
func initDataFolder(file string) (store.Identity, error) {
	s, err := conf.Load(file)
	if err != nil {
		return store.Identity{}, err
	}
	if s.Voter.Data == "" {
		return store.Identity{}, fmt.Errorf("%s: voter.data is not set: this instance does not vote", file)
	}
	return store.Init(store.Dir(s.Voter.Data), s.Name)
}
