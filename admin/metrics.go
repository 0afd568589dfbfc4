package admin

import (
	"io"
	"net"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"
)

// pathMetrics is where the figures of a process are read.
const pathMetrics = "/metrics"

// MetricsServer serves the figures of a process as text, without a token, for
// addresses that only the operator's own network reaches.
type MetricsServer struct {
	Set *metrics.Set
}

// Serve answers until l closes.
func (m MetricsServer) Serve(l net.Listener) error {
	s := &fasthttp.Server{Handler: m.handle, NoDefaultServerHeader: true, GetOnly: true}
	return s.Serve(l)
}

func (m MetricsServer) handle(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != pathMetrics {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	ctx.SetContentType("text/plain; version=0.0.4; charset=utf-8")
	writeMetrics(ctx, m.Set)
}

// writeMetrics writes the figures of a set, and those of the process.
func writeMetrics(w io.Writer, set *metrics.Set) {
	if set != nil {
		set.WritePrometheus(w)
	}
	metrics.WritePrometheus(w, true)
}
