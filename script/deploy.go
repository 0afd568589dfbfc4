package script

import (
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
)

// Instance is a daemon and the server beside it. It has a loopback address of
// its own, so that no outgoing connection can take its ports.
type Instance struct {
	Name, DC string // an empty name becomes the address
	Voter    bool
	Service  string // of the server; empty: no server
	Unfenced bool   // the server does not check fences
	IP       string

	incarnation    uint64 // of the data folder, from the last init
	daemon, server *process
}

// Ports of an instance, below those that the system gives to clients.
const (
	linkPort   = 7000
	localPort  = 7001
	adminPort  = 7002
	frontPort  = 8080
	serverPort = 9000
)

// LinkAddr returns the address for other daemons.
func (i *Instance) LinkAddr() string { return i.addr(linkPort) }

// ControlAddr returns the address for servers and operators of another platform.
func (i *Instance) ControlAddr() string { return i.addr(localPort) }

// ReadyAddr returns the address for readiness probes of another platform.
func (i *Instance) ReadyAddr() string { return i.addr(adminPort) }

// FrontAddr returns the address for callers.
func (i *Instance) FrontAddr() string { return i.addr(frontPort) }

// ServerAddr returns the address of the server beside the daemon.
func (i *Instance) ServerAddr() string { return i.addr(serverPort) }

func (i *Instance) addr(port int) string { return fmt.Sprintf("%s:%d", i.IP, port) }

// Deployment is a set of processes on loopback. Use NewDeployment, then Close.
type Deployment struct {
	Dir     string // for settings, data folders, logs and records of runs
	BinDir  string // folders with the programs pollenlatch and endpoint
	Network *Network
	// RenderSettings returns the settings of an instance on another platform. Voters get
	// their identity by themselves there, and servers are not started here.
	RenderSettings func(i *Instance) string

	instances []*Instance
	voters    []*Instance // the first ones
}

// process is one run of a program.
type process struct {
	cmd  *exec.Cmd
	log  string
	done chan struct{}
	err  error // after done
}

// NewDeployment returns a deployment without instances.
func NewDeployment(dir, path string) (*Deployment, error) {
	n, err := NewNetwork()
	if err != nil {
		return nil, err
	}
	key := make([]byte, 32)
	if _, err := rand.Read(key); err != nil {
		return nil, err
	}
	d := &Deployment{Dir: dir, BinDir: path, Network: n}
	return d, os.WriteFile(filepath.Join(dir, "key"), []byte(hex.EncodeToString(key)), 0o600)
}

// Close kills every process and waits for it.
func (d *Deployment) Close() {
	d.Network.Close()
	for _, i := range d.instances {
		for _, p := range []*process{i.daemon, i.server} {
			if p.runs() {
				_ = p.cmd.Process.Kill()
				<-p.done
			}
		}
	}
}

// Find returns an instance by name.
func (d *Deployment) Find(name string) (*Instance, error) {
	for _, i := range d.instances {
		if i.Name == name {
			return i, nil
		}
	}
	return nil, fmt.Errorf("there is no instance %q", name)
}

// Add adds an instance that does not run yet. Voters that are added before the
// first start are the first voters of the group.
func (d *Deployment) Add(i *Instance) error {
	if _, err := d.Find(i.Name); err == nil {
		return fmt.Errorf("instance %s is there already", i.Name)
	}
	ip, err := freeIP()
	if err != nil {
		return err
	}
	i.IP = ip
	if i.Name == "" {
		i.Name = ip
	}
	d.instances = append(d.instances, i)
	d.Network.Register(i.addr(linkPort), i.Name)
	if !d.begun() && i.Voter {
		d.voters = append(d.voters, i)
	}
	return nil
}

func (d *Deployment) begun() bool {
	return slices.ContainsFunc(d.instances, func(i *Instance) bool { return i.daemon != nil })
}

// freeIP returns a loopback address on which no port of an instance is in use.
func freeIP() (string, error) {
	for range 64 {
		var b [3]byte
		_, _ = rand.Read(b[:])
		ip := fmt.Sprintf("127.%d.%d.%d", 16+b[0]%200, b[1], 1+b[2]%254)
		if portsFree(ip) {
			return ip, nil
		}
	}
	return "", errors.New("no free loopback address was found")
}

func portsFree(ip string) bool {
	for _, p := range []int{linkPort, localPort, adminPort, frontPort, serverPort} {
		ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, p))
		if err != nil {
			return false
		}
		_ = ln.Close()
	}
	return true
}

func (d *Deployment) settings(i *Instance) string { return filepath.Join(d.Dir, i.Name+".yaml") }
func (d *Deployment) record(i *Instance) string   { return filepath.Join(d.Dir, i.Name+".runs") }

// DataDir returns the data folder of an instance that votes.
func (d *Deployment) DataDir(i *Instance) string { return filepath.Join(d.Dir, i.Name+".data") }

// Running reports whether the daemon of an instance runs.
func (i *Instance) Running() bool { return i.daemon.runs() }

// Done returns a channel that is closed once the daemon has ended. The daemon
// must have been started.
func (i *Instance) Done() <-chan struct{} { return i.daemon.done }

// Signal sends a signal to the daemon.
func (i *Instance) Signal(s syscall.Signal) error { return i.daemon.signal(s) }

// Kill ends the daemon at once and waits for its end.
func (i *Instance) Kill() {
	if i.daemon.signal(syscall.SIGKILL) == nil {
		<-i.daemon.done
	}
}

// LogTail returns the last lines that the daemon has written.
func (i *Instance) LogTail() string { return i.daemon.tail() }

// writeSettings writes the settings file of an instance.
func (d *Deployment) writeSettings(i *Instance) error {
	if d.RenderSettings != nil {
		return os.WriteFile(d.settings(i), []byte(d.RenderSettings(i)), 0o600)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "name: %s\ndc: %s\ngroup: script\nkeyfile: key\n", i.Name, i.DC)
	fmt.Fprintf(&b, "addresses: {link: %q, front: %q, local: %q, admin: %q}\n",
		i.addr(linkPort), i.addr(frontPort), i.addr(localPort), i.addr(adminPort))
	b.WriteString("voters:\n")
	for _, v := range d.voters {
		fmt.Fprintf(&b, "  - {name: %s, addr: %q}\n", v.Name, v.addr(linkPort))
	}
	if i.Voter {
		fmt.Fprintf(&b, "voter: {data: %s}\n", d.DataDir(i))
	}
	return os.WriteFile(d.settings(i), []byte(b.String()), 0o600)
}

// StartDaemon starts the daemon, with an identity if it is a first voter that
// never ran.
func (d *Deployment) StartDaemon(i *Instance) error {
	if i.daemon.runs() {
		return fmt.Errorf("the daemon of %s runs already", i.Name)
	}
	first := i.daemon == nil
	if err := d.writeSettings(i); err != nil {
		return err
	}
	if first && d.RenderSettings == nil && slices.Contains(d.voters, i) {
		if err := d.Init(i); err != nil {
			return err
		}
	}
	p, err := d.run(i.Name+".log", "pollenlatch", "serve", "-c", d.settings(i))
	i.daemon = p
	return err
}

// Init gives an instance's data folder its identity.
func (d *Deployment) Init(i *Instance) error {
	if err := d.writeSettings(i); err != nil {
		return err
	}
	out, err := d.command("pollenlatch", "init", "-c", d.settings(i)).CombinedOutput()
	if err != nil {
		return fmt.Errorf("init of %s: %w: %s", i.Name, err, out)
	}
	if _, err := fmt.Sscanf(string(out), "voter "+i.Name+" has incarnation %d", &i.incarnation); err != nil {
		return fmt.Errorf("init of %s printed %q: %w", i.Name, out, err)
	}
	return nil
}

// StartServer starts the server of an instance, which has one.
func (d *Deployment) StartServer(i *Instance) error {
	if i.server.runs() {
		return fmt.Errorf("the server of %s runs already", i.Name)
	}
	args := []string{"-listen", i.addr(serverPort), "-daemon", i.addr(localPort), "-service", i.Service, "-record", d.record(i)}
	if i.Unfenced {
		args = append(args, "-unfenced")
	}
	p, err := d.run(i.Name+".server.log", "endpoint", args...)
	i.server = p
	return err
}

func (d *Deployment) command(name string, args ...string) *exec.Cmd {
	c := exec.Command(filepath.Join(d.BinDir, name), args...)
	c.Dir = d.Dir
	c.Env = append(os.Environ(), networkVar+"="+d.Network.Addr())
	return c
}

func (d *Deployment) run(log, name string, args ...string) (*process, error) {
	f, err := os.OpenFile(filepath.Join(d.Dir, log), os.O_WRONLY|os.O_APPEND|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	p := &process{cmd: d.command(name, args...), log: f.Name(), done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = f, f
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

func (p *process) runs() bool {
	if p == nil {
		return false
	}
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// signal sends a signal to a process that runs.
func (p *process) signal(s syscall.Signal) error {
	if !p.runs() {
		return errors.New("the process does not run")
	}
	return p.cmd.Process.Signal(s)
}

// tail returns the end of what the process wrote.
func (p *process) tail() string {
	b, _ := os.ReadFile(p.log)
	lines := bytes.Split(bytes.TrimSpace(b), []byte("\n"))
	return string(bytes.Join(lines[max(0, len(lines)-12):], []byte("\n")))
}
