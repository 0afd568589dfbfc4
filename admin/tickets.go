package admin

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
	"k8s.io/klog/v2"

	"pollenlatch"
	"pollenlatch/state"
	"pollenlatch/ticket"
)

// Values of the query argument wait.
const (
	WaitAccepted = "accepted" // answer when the ticket is decided
	WaitInForce  = "in-force" // answer when it is in force everywhere
)

// Bounds of a list of tickets.
const (
	defaultList = 20
	maxList     = 1000
)

// applyTicket has the group decide on a ticket, and waits until it is in force
// when the caller asks for it.
func (s *Server) applyTicket(c *call) {
	wait := string(c.QueryArgs().Peek("wait"))
	if wait != "" && wait != WaitAccepted && wait != WaitInForce {
		c.fail(fasthttp.StatusBadRequest, "wait=%s is neither %s nor %s", wait, WaitAccepted, WaitInForce)
		return
	}
	timeout, ok := c.timeout()
	if !ok {
		return
	}
	text := string(c.PostBody())
	number, spec, err := ticket.Parse(text)
	if err != nil {
		c.reply(fasthttp.StatusUnprocessableEntity, Decision{Verdict: pollenlatch.Verdict{
			Number: number, Faults: ticket.Faults(err), Next: s.control.View().NextTicket(),
		}})
		return
	}
	if why := c.grant.refuses(spec); why != "" {
		c.fail(fasthttp.StatusForbidden, "%s", why)
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, timeout)
	defer cancel()
	v, err := s.control.Propose(ctx, text, c.grant.Name)
	if err != nil || v.Retry {
		c.undecided(number, err)
		return
	}
	klog.InfoS("ticket decided", "number", v.Number, "accepted", v.Accepted, "version", v.Version, "sender", c.grant.Name)
	d := Decision{Verdict: v}
	if v.Accepted {
		d.InForce = s.awaitInForce(ctx, v.Version, wait == WaitInForce)
	}
	c.reply(statusOf(d, wait), d)
}

func (c *call) undecided(number uint64, err error) {
	why := "no leader"
	if err != nil && !errors.Is(err, context.DeadlineExceeded) && !errors.Is(err, context.Canceled) {
		why = err.Error()
	}
	c.Response.Header.Set("Retry-After", "1")
	c.fail(fasthttp.StatusServiceUnavailable, "ticket %d is not known to be decided (%s); send it again, the same text gets one verdict", number, why)
}

func statusOf(d Decision, wait string) int {
	v := d.Verdict
	switch {
	case !v.Accepted && len(v.Faults) > 0 && strings.HasPrefix(v.Faults[0], state.NumberFaultPrefix):
		return fasthttp.StatusConflict
	case !v.Accepted:
		return fasthttp.StatusUnprocessableEntity
	case wait == WaitInForce && !d.InForce:
		return fasthttp.StatusAccepted
	default:
		return fasthttp.StatusOK
	}
}

// awaitInForce reports whether the version is in force, waiting for it until
// ctx ends if asked to.
func (s *Server) awaitInForce(ctx context.Context, v pollenlatch.Version, wait bool) bool {
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for !s.control.InForce(v) {
		if !wait {
			return false
		}
		select {
		case <-ctx.Done():
			return false
		case <-t.C:
		}
	}
	return true
}

// timeout returns the query argument timeout, and answers when it is wrong.
func (c *call) timeout() (time.Duration, bool) {
	text := string(c.QueryArgs().Peek("timeout"))
	if text == "" {
		return defaultWait, true
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 || d > maxWait {
		c.fail(fasthttp.StatusBadRequest, "timeout=%s is not a time with a unit up to %v", text, maxWait)
		return 0, false
	}
	return d, true
}

// number returns a query argument, and answers when it is not a number.
func (c *call) number(name string, value uint64) (uint64, bool) {
	text := string(c.QueryArgs().Peek(name))
	if text == "" {
		return value, true
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		c.fail(fasthttp.StatusBadRequest, "%s=%s is not a number", name, text)
	}
	return n, err == nil
}

func (s *Server) listTickets(c *call) {
	before, ok := c.number("before", 0)
	if !ok {
		return
	}
	limit, ok := c.number("limit", defaultList)
	if !ok {
		return
	}
	view := s.control.View()
	list := view.Tickets(before, int(min(limit, maxList)))
	for i := range list {
		list[i].Text = ""
	}
	if list == nil {
		list = []state.TicketRecord{}
	}
	c.reply(fasthttp.StatusOK, TicketList{Tickets: list, NextNumber: view.NextTicket()})
}

func (s *Server) showTicket(c *call) {
	n, err := strconv.ParseUint(c.rest, 10, 64)
	if err != nil {
		c.fail(fasthttp.StatusBadRequest, "%q is not a ticket number", c.rest)
		return
	}
	view := s.control.View()
	r, ok := view.Ticket(n)
	switch {
	case !ok && n > 0 && n < view.NextTicket():
		c.fail(fasthttp.StatusGone, "ticket %d was decided so long ago that its record is no longer kept", n)
	case !ok:
		c.fail(fasthttp.StatusNotFound, "there is no ticket %d; the next number is %d", n, view.NextTicket())
	default:
		c.reply(fasthttp.StatusOK, TicketRecord{TicketRecord: r, InForce: r.Verdict.Accepted && s.control.InForce(r.Verdict.Version)})
	}
}

// diffTicket tells what a ticket would change, without proposing it.
func (s *Server) diffTicket(c *call) {
	text := string(c.PostBody())
	view := s.control.View()
	number, spec, err := ticket.Parse(text)
	d := TicketDiff{Number: number, NextNumber: view.NextTicket(), Changes: []ticket.Change{}}
	if err != nil {
		d.Faults = ticket.Faults(err)
		c.reply(fasthttp.StatusUnprocessableEntity, d)
		return
	}
	base := pollenlatch.Spec{Services: view.Services(), Callers: view.Callers(), Voters: view.Voters()}
	d.Changes = append(d.Changes, ticket.Diff(base, ticket.Merge(base, spec))...)
	t := &pollenlatch.Ticket{Number: number, Text: text, Spec: spec}
	v, ok := view.Decided(t)
	switch {
	case !ok:
		d.Faults = view.TicketFaults(t)
	case !v.Accepted:
		d.Faults = v.Faults
	}
	c.reply(fasthttp.StatusOK, d)
}
