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

// Instance is a daemon with its local server. It has its own loopback address, so
// that outgoing connections of other processes can't take its ports.
type Instance struct {
	Name, DC string // an empty Name becomes the IP address
	Voter    bool
	Service  string // of the server; empty without a server
	Unfenced bool   // the server does not check fences
	IP       string

	incarnation    uint64 // of the data folder, from the last init
	daemon, server *process
}

// Ports of an instance. They are below the range of ephemeral ports.
const (
	linkPort   = 7000
	localPort  = 7001
	adminPort  = 7002
	frontPort  = 8080
	serverPort = 9000
)

// LinkAddr returns the daemon's address for links of other daemons.
func (i *Instance) LinkAddr() string { return i.addr(linkPort) }

// ControlAddr returns the daemon's address for servers and operators, with
// Deployment.RenderSettings.
func (i *Instance) ControlAddr() string { return i.addr(localPort) }

// ReadyAddr returns the daemon's address for readiness probes, with
// Deployment.RenderSettings.
func (i *Instance) ReadyAddr() string { return i.addr(adminPort) }

// FrontAddr returns the daemon's address for callers.
func (i *Instance) FrontAddr() string { return i.addr(frontPort) }

// ServerAddr returns the address of the local server.
func (i *Instance) ServerAddr() string { return i.addr(serverPort) }

func (i *Instance) addr(port int) string { return fmt.Sprintf("%s:%d", i.IP, port) }

// Deployment is a set of instances whose processes run on loopback addresses. It is
// created with NewDeployment and must be closed.
type Deployment struct {
	Dir     string // folder for settings, data folders, logs and files of runs
	BinDir  string // folder of the programs pollenlatch and endpoint
	Network *Network
	// RenderSettings, if set, returns the settings file of an instance, for a
	// deployment with a platform adapter. Voters then initialise their data folders
	// by themselves, and the user of the deployment starts the servers.
	RenderSettings func(i *Instance) string

	instances   []*Instance
	firstVoters []*Instance // voters in the settings of all instances
}

// process is one started program.
type process struct {
	cmd     *exec.Cmd
	logFile string
	done    chan struct{} // closed when the process has exited
	exitErr error         // valid after done
}

// NewDeployment returns a deployment without instances and starts its network.
func NewDeployment(dir, binDir string) (*Deployment, error) {
	n, err := NewNetwork()
	if err != nil {
		return nil, err
	}
	key := make([]byte, 32)
	if _, err := rand.Read(key); err != nil {
		return nil, err
	}
	d := &Deployment{Dir: dir, BinDir: binDir, Network: n}
	return d, os.WriteFile(filepath.Join(dir, "key"), []byte(hex.EncodeToString(key)), 0o600)
}

// Close closes the network, kills all processes and waits for their end.
func (d *Deployment) Close() {
	d.Network.Close()
	for _, i := range d.instances {
		for _, p := range []*process{i.daemon, i.server} {
			if p.running() {
				_ = p.cmd.Process.Kill()
				<-p.done
			}
		}
	}
}

// Find returns the instance with a name.
func (d *Deployment) Find(name string) (*Instance, error) {
	for _, i := range d.instances {
		if i.Name == name {
			return i, nil
		}
	}
	return nil, fmt.Errorf("no instance is named %q", name)
}

// Add adds an instance without starting it. Voters that are added before the first
// daemon starts are the first voters of the group.
func (d *Deployment) Add(i *Instance) error {
	if _, err := d.Find(i.Name); err == nil {
		return fmt.Errorf("instance %s exists already", i.Name)
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
	if !d.daemonStarted() && i.Voter {
		d.firstVoters = append(d.firstVoters, i)
	}
	return nil
}

// daemonStarted reports whether any daemon has been started.
func (d *Deployment) daemonStarted() bool {
	return slices.ContainsFunc(d.instances, func(i *Instance) bool { return i.daemon != nil })
}

// freeIP returns a random loopback address on which all ports of an instance are
// free.
func freeIP() (string, error) {
	for range 64 {
		var b [3]byte
		_, _ = rand.Read(b[:])
		ip := fmt.Sprintf("127.%d.%d.%d", 16+b[0]%200, b[1], 1+b[2]%254)
		if portsFree(ip) {
			return ip, nil
		}
	}
	return "", errors.New("found no free loopback address")
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

func (d *Deployment) settingsFile(i *Instance) string { return filepath.Join(d.Dir, i.Name+".yaml") }
func (d *Deployment) runsFile(i *Instance) string     { return filepath.Join(d.Dir, i.Name+".runs") }

// DataDir returns the data folder of a voter.
func (d *Deployment) DataDir(i *Instance) string { return filepath.Join(d.Dir, i.Name+".data") }

// Running reports whether the daemon is running.
func (i *Instance) Running() bool { return i.daemon.running() }

// Done returns a channel that is closed when the daemon has exited. The daemon must
// have been started.
func (i *Instance) Done() <-chan struct{} { return i.daemon.done }

// Signal sends a signal to the daemon.
func (i *Instance) Signal(s syscall.Signal) error { return i.daemon.signal(s) }

// Kill sends SIGKILL to the daemon and waits for its end.
func (i *Instance) Kill() {
	if i.daemon.signal(syscall.SIGKILL) == nil {
		<-i.daemon.done
	}
}

// LogTail returns the last lines of the daemon's log.
func (i *Instance) LogTail() string { return i.daemon.logTail() }

// writeSettings writes the settings file of an instance.
func (d *Deployment) writeSettings(i *Instance) error {
	if d.RenderSettings != nil {
		return os.WriteFile(d.settingsFile(i), []byte(d.RenderSettings(i)), 0o600)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "name: %s\ndc: %s\ngroup: script\nkeyfile: key\n", i.Name, i.DC)
	fmt.Fprintf(&b, "addresses: {link: %q, front: %q, local: %q, admin: %q}\n",
		i.addr(linkPort), i.addr(frontPort), i.addr(localPort), i.addr(adminPort))
	b.WriteString("voters:\n")
	for _, v := range d.firstVoters {
		fmt.Fprintf(&b, "  - {name: %s, addr: %q}\n", v.Name, v.addr(linkPort))
	}
	if i.Voter {
		fmt.Fprintf(&b, "voter: {data: %s}\n", d.DataDir(i))
	}
	return os.WriteFile(d.settingsFile(i), []byte(b.String()), 0o600)
}

// StartDaemon starts the daemon. It initialises the data folder of a first voter that
// has never run.
func (d *Deployment) StartDaemon(i *Instance) error {
	if i.daemon.running() {
		return fmt.Errorf("the daemon of %s is already running", i.Name)
	}
	firstStart := i.daemon == nil
	if err := d.writeSettings(i); err != nil {
		return err
	}
	if firstStart && d.RenderSettings == nil && slices.Contains(d.firstVoters, i) {
		if err := d.Init(i); err != nil {
			return err
		}
	}
	p, err := d.startProcess(i.Name+".log", "pollenlatch", "serve", "-c", d.settingsFile(i))
	i.daemon = p
	return err
}

// Init initialises the data folder of an instance with pollenlatch init, which gives
// it an incarnation.
func (d *Deployment) Init(i *Instance) error {
	if err := d.writeSettings(i); err != nil {
		return err
	}
	out, err := d.command("pollenlatch", "init", "-c", d.settingsFile(i)).CombinedOutput()
	if err != nil {
		return fmt.Errorf("init of %s: %w: %s", i.Name, err, out)
	}
	if _, err := fmt.Sscanf(string(out), "voter "+i.Name+" has incarnation %d", &i.incarnation); err != nil {
		return fmt.Errorf("init of %s printed %q: %w", i.Name, out, err)
	}
	return nil
}

// StartServer starts the server of an instance. The instance must have a Service.
func (d *Deployment) StartServer(i *Instance) error {
	if i.server.running() {
		return fmt.Errorf("the server of %s is already running", i.Name)
	}
	args := []string{"-listen", i.addr(serverPort), "-daemon", i.addr(localPort), "-service", i.Service, "-record", d.runsFile(i)}
	if i.Unfenced {
		args = append(args, "-unfenced")
	}
	p, err := d.startProcess(i.Name+".server.log", "endpoint", args...)
	i.server = p
	return err
}

// command returns a command that runs a program in the folder of the deployment, with
// the address of the network in its environment.
func (d *Deployment) command(name string, args ...string) *exec.Cmd {
	c := exec.Command(filepath.Join(d.BinDir, name), args...)
	c.Dir = d.Dir
	c.Env = append(os.Environ(), networkEnv+"="+d.Network.Addr())
	return c
}

// startProcess starts a program. Its output is appended to the file log.
func (d *Deployment) startProcess(log, name string, args ...string) (*process, error) {
	f, err := os.OpenFile(filepath.Join(d.Dir, log), os.O_WRONLY|os.O_APPEND|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	p := &process{cmd: d.command(name, args...), logFile: f.Name(), done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = f, f
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		p.exitErr = p.cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

func (p *process) running() bool {
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

// signal sends a signal to a running process.
func (p *process) signal(s syscall.Signal) error {
	if !p.running() {
		return errors.New("the process is not running")
	}
	return p.cmd.Process.Signal(s)
}

// logTail returns the last 12 lines of the log.
func (p *process) logTail() string {
	b, _ := os.ReadFile(p.logFile)
	lines := bytes.Split(bytes.TrimSpace(b), []byte("\n"))
	return string(bytes.Join(lines[max(0, len(lines)-12):], []byte("\n")))
}
