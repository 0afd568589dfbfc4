package admin

import (
	"io"
	"net"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"
)

// metricsPath is the path of the metrics of a process.
const metricsPath = "/metrics"

// MetricsServer serves the metrics of a process in the Prometheus text format. It
// needs no token, so it must listen where only the operator's own network can
// connect.
type MetricsServer struct {
	Set *metrics.Set
}

// Serve handles requests until l is closed.
func (m MetricsServer) Serve(l net.Listener) error {
	s := &fasthttp.Server{Handler: m.handle, NoDefaultServerHeader: true, GetOnly: true}
	return s.Serve(l)
}

func (m MetricsServer) handle(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != metricsPath {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	ctx.SetContentType("text/plain; version=0.0.4; charset=utf-8")
	writeMetrics(ctx, m.Set)
}

// writeMetrics writes the metrics of the set, which may be nil, and those of the
// Go runtime and the process.
func writeMetrics(w io.Writer, set *metrics.Set) {
	if set != nil {
		set.WritePrometheus(w)
	}
	metrics.WritePrometheus(w, true)
}
