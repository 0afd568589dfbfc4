// Package fleet runs a small deployment in one process: daemons on loopback
// addresses, each with a sample server as its endpoint. The demonstration,
// benchmarks and tests use it.
package fleet

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"sync"
	"time"

	"pollenlatch"
	"pollenlatch/ctrl"
	"pollenlatch/daemon"
	"pollenlatch/sample"
	"pollenlatch/store"
)

// Instance describes one instance of the deployment.
type Instance struct {
	Name     string
	DC       string
	Endpoint pollenlatch.Endpoint // no server is started when Service is empty
	Voter    bool
}

// Config describes a deployment.
type Config struct {
	Instances   []Instance
	Dir         string        // holds the voters' data folders
	ServiceTime time.Duration // run time of a request at the sample servers
	Spread      float64       // share of ServiceTime that varies
	Seed        uint64        // of the random part of ServiceTime
	Timing      ctrl.Timing   // zero value is the default timing

	DrainTimeout time.Duration // of the daemons; 0 is their default
}

// ErrTimeout says that the deployment did not reach the expected state in time.
var ErrTimeout = errors.New("deployment did not reach the expected state in time")

// Fleet is a running deployment. Use Start, then Close.
type Fleet struct {
	cfg    Config
	voters []pollenlatch.Member
	ledger *sample.Ledger
	ports  reservedPorts

	mu    sync.Mutex
	nodes map[string]*Node
	names []string
}

// Node is one instance of a running deployment.
type Node struct {
	Instance
	Addrs  Addrs
	Daemon *daemon.Daemon
	Server *sample.Server // nil without an endpoint

	stop    context.CancelFunc
	stopped chan struct{}
	runErr  error
}

// Addrs are the addresses of one instance.
type Addrs struct {
	Link, Front, Local, Server string
}

// groupKey is the shared key of the group. It need not be secret, since the
// deployment runs in one process and listens on loopback addresses only.
var groupKey = []byte("a deployment in one process")

// Start starts every instance and returns without waiting for a leader.
func Start(cfg Config) (*Fleet, error) {
	f := &Fleet{cfg: cfg, nodes: make(map[string]*Node), ledger: new(sample.Ledger)}
	for _, instance := range cfg.Instances {
		addrs, err := f.reserveAddrs()
		if err != nil {
			f.ports.close()
			return nil, err
		}
		f.nodes[instance.Name] = &Node{Instance: instance, Addrs: addrs}
		f.names = append(f.names, instance.Name)
		if !instance.Voter {
			continue
		}
		if _, err := store.Init(f.dataFolder(instance.Name), instance.Name); err != nil {
			f.ports.close()
			return nil, fmt.Errorf("voter %s: %w", instance.Name, err)
		}
		f.voters = append(f.voters, pollenlatch.Member{Name: instance.Name, Addr: addrs.Link})
	}
	for _, name := range f.names {
		if err := f.StartInstance(name); err != nil {
			f.Close()
			return nil, err
		}
	}
	return f, nil
}

func (f *Fleet) dataFolder(name string) store.Dir { return store.Dir(filepath.Join(f.cfg.Dir, name)) }

// reserveAddrs reserves the ports of one instance.
func (f *Fleet) reserveAddrs() (Addrs, error) {
	var a Addrs
	for _, addr := range []*string{&a.Link, &a.Front, &a.Local, &a.Server} {
		var err error
		if *addr, err = f.ports.reserve(); err != nil {
			return a, err
		}
	}
	return a, nil
}

// StartInstance starts an instance that is not running.
func (f *Fleet) StartInstance(name string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	previous := f.nodes[name]
	n := &Node{Instance: previous.Instance, Addrs: previous.Addrs, stopped: make(chan struct{})}
	d, err := f.newDaemon(n)
	if err != nil {
		return fmt.Errorf("instance %s: %w", name, err)
	}
	ctx, stop := context.WithCancel(context.Background())
	n.Daemon, n.stop = d, stop
	go func() {
		n.runErr = d.Run(ctx)
		close(n.stopped)
	}()
	if n.Endpoint.Service != "" {
		if err := f.startServer(n); err != nil {
			return fmt.Errorf("instance %s: %w", name, err)
		}
	}
	f.nodes[name] = n
	return nil
}

func (f *Fleet) newDaemon(n *Node) (*daemon.Daemon, error) {
	cfg := daemon.Config{
		Name: n.Name, DC: n.DC, Group: "fleet", Key: groupKey,
		Link: n.Addrs.Link, Front: n.Addrs.Front, Local: n.Addrs.Local,
		Voters: f.voters, Timing: f.cfg.Timing, Listen: f.ports.listen, DrainTimeout: f.cfg.DrainTimeout,
	}
	if n.Voter {
		v, err := daemon.OpenVoter(string(f.dataFolder(n.Name)), n.Name, n.Addrs.Link, f.voters)
		if err != nil {
			return nil, err
		}
		cfg.Voter = v
	}
	return daemon.New(cfg)
}

func (f *Fleet) startServer(n *Node) error {
	s, err := sample.New(sample.Config{
		Endpoint: n.Endpoint, Daemon: n.Addrs.Local, ServiceTime: f.cfg.ServiceTime,
		Jitter: f.cfg.Spread, Seed: f.cfg.Seed, Ledger: f.ledger,
	})
	if err != nil {
		return err
	}
	ln, err := f.ports.listen(n.Addrs.Server)
	if err != nil {
		return err
	}
	n.Server = s
	go func() { _ = s.Serve(ln) }()
	return nil
}

// Node returns an instance by name.
func (f *Fleet) Node(name string) *Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[name]
}

// Names returns the names of all instances, in the order of the configuration.
func (f *Fleet) Names() []string { return f.names }

// Ledger returns the record of the requests that the sample servers ran.
func (f *Fleet) Ledger() *sample.Ledger { return f.ledger }

// Kill stops an instance at once, as a power failure does.
func (f *Fleet) Kill(name string) {
	n := f.Node(name)
	if n.Server != nil {
		_ = n.Server.Close()
	}
	n.Daemon.Abort()
	<-n.stopped
}

// Shutdown stops an instance gracefully: its daemon hands over its shards,
// finishes the requests in flight and leaves the group.
func (f *Fleet) Shutdown(ctx context.Context, name string) error {
	n := f.Node(name)
	n.stop()
	select {
	case <-n.stopped:
	case <-ctx.Done():
		return fmt.Errorf("instance %s: %w", name, ctx.Err())
	}
	if n.Server != nil {
		_ = n.Server.Close()
	}
	return n.runErr
}

// Close stops every instance at once.
func (f *Fleet) Close() {
	f.ports.close()
	f.mu.Lock()
	nodes := make([]*Node, 0, len(f.nodes))
	for _, n := range f.nodes {
		if n.Daemon != nil {
			nodes = append(nodes, n)
		}
	}
	f.mu.Unlock()
	var wg sync.WaitGroup
	for _, n := range nodes {
		wg.Go(func() {
			if n.Server != nil {
				_ = n.Server.Close()
			}
			n.Daemon.Abort()
			<-n.stopped
		})
	}
	wg.Wait()
}

// Wait waits until the condition holds for the control state of every running
// instance. It returns ErrTimeout when ctx ends first.
func (f *Fleet) Wait(ctx context.Context, condition func(a *ctrl.Access) bool) error {
	for {
		satisfied := true
		for _, name := range f.names {
			n := f.Node(name)
			select {
			case <-n.stopped:
			default:
				satisfied = satisfied && condition(n.Daemon.Access())
			}
		}
		if satisfied {
			return nil
		}
		select {
		case <-ctx.Done():
			return ErrTimeout
		case <-time.After(pollInterval):
		}
	}
}

// WaitReady waits until every daemon knows all endpoints as usable. A ticket that
// then creates a service finds all its endpoints.
func (f *Fleet) WaitReady(ctx context.Context) error {
	return f.Wait(ctx, func(a *ctrl.Access) bool {
		for _, name := range f.names {
			i, ok := a.View.InstanceByName(name)
			if f.Node(name).Endpoint.Service != "" && (!ok || !i.Usable()) {
				return false
			}
		}
		return true
	})
}

const pollInterval = 5 * time.Millisecond

// Submit submits a ticket through the first instance that returns a verdict.
func (f *Fleet) Submit(ctx context.Context, t pollenlatch.Ticket) (pollenlatch.Verdict, error) {
	for _, name := range f.names {
		n := f.Node(name)
		if n.Daemon == nil {
			continue
		}
		v, err := n.Daemon.Submit(ctx, t)
		if err == nil || ctx.Err() != nil {
			return v, err
		}
	}
	return pollenlatch.Verdict{}, ErrTimeout
}
