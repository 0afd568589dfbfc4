package admin

import (
	"context"

	"github.com/valyala/fasthttp"
	"k8s.io/klog/v2"

	"pollenlatch"
)

// evacuate submits an order to evacuate a data centre, or to end that, and if requested
// waits until it is in force.
func (s *Server) evacuate(c *call) {
	order := pollenlatch.Evacuate{DC: string(c.QueryArgs().Peek("dc")), Finish: c.QueryArgs().GetBool("finish")}
	if err := order.Check(); err != nil {
		c.respondError(fasthttp.StatusBadRequest, "dc: %v", err)
		return
	}
	wait, ok := c.waitArg()
	if !ok {
		return
	}
	timeout, ok := c.timeoutArg()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, timeout)
	defer cancel()
	v, err := s.control.Evacuate(ctx, order)
	if err != nil || v.Retry {
		c.Response.Header.Set("Retry-After", "1")
		c.respondError(fasthttp.StatusServiceUnavailable, "the order is not known to be decided (%s); send it again, a repeated order changes nothing", undecidedCause(err))
		return
	}
	klog.InfoS("evacuation ordered", "dc", order.DC, "finish", order.Finish, "accepted", v.Accepted, "version", v.Version, "sender", c.credential.Name)
	d := Decision{Verdict: v}
	if v.Accepted {
		d.InForce = s.awaitInForce(ctx, v.Version, wait == WaitInForce)
	}
	c.respond(decisionStatus(d, wait), d)
}
