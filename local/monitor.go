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
	// With these defaults a frozen server is detected within 750 ms. That is well
	// below the drain time of 2 s, and a single slow response does not count as a
	// frozen server.
	DefaultProbeInterval    = 200 * time.Millisecond
	DefaultTimeout          = 150 * time.Millisecond
	DefaultFailureThreshold = 3
)

const (
	maxBodyBytes  = 64 << 10 // of a message from the server
	maxSuperseded = 16       // superseded incarnations that are kept
	serverName    = "pollenlatch"
)

// Errors of grants and of messages from the server.
var (
	ErrNoServer         = errors.New("no server has announced itself")
	ErrSuperseded       = errors.New("a newer incarnation has announced itself")
	ErrWrongIncarnation = errors.New("message is from an incarnation that is not the current one")
	ErrWrongService     = errors.New("server announces a different service than the configured one")
)

// Config is the configuration of a Monitor. Observer is required. Zero values of
// the last three fields stand for the defaults.
type Config struct {
	Observer         pollenlatch.EndpointObserver
	Service          string            // the only service that is accepted; empty accepts any
	Dial             fasthttp.DialFunc // opens connections to the server; nil uses TCP
	ProbeInterval    time.Duration
	Timeout          time.Duration // of a probe, and of sending grants
	FailureThreshold int           // consecutive failed probes after which the server counts as lost
}

// Monitor receives the announcements of the local server, probes the server, and
// sends grants to it. It implements pollenlatch.Granter. Use New.
type Monitor struct {
	cfg        Config
	httpServer *fasthttp.Server
	client     *fasthttp.Client
	done       chan struct{}
	cancel     context.CancelFunc
	ctx        context.Context
	probeNow   chan struct{} // see Probe
	wg         sync.WaitGroup
	sendLock   chan struct{} // a mutex: has one element while no grants are being sent
	desired    grantSet      // guarded by sendLock

	mu            sync.Mutex
	endpoint      pollenlatch.Endpoint // as reported by the server; zero before the first announcement
	lastAnnounced pollenlatch.Endpoint // newest state that was reported to Observer
	announced     bool                 // the server was announced to Observer, and not reported as lost since
	alive         bool                 // a probe of this incarnation has succeeded, and it was not lost since
	failures      int                  // consecutive failed probes
	superseded    []pollenlatch.Incarnation
	report        LoadReport
	reportedAt    time.Time // when report arrived
}

// New returns a monitor that does not listen yet.
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
	m := &Monitor{cfg: cfg, done: make(chan struct{}), probeNow: make(chan struct{}, 1), sendLock: make(chan struct{}, 1)}
	m.sendLock <- struct{}{}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	m.desired.seq = uint64(time.Now().UnixMicro())
	m.httpServer = &fasthttp.Server{
		Handler:               m.handle,
		Name:                  serverName,
		MaxRequestBodySize:    maxBodyBytes,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		CloseOnShutdown:       true,
	}
	m.client = &fasthttp.Client{
		DialTimeout:                   dialChecked(cfg.Dial),
		MaxConnsPerHost:               2, // one for probes, one for grants
		MaxIdemponentCallAttempts:     2, // an idle connection may have been closed
		NoDefaultUserAgentHeader:      true,
		DisableHeaderNamesNormalizing: true,
	}
	return m
}

// Serve handles messages from the server on ln, and probes the server, until Close.
// It returns nil after Close.
func (m *Monitor) Serve(ln net.Listener) error {
	m.wg.Go(m.probeLoop)
	err := m.httpServer.Serve(ln)
	m.cancel()
	m.wg.Wait()
	m.client.CloseIdleConnections()
	close(m.done)
	return err
}

// Done returns a channel that is closed when Serve is about to return.
func (m *Monitor) Done() <-chan struct{} { return m.done }

// Close makes Serve return.
func (m *Monitor) Close() error {
	m.cancel()
	return m.httpServer.Shutdown()
}

// Endpoint returns the state of the server. It is not ready while its probes fail.
// ok is false before the first announcement.
func (m *Monitor) Endpoint() (e pollenlatch.Endpoint, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e = m.endpoint
	e.Ready = e.Ready && m.alive
	return e, e.Incarnation != 0
}

// Report returns the server's newest load report and when it arrived. The daemon's
// own counts take precedence over it.
func (m *Monitor) Report() (LoadReport, time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.report, m.reportedAt
}

// Probe requests a probe without waiting for the next interval, such as after a
// failed exchange with the server.
func (m *Monitor) Probe() {
	select {
	case m.probeNow <- struct{}{}:
	default:
	}
}

// announce handles an announcement. A new incarnation replaces the current one. A
// superseded one, which may have been frozen meanwhile, is refused.
func (m *Monitor) announce(e pollenlatch.Endpoint) error {
	if err := CheckEndpoint(e); err != nil {
		return err
	}
	if m.cfg.Service != "" && e.Service != m.cfg.Service {
		return ErrWrongService
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, incarnation := range m.superseded {
		if incarnation == e.Incarnation {
			return ErrSuperseded
		}
	}
	if m.endpoint.Incarnation != e.Incarnation {
		m.supersedeCurrent()
		m.Probe()
	}
	m.endpoint = e
	m.announceChanges()
	return nil
}

// supersedeCurrent removes the current incarnation, if any. The caller holds mu.
func (m *Monitor) supersedeCurrent() {
	if m.endpoint.Incarnation != 0 {
		m.superseded = append(m.superseded, m.endpoint.Incarnation)
		if len(m.superseded) > maxSuperseded {
			m.superseded = m.superseded[1:]
		}
		klog.InfoS("server was replaced by a new process", "old", m.endpoint.Incarnation)
	}
	m.reportLost()
	m.report = LoadReport{}
}

// update applies a message of the current incarnation.
func (m *Monitor) update(incarnation pollenlatch.Incarnation, apply func()) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.endpoint.Incarnation == 0 {
		return ErrNoServer
	}
	if incarnation != m.endpoint.Incarnation {
		return ErrWrongIncarnation
	}
	apply()
	m.announceChanges()
	return nil
}

// announceChanges reports a changed state of a live server to Observer. The caller
// holds mu.
func (m *Monitor) announceChanges() {
	if !m.alive || (m.announced && m.lastAnnounced == m.endpoint) {
		return
	}
	m.lastAnnounced = m.endpoint
	m.announced = true
	m.cfg.Observer.Announce(m.endpoint)
}

// reportLost reports the server as lost to Observer, unless it has done so already.
// The caller holds mu.
func (m *Monitor) reportLost() {
	m.alive = false
	if m.announced {
		m.announced = false
		m.cfg.Observer.Lost(false)
	}
}

// probeLoop probes the server at every interval, and when Probe is called.
func (m *Monitor) probeLoop() {
	ticker := time.NewTicker(m.cfg.ProbeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-m.ctx.Done():
			return
		case <-ticker.C:
		case <-m.probeNow:
		}
		m.probe()
	}
}

func (m *Monitor) probe() {
	m.mu.Lock()
	e := m.endpoint
	m.mu.Unlock()
	if e.Incarnation == 0 {
		return
	}
	var h Health
	_, err := m.exchange(fasthttp.MethodGet, e.Addr, PathHealth, nil, &h, time.Now().Add(m.cfg.Timeout))
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.endpoint.Incarnation != e.Incarnation {
		return // it was replaced during the probe
	}
	m.handleProbe(h, err)
}

// handleProbe handles the result of a probe. A refused connection or a response of
// another incarnation proves that the process has ended, so the server is lost at
// once. After other failures it is lost only when they are consecutive. The caller
// holds mu.
func (m *Monitor) handleProbe(h Health, err error) {
	switch {
	case err == nil && h.Incarnation == m.endpoint.Incarnation:
		m.failures = 0
		m.alive = true
		m.endpoint.Ready = h.Ready
		m.endpoint.Draining = h.Draining
		m.announceChanges()
		return
	case err == nil, errors.Is(err, syscall.ECONNREFUSED):
		m.failures = m.cfg.FailureThreshold
	default:
		m.failures++
	}
	if m.failures < m.cfg.FailureThreshold {
		return
	}
	if m.alive {
		klog.InfoS("server failed its health probes", "addr", m.endpoint.Addr, "err", err)
	}
	m.reportLost()
}
