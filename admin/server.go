package admin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"
	"k8s.io/klog/v2"

	"pollenlatch/conf"
	"pollenlatch/state"
)

// Errors of the server.
var (
	ErrConfig  = errors.New("invalid configuration of the administration API")
	ErrExposed = errors.New("administration API without tokens listens on an address that is not loopback")
)

// Time-outs and limits of the server.
const (
	readTimeout   = 10 * time.Second
	idleTimeout   = 60 * time.Second
	maxConnsPerIP = 64
	// maxTimeout is the maximum wait of a request. A ticket is in force everywhere
	// within 11 s.
	maxTimeout     = 30 * time.Second
	defaultTimeout = 15 * time.Second
	// pollInterval is the interval at which a request checks whether its ticket is
	// in force.
	pollInterval = 20 * time.Millisecond
)

// Config configures a Server.
type Config struct {
	Control Control
	Tokens  []Token      // if empty, the server listens on loopback only and allows everything
	Burn    BurnFunc     // nil: no report on service-level objectives
	Metrics *metrics.Set // served in addition to the metrics of the process; may be nil
}

// Server serves the administration API. New creates it.
type Server struct {
	control     Control
	credentials []credential
	http        *fasthttp.Server
	burn        BurnFunc
	metricsSet  *metrics.Set
	ctx         context.Context // ends at Shutdown
	cancel      context.CancelFunc
	done        chan struct{}
	once        sync.Once
}

// New returns a server. The error wraps ErrConfig.
func New(cfg Config) (*Server, error) {
	if cfg.Control == nil {
		return nil, fmt.Errorf("%w: no control", ErrConfig)
	}
	creds, err := newCredentials(cfg.Tokens)
	if err != nil {
		return nil, err
	}
	s := &Server{control: cfg.Control, credentials: creds, burn: cfg.Burn, metricsSet: cfg.Metrics, done: make(chan struct{})}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.http = &fasthttp.Server{
		Handler:                      s.Handle,
		Name:                         "pollenlatch",
		ReadTimeout:                  readTimeout,
		WriteTimeout:                 maxTimeout + readTimeout,
		IdleTimeout:                  idleTimeout,
		MaxConnsPerIP:                maxConnsPerIP,
		MaxRequestBodySize:           state.MaxTicketBytes,
		DisablePreParseMultipartForm: true,
		CloseOnShutdown:              true,
		ErrorHandler:                 handleReadError,
		Logger:                       debugLogger{},
	}
	return s, nil
}

// Serve handles requests of the listener until Shutdown. Without tokens it refuses
// a listener that is not on loopback.
func (s *Server) Serve(l net.Listener) error {
	defer s.once.Do(func() { close(s.done) })
	if a, ok := l.Addr().(*net.TCPAddr); len(s.credentials) == 0 && ok && !a.IP.IsLoopback() {
		return fmt.Errorf("%w: %v", ErrExposed, a)
	}
	return s.http.Serve(l)
}

// Shutdown ends the waits of pending requests and then shuts the server down
// gracefully.
func (s *Server) Shutdown(ctx context.Context) error {
	s.cancel()
	return s.http.ShutdownWithContext(ctx)
}

// Done is closed when Serve has returned.
func (s *Server) Done() <-chan struct{} { return s.done }

// debugLogger logs fasthttp's errors of connections.
type debugLogger struct{}

// Printf logs at a verbosity that is usually off, since clients cause these errors.
func (debugLogger) Printf(format string, args ...any) { klog.V(2).Infof(format, args...) }

// route is one operation of the API.
type route struct {
	method string
	path   string // a final {} matches one path element
	scope  conf.Scope
	handle func(*Server, *call)
}

// public is the scope of operations that need no token.
const public conf.Scope = ""

var routes = []route{
	{"GET", "/healthz", public, (*Server).healthz},
	{"GET", "/readyz", public, (*Server).readyz},
	{"GET", metricsPath, conf.ScopeRead, (*Server).metrics},
	{"GET", "/v1/status", conf.ScopeRead, (*Server).status},
	{"GET", "/v1/owner", conf.ScopeRead, (*Server).owner},
	{"GET", "/v1/tickets", conf.ScopeRead, (*Server).listTickets},
	{"GET", "/v1/tickets/{}", conf.ScopeRead, (*Server).showTicket},
	{"POST", "/v1/tickets", conf.ScopeTickets, (*Server).applyTicket},
	{"POST", "/v1/tickets/diff", conf.ScopeRead, (*Server).diffTicket},
	{"GET", "/v1/burn", conf.ScopeRead, (*Server).burnReport},
	{"POST", "/v1/evacuate", conf.ScopeEverything, (*Server).evacuate},
	{"POST", "/v1/drain", conf.ScopeEverything, (*Server).drain},
}

// call is one request being handled.
type call struct {
	*fasthttp.RequestCtx
	credential credential
	pathParam  string // the path element that {} matched
}

// Handle handles one request.
func (s *Server) Handle(ctx *fasthttp.RequestCtx) {
	c := &call{RequestCtx: ctx, credential: loopbackCredential}
	path, pathExists := string(ctx.Path()), false
	for _, r := range routes {
		param, ok := matchPath(r.path, path)
		pathExists = pathExists || ok
		if !ok || r.method != string(ctx.Method()) {
			continue
		}
		c.pathParam = param
		if s.authorise(c, r) {
			r.handle(s, c)
		}
		return
	}
	if pathExists {
		c.respondError(fasthttp.StatusMethodNotAllowed, "method %s is not allowed here", ctx.Method())
		return
	}
	c.respondError(fasthttp.StatusNotFound, "no such path")
}

func matchPath(pattern, path string) (param string, ok bool) {
	prefix, hasParam := strings.CutSuffix(pattern, "{}")
	if !hasParam {
		return "", pattern == path
	}
	param, ok = strings.CutPrefix(path, prefix)
	return param, ok && param != "" && !strings.Contains(param, "/")
}

// authorise reports whether the call is allowed by its token, and responds with an
// error if not.
func (s *Server) authorise(c *call, r route) bool {
	if r.scope == public {
		return true
	}
	if len(s.credentials) == 0 {
		return c.checkLoopback()
	}
	secret, ok := bearerSecret(string(c.Request.Header.Peek("Authorization")))
	if ok {
		c.credential, ok = findCredential(s.credentials, secret)
	}
	if !ok {
		c.Response.Header.Set("WWW-Authenticate", "Bearer")
		c.respondError(fasthttp.StatusUnauthorized, "a valid token is needed: Authorization: Bearer SECRET")
		return false
	}
	if !scopeIncludes(c.credential.Scope, r.scope) {
		c.respondError(fasthttp.StatusForbidden, "token %q has scope %s; this needs %s", c.credential.Name, c.credential.Scope, r.scope)
		return false
	}
	return true
}

// scopeIncludes reports whether scope have permits what scope need permits.
func scopeIncludes(have, need conf.Scope) bool {
	return have == need || have == conf.ScopeEverything || need == conf.ScopeRead
}

// checkLoopback reports whether a call without a token is allowed, and responds
// with an error if not. It refuses requests that a browser may send to loopback on
// behalf of a web page: those for a foreign host name (DNS rebinding) and those
// with an Origin header.
func (c *call) checkLoopback() bool {
	host := string(c.Host())
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	if ip := net.ParseIP(strings.Trim(host, "[]")); host != "localhost" && (ip == nil || !ip.IsLoopback()) {
		c.respondError(fasthttp.StatusForbidden, "without tokens the host must be a loopback address, not %q", host)
		return false
	}
	if len(c.Request.Header.Peek("Origin")) > 0 {
		c.respondError(fasthttp.StatusForbidden, "without tokens web pages may not use the API")
		return false
	}
	return true
}

// respond writes a response with a JSON body.
func (c *call) respond(status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		klog.ErrorS(err, "cannot encode a response of the administration API", "path", string(c.Path()))
		c.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	c.SetStatusCode(status)
	c.SetContentType("application/json")
	c.SetBody(append(b, '\n'))
}

// respondError writes an error response.
func (c *call) respondError(status int, format string, args ...any) {
	c.respond(status, Error{Error: fmt.Sprintf(format, args...)})
}

// handleReadError responds to a request that could not be read.
func handleReadError(ctx *fasthttp.RequestCtx, err error) {
	c := &call{RequestCtx: ctx}
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		c.respondError(fasthttp.StatusRequestEntityTooLarge, "the body has more than %d bytes", state.MaxTicketBytes)
		return
	}
	c.respondError(fasthttp.StatusBadRequest, "bad request: %v", err)
}

func (s *Server) healthz(c *call) { c.respond(fasthttp.StatusOK, struct{}{}) }

func (s *Server) readyz(c *call) {
	status := s.control.Status()
	switch {
	case status.Draining:
		c.respondError(fasthttp.StatusServiceUnavailable, "draining")
	case !status.Serving:
		c.respondError(fasthttp.StatusServiceUnavailable, "no usable lease")
	default:
		c.respond(fasthttp.StatusOK, struct{}{})
	}
}

func (s *Server) metrics(c *call) {
	c.SetContentType("text/plain; version=0.0.4; charset=utf-8")
	writeMetrics(c, s.metricsSet)
}

func (s *Server) drain(c *call) {
	if err := s.control.Drain(); err != nil {
		c.respondError(fasthttp.StatusConflict, "%v", err)
		return
	}
	klog.InfoS("drain requested", "sender", c.credential.Name, "remote", c.RemoteAddr().String())
	c.respond(fasthttp.StatusAccepted, s.control.Status())
}
