package admin

import (
	"context"

	"github.com/valyala/fasthttp"

	"pollenlatch/burn"
)

// BurnFunc collects the service-level events of all daemons.
type BurnFunc func(ctx context.Context) (*burn.Summary, error)

// burnReport writes the report on service-level objectives of the whole
// deployment, as JSON, a table or an HTML page.
func (s *Server) burnReport(c *call) {
	if s.burn == nil {
		c.respondError(fasthttp.StatusNotFound, "this instance does not count service-level events")
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, maxTimeout)
	defer cancel()
	summary, err := s.burn(ctx)
	if err != nil {
		c.respondError(fasthttp.StatusInternalServerError, "%v", err)
		return
	}
	services := s.control.View().Services()
	switch format := string(c.QueryArgs().Peek("format")); format {
	case "", "json":
		c.SetContentType("application/json")
		err = summary.Document(services).WriteJSON(c)
	case "table":
		c.SetContentType("text/plain; charset=utf-8")
		err = summary.Document(services).WriteTable(c)
	case "html":
		c.SetContentType("text/html; charset=utf-8")
		err = summary.WriteHTML(c, services)
	default:
		c.respondError(fasthttp.StatusBadRequest, "format %q is none of json, table and html", format)
		return
	}
	if err != nil {
		c.respondError(fasthttp.StatusInternalServerError, "%v", err)
	}
}
