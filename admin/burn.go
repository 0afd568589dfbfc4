package admin

import (
	"context"

	"github.com/valyala/fasthttp"

	"pollenlatch/burn"
)

// BurnFunc collects the service-level events of all daemons.
type BurnFunc func(ctx context.Context) (*burn.Summary, error)

// burnReport answers with the service-level report of the whole deployment, as
// JSON, a table or a page.
func (s *Server) burnReport(c *call) {
	if s.burn == nil {
		c.fail(fasthttp.StatusNotFound, "this instance counts no events")
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, maxWait)
	defer cancel()
	summary, err := s.burn(ctx)
	if err != nil {
		c.fail(fasthttp.StatusInternalServerError, "%v", err)
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
		c.fail(fasthttp.StatusBadRequest, "format %q is none of json, table and html", format)
		return
	}
	if err != nil {
		c.fail(fasthttp.StatusInternalServerError, "%v", err)
	}
}
