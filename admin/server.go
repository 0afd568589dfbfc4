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
	ErrConfig  = errors.New("administration API")
	ErrExposed = errors.New("administration API without tokens listens on an address that is not loopback")
)

// Times and sizes of the server.
const (
	readTimeout = 10 * time.Second
	idleTimeout = 60 * time.Second
	maxConns    = 64 // of one IP address
	// maxWait is the longest wait of a request; a ticket is in force
	// everywhere within 11 s.
	maxWait     = 30 * time.Second
	defaultWait = 15 * time.Second
	// pollInterval is how often a request looks whether its ticket is in force.
	pollInterval = 20 * time.Millisecond
)

// Config is what a server is made of.
type Config struct {
	Control Control
	Tokens  []Token      // none: everyone may do everything, on loopback only
	Burn    BurnFunc     // nil: no service-level report
	Metrics *metrics.Set // shown besides those of the process; may be nil
}

// Server serves the administration API. Use New.
type Server struct {
	control Control
	grants  []grant
	http    *fasthttp.Server
	burn    BurnFunc
	set     *metrics.Set
	ctx     context.Context // ends at Shutdown
	stop    context.CancelFunc
	done    chan struct{}
	once    sync.Once
}

// New returns a server. The error wraps ErrConfig.
func New(cfg Config) (*Server, error) {
	if cfg.Control == nil {
		return nil, fmt.Errorf("%w: no control", ErrConfig)
	}
	list, err := grants(cfg.Tokens)
	if err != nil {
		return nil, err
	}
	s := &Server{control: cfg.Control, grants: list, burn: cfg.Burn, set: cfg.Metrics, done: make(chan struct{})}
	s.ctx, s.stop = context.WithCancel(context.Background())
	s.http = &fasthttp.Server{
		Handler:                      s.Handle,
		Name:                         "pollenlatch",
		ReadTimeout:                  readTimeout,
		WriteTimeout:                 maxWait + readTimeout,
		IdleTimeout:                  idleTimeout,
		MaxConnsPerIP:                maxConns,
		MaxRequestBodySize:           state.MaxTicketBytes,
		DisablePreParseMultipartForm: true,
		CloseOnShutdown:              true,
		ErrorHandler:                 badRequest,
		Logger:                       logger{},
	}
	return s, nil
}

// Serve answers requests of the listener until Shutdown. It refuses a listener
// that is not on loopback when there are no tokens.
func (s *Server) Serve(l net.Listener) error {
	defer s.once.Do(func() { close(s.done) })
	if a, ok := l.Addr().(*net.TCPAddr); len(s.grants) == 0 && ok && !a.IP.IsLoopback() {
		return fmt.Errorf("%w: %v", ErrExposed, a)
	}
	return s.http.Serve(l)
}

// Shutdown ends waiting requests and closes the server.
func (s *Server) Shutdown(ctx context.Context) error {
	s.stop()
	return s.http.ShutdownWithContext(ctx)
}

// Done is closed when Serve has returned.
func (s *Server) Done() <-chan struct{} { return s.done }

// logger takes what fasthttp says of broken connections.
type logger struct{}

// Printf logs at a verbosity that is usually off, since callers cause it.
func (logger) Printf(format string, args ...any) { klog.V(2).Infof(format, args...) }

// route is one operation of the API.
type route struct {
	method string
	path   string // a final {} stands for one more path element
	scope  conf.Scope
	handle func(*Server, *call)
}

// free marks operations that need no token.
const free conf.Scope = ""

var routes = []route{
	{"GET", "/healthz", free, (*Server).healthz},
	{"GET", "/readyz", free, (*Server).readyz},
	{"GET", pathMetrics, conf.Read, (*Server).metrics},
	{"GET", "/v1/status", conf.Read, (*Server).status},
	{"GET", "/v1/owner", conf.Read, (*Server).owner},
	{"GET", "/v1/tickets", conf.Read, (*Server).listTickets},
	{"GET", "/v1/tickets/{}", conf.Read, (*Server).showTicket},
	{"POST", "/v1/tickets", conf.Tickets, (*Server).applyTicket},
	{"POST", "/v1/tickets/diff", conf.Read, (*Server).diffTicket},
	{"GET", "/v1/burn", conf.Read, (*Server).burnReport},
	{"POST", "/v1/drain", conf.Everything, (*Server).drain},
}

// call is one request being answered.
type call struct {
	*fasthttp.RequestCtx
	grant grant
	rest  string // the path element that stands for {}
}

// Handle answers one request.
func (s *Server) Handle(ctx *fasthttp.RequestCtx) {
	c := &call{RequestCtx: ctx, grant: open}
	path, known := string(ctx.Path()), false
	for _, r := range routes {
		rest, ok := match(r.path, path)
		known = known || ok
		if !ok || r.method != string(ctx.Method()) {
			continue
		}
		c.rest = rest
		if s.allowed(c, r) {
			r.handle(s, c)
		}
		return
	}
	if known {
		c.fail(fasthttp.StatusMethodNotAllowed, "method %s is not allowed here", ctx.Method())
		return
	}
	c.fail(fasthttp.StatusNotFound, "no such path")
}

func match(pattern, path string) (rest string, ok bool) {
	prefix, open := strings.CutSuffix(pattern, "{}")
	if !open {
		return "", pattern == path
	}
	rest, ok = strings.CutPrefix(path, prefix)
	return rest, ok && rest != "" && !strings.Contains(rest, "/")
}

// allowed checks the token, and answers when the call may not go on.
func (s *Server) allowed(c *call, r route) bool {
	if r.scope == free {
		return true
	}
	if len(s.grants) == 0 {
		return c.local()
	}
	secret, ok := bearer(string(c.Request.Header.Peek("Authorization")))
	if ok {
		c.grant, ok = find(s.grants, secret)
	}
	if !ok {
		c.Response.Header.Set("WWW-Authenticate", "Bearer")
		c.fail(fasthttp.StatusUnauthorized, "a valid token is needed: Authorization: Bearer SECRET")
		return false
	}
	if !covers(c.grant.Scope, r.scope) {
		c.fail(fasthttp.StatusForbidden, "token %q has scope %s; this needs %s", c.grant.Name, c.grant.Scope, r.scope)
		return false
	}
	return true
}

func covers(have, need conf.Scope) bool {
	return have == need || have == conf.Everything || need == conf.Read
}

// local refuses what a browser may send to loopback on behalf of a web page:
// requests under a foreign host name, and requests with an origin.
func (c *call) local() bool {
	host := string(c.Host())
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	if ip := net.ParseIP(strings.Trim(host, "[]")); host != "localhost" && (ip == nil || !ip.IsLoopback()) {
		c.fail(fasthttp.StatusForbidden, "without tokens the host must be a loopback address, not %q", host)
		return false
	}
	if len(c.Request.Header.Peek("Origin")) > 0 {
		c.fail(fasthttp.StatusForbidden, "without tokens web pages may not use the API")
		return false
	}
	return true
}

// reply answers with a JSON body.
func (c *call) reply(status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		klog.ErrorS(err, "cannot encode an answer of the administration API", "path", string(c.Path()))
		c.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	c.SetStatusCode(status)
	c.SetContentType("application/json")
	c.SetBody(append(b, '\n'))
}

func (c *call) fail(status int, format string, args ...any) {
	c.reply(status, Error{Error: fmt.Sprintf(format, args...)})
}

// badRequest answers a request that could not be read.
func badRequest(ctx *fasthttp.RequestCtx, err error) {
	c := &call{RequestCtx: ctx}
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		c.fail(fasthttp.StatusRequestEntityTooLarge, "the body has more than %d bytes", state.MaxTicketBytes)
		return
	}
	c.fail(fasthttp.StatusBadRequest, "bad request: %v", err)
}

func (s *Server) healthz(c *call) { c.reply(fasthttp.StatusOK, struct{}{}) }

func (s *Server) readyz(c *call) {
	p := s.control.Status()
	switch {
	case p.Draining:
		c.fail(fasthttp.StatusServiceUnavailable, "draining")
	case !p.Serving:
		c.fail(fasthttp.StatusServiceUnavailable, "no usable lease")
	default:
		c.reply(fasthttp.StatusOK, struct{}{})
	}
}

func (s *Server) metrics(c *call) {
	c.SetContentType("text/plain; version=0.0.4; charset=utf-8")
	writeMetrics(c, s.set)
}

func (s *Server) drain(c *call) {
	if err := s.control.Drain(); err != nil {
		c.fail(fasthttp.StatusConflict, "%v", err)
		return
	}
	klog.InfoS("drain requested", "sender", c.grant.Name, "remote", c.RemoteAddr().String())
	c.reply(fasthttp.StatusAccepted, s.control.Status())
}
