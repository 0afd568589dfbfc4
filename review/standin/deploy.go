package main

import (
	"bytes"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Figures of the deployments' sheets and of the examples in the users' pages.
const (
	heartbeat = 870 * time.Millisecond
	drainTime = 2 * time.Second
	contact   = 3 * time.Second
	slots     = 9
	queue     = 36

	portApp      = 8301
	portOutbound = 8304
	portReady    = 8302
	portControl  = 8306
	portInternal = 7620
)

// machine is a machine of the platform with one process of the project.
type machine struct {
	d              *deployment
	name, ip       string
	place, service string
	startedBefore  bool

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// deployment is five core machines and some with a server. All run on loopback
// addresses.
type deployment struct {
	dir      string
	start    time.Time
	cores    []*machine
	sides    []*machine
	recordMu sync.Mutex
	record   *os.File
}

func newDeployment(record string) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	return &deployment{dir: dir, start: time.Now(), record: f}, nil
}

// log writes a line to the record.
func (d *deployment) log(format string, args ...any) {
	d.recordMu.Lock()
	defer d.recordMu.Unlock()
	fmt.Fprintf(d.record, "%8.3f "+format+"\n", append([]any{time.Since(d.start).Seconds()}, args...)...)
}

func freeIP() string {
	for range 100 {
		var b [3]byte
		rand.Read(b[:])
		ip := fmt.Sprintf("127.%d.%d.%d", 16+b[0]%200, b[1], 1+b[2]%254)
		free := true
		for _, p := range []int{portApp, portOutbound, portReady, portControl, portInternal, portInternal + 15} {
			ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, p))
			if err != nil {
				free = false
				break
			}
			ln.Close()
		}
		if free {
			return ip
		}
	}
	fatal("no free loopback address")
	return ""
}

func (d *deployment) addCore(n int) {
	for i := range n {
		d.cores = append(d.cores, &machine{d: d, name: fmt.Sprintf("core-%d", i), ip: freeIP(), place: fmt.Sprintf("z%d", i%3)})
	}
}

func (d *deployment) addSides(service string, n int) (out []*machine) {
	for i := range n {
		out = append(out, &machine{d: d, name: fmt.Sprintf("%s-%d", service, i), ip: freeIP(), place: fmt.Sprintf("z%d", i%3), service: service})
	}
	d.sides = append(d.sides, out...)
	return out
}

func (m *machine) settingsFile() string { return filepath.Join(m.d.dir, m.name+".yaml") }
func (m *machine) dataDir() string      { return filepath.Join(m.d.dir, m.name+".data") }
func (m *machine) logFile() string      { return filepath.Join(m.d.dir, m.name+".log") }

// startProcess starts the project's process with the command of the deploy file.
func (m *machine) startProcess() {
	if err := m.d.writeSettings(m); err != nil {
		fatal(err)
	}
	m.startedBefore = true
	f, err := os.OpenFile(m.logFile(), os.O_WRONLY|os.O_APPEND|os.O_CREATE, 0o600)
	if err != nil {
		fatal(err)
	}
	c := exec.Command("target/pollenlatch", "serve", "-c", m.settingsFile())
	c.Stdout, c.Stderr = f, f
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		fatal(err)
	}
	exited := make(chan struct{})
	go func() { c.Wait(); f.Close(); close(exited) }()
	m.mu.Lock()
	m.cmd, m.exited = c, exited
	m.mu.Unlock()
}

func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd == nil {
		return
	}
	select {
	case <-m.exited:
	default:
		m.cmd.Process.Signal(s)
	}
}

// kill ends the process at once.
func (m *machine) kill() {
	m.signal(syscall.SIGKILL)
	if m.exited != nil {
		<-m.exited
	}
}

func (d *deployment) startAll() {
	for _, m := range append(append([]*machine(nil), d.cores...), d.sides...) {
		m.startProcess()
	}
}

// close ends all processes and removes the folder.
func (d *deployment) close() {
	for _, m := range append(append([]*machine(nil), d.cores...), d.sides...) {
		m.kill()
	}
	d.record.Close()
	if keep := os.Getenv("KEEP"); keep != "" {
		os.RemoveAll(keep)
		os.Rename(d.dir, keep)
	}
	os.RemoveAll(d.dir)
}

var operatorClient = http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func call(addr, name string, body []byte) (int, []byte) {
	resp, err := operatorClient.Post("http://"+addr+names["calls"]+"?call="+name, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, b
}

// patch sends a change until it is acknowledged or refused, and returns its status.
func (d *deployment) patch(change map[string]any) int {
	b, err := json.Marshal(change)
	if err != nil {
		fatal(err)
	}
	for n := range 60 {
		status, answer := call(d.cores[n%len(d.cores)].addr(portControl), names["patch"], b)
		if status == 200 || status == 400 || status == 409 || status == 422 {
			d.log("operator: change: %d %.200s", status, answer)
			return status
		}
		time.Sleep(200 * time.Millisecond)
	}
	d.log("operator: change without a clear answer")
	return 0
}

func route(host, prefix, kind, service string, timeoutMs, version int) map[string]any {
	return map[string]any{
		"host": host, names["prefix"]: prefix, "kind": kind, "timeout_ms": timeoutMs, names["target"]: 600, "priority": 1,
		"service": service, names["attempts"]: 2, "version": fmt.Sprintf("r%d", version),
	}
}

func service(sharded bool, version int) map[string]any {
	s := map[string]any{names["health"]: "/healthz", "max_connections": 110, "protocol": "h1", "tls": false, "version": fmt.Sprintf("r%d", version)}
	if sharded {
		s["sharded"], s[names["warm_up"]], s["grants"] = true, 3.0, "heartbeat"
	}
	return s
}

func limits() map[string]any {
	return map[string]any{names["header_bytes"]: 16384, "max_body_bytes": 67108864, names["header_ms"]: 3000, "idle_timeout_ms": 15000, "version": "r1"}
}

// ready reports whether the process counts as ready.
func (m *machine) ready() bool {
	resp, err := operatorClient.Get("http://" + m.addr(portReady) + "/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == 200
}

func (d *deployment) waitReady() {
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		all := true
		for _, m := range d.sides {
			all = all && m.ready()
		}
		if all {
			return
		}
		if time.Now().After(end) {
			fatal("the deployment is not ready")
		}
	}
}

func fatal(v any) {
	fmt.Fprintln(os.Stderr, "cannot run:", v)
	if current != nil {
		current.close()
	}
	os.Exit(2)
}

var current *deployment
