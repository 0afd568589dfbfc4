package local

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
	"k8s.io/klog/v2"

	"pollenlatch"
)

// Defaults of Config.
const (
	// DefaultProbeInterval and DefaultFails find a frozen server within 750 ms: well
	// below the drain time of 2 s, and slower than one slow answer.
	DefaultProbeInterval    = 200 * time.Millisecond
	DefaultTimeout          = 150 * time.Millisecond
	DefaultFailureThreshold = 3
)

const (
	maxBody    = 64 << 10 // bytes of a message from the server
	maxHeld    = 16       // superseded incarnations that are remembered
	serverName = "pollenlatch"
)

// Errors of the interface to the server.
var (
	ErrNoServer         = errors.New("no server has announced itself")
	ErrSuperseded       = errors.New("a newer incarnation has announced itself")
	ErrWrongIncarnation = errors.New("message is for another incarnation")
	ErrWrongService     = errors.New("server announces another service")
)

// Config describes the interface. Facts is required.
type Config struct {
	Observer         pollenlatch.EndpointObserver
	Service          string            // the only service accepted; empty: any
	Dial             fasthttp.DialFunc // nil: TCP
	ProbeInterval    time.Duration     // interval of probes
	Timeout          time.Duration     // of a probe, or of sending grants
	FailureThreshold int               // failed probes in a row after which the server counts as lost
}

// Monitor serves the announcements of one server and watches it. It implements
// pollenlatch.Granter. Use New.
type Monitor struct {
	cfg    Config
	http   *fasthttp.Server
	client *fasthttp.Client
	done   chan struct{}
	stop   context.CancelFunc
	ctx    context.Context
	wake   chan struct{}
	wg     sync.WaitGroup
	sender chan struct{} // holds one token: grants are sent one message at a time
	want   grantSet      // guarded by sender

	mu     sync.Mutex
	said   pollenlatch.Endpoint // what the server says; zero before the first announcement
	told   pollenlatch.Endpoint // what Facts was told last
	known  bool                 // Facts was told of a server that is not lost
	alive  bool                 // the last probes were answered
	fails  int
	older  []pollenlatch.Incarnation
	report LoadReport
	at     time.Time // of the report
}

// New returns an interface that does not listen yet.
func New(cfg Config) *Monitor {
	if cfg.ProbeInterval == 0 {
		cfg.ProbeInterval = DefaultProbeInterval
	}
	if cfg.Timeout == 0 {
		cfg.Timeout = DefaultTimeout
	}
	if cfg.FailureThreshold == 0 {
		cfg.FailureThreshold = DefaultFailureThreshold
	}
	l := &Monitor{cfg: cfg, done: make(chan struct{}), wake: make(chan struct{}, 1), sender: make(chan struct{}, 1)}
	l.sender <- struct{}{}
	l.ctx, l.stop = context.WithCancel(context.Background())
	l.want.seq = uint64(time.Now().UnixMicro())
	l.http = &fasthttp.Server{
		Handler:               l.handle,
		Name:                  serverName,
		MaxRequestBodySize:    maxBody,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		CloseOnShutdown:       true,
	}
	l.client = &fasthttp.Client{
		Dial:                          cfg.Dial,
		MaxConnsPerHost:               2, // one for probes, one for grants
		MaxIdemponentCallAttempts:     2, // an idle connection may have been closed
		NoDefaultUserAgentHeader:      true,
		DisableHeaderNamesNormalizing: true,
	}
	return l
}

// Serve answers the server on ln and probes it until Close. It returns nil
// after Close.
func (l *Monitor) Serve(ln net.Listener) error {
	l.wg.Go(l.watch)
	err := l.http.Serve(ln)
	l.stop()
	l.wg.Wait()
	l.client.CloseIdleConnections()
	close(l.done)
	return err
}

// Done is closed when Serve has returned.
func (l *Monitor) Done() <-chan struct{} { return l.done }

// Close ends Serve.
func (l *Monitor) Close() error {
	l.stop()
	return l.http.Shutdown()
}

// Endpoint returns the server's facts, not ready while it does not answer
// probes. ok is false before the first announcement.
func (l *Monitor) Endpoint() (e pollenlatch.Endpoint, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e = l.said
	e.Ready = e.Ready && l.alive
	return e, e.Incarnation != 0
}

// Report returns the server's newest load report and when it arrived. It is
// what the server says: the daemon's own counts take precedence.
func (l *Monitor) Report() (LoadReport, time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.report, l.at
}

// Probe asks for a probe now, because an exchange with the server failed.
func (l *Monitor) Probe() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// announce takes new facts. The newest incarnation wins, and an earlier one,
// which may have been frozen meanwhile, does not come back.
func (l *Monitor) announce(e pollenlatch.Endpoint) error {
	if err := CheckEndpoint(e); err != nil {
		return err
	}
	if l.cfg.Service != "" && e.Service != l.cfg.Service {
		return ErrWrongService
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, o := range l.older {
		if o == e.Incarnation {
			return ErrSuperseded
		}
	}
	if l.said.Incarnation != e.Incarnation {
		l.supersede()
		l.Probe()
	}
	l.said = e
	l.tell()
	return nil
}

func (l *Monitor) supersede() {
	if l.said.Incarnation != 0 {
		l.older = append(l.older, l.said.Incarnation)
		if len(l.older) > maxHeld {
			l.older = l.older[1:]
		}
		klog.InfoS("The server was replaced by a new process", "old", l.said.Incarnation)
	}
	l.lose()
	l.report = LoadReport{}
}

// update changes the facts of the present incarnation.
func (l *Monitor) update(i pollenlatch.Incarnation, f func()) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.said.Incarnation == 0 {
		return ErrNoServer
	}
	if i != l.said.Incarnation {
		return ErrWrongIncarnation
	}
	f()
	l.tell()
	return nil
}

// tell passes changed facts on. The caller holds mu.
func (l *Monitor) tell() {
	if !l.alive || (l.known && l.told == l.said) {
		return
	}
	l.told = l.said
	l.known = true
	l.cfg.Observer.Announce(l.said)
}

// lose reports the server as lost, once. The caller holds mu.
func (l *Monitor) lose() {
	l.alive = false
	if l.known {
		l.known = false
		l.cfg.Observer.Lost()
	}
}

// watch probes the server at each interval, or when asked to.
func (l *Monitor) watch() {
	t := time.NewTicker(l.cfg.ProbeInterval)
	defer t.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-t.C:
		case <-l.wake:
		}
		l.probe()
	}
}

func (l *Monitor) probe() {
	l.mu.Lock()
	e := l.said
	l.mu.Unlock()
	if e.Incarnation == 0 {
		return
	}
	var h Health
	_, err := l.call(fasthttp.MethodGet, e.Addr, PathHealth, nil, &h, time.Now().Add(l.cfg.Timeout))
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.said.Incarnation != e.Incarnation {
		return // it was replaced during the probe
	}
	l.judge(h, err)
}

// judge takes the result of a probe. A refused connection proves that nothing
// listens, and another incarnation that the process is another one; other
// failures count only in a row. The caller holds mu.
func (l *Monitor) judge(h Health, err error) {
	switch {
	case err == nil && h.Incarnation == l.said.Incarnation:
		l.fails = 0
		l.alive = true
		l.said.Ready = h.Ready
		l.said.Draining = h.Draining
		l.tell()
		return
	case err == nil, errors.Is(err, syscall.ECONNREFUSED):
		l.fails = l.cfg.FailureThreshold
	default:
		l.fails++
	}
	if l.fails < l.cfg.FailureThreshold {
		return
	}
	if l.alive {
		klog.InfoS("The server does not answer probes", "addr", l.said.Addr, "err", err)
	}
	l.lose()
}
