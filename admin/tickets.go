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
	WaitAccepted = "accepted" // respond when the ticket is decided
	WaitInForce  = "in-force" // respond when the ticket is in force at every instance that may serve
)

// Limits on the number of tickets in a list.
const (
	defaultListLimit = 20
	maxListLimit     = 1000
)

// applyTicket submits a ticket to the group and, if requested, waits until it is in
// force.
func (s *Server) applyTicket(c *call) {
	wait, ok := c.waitArg()
	if !ok {
		return
	}
	timeout, ok := c.timeoutArg()
	if !ok {
		return
	}
	text := string(c.PostBody())
	number, spec, err := ticket.Parse(text)
	if err != nil {
		c.respond(fasthttp.StatusUnprocessableEntity, Decision{Verdict: pollenlatch.Verdict{
			Number: number, Faults: ticket.Faults(err), Next: s.control.View().NextTicket(),
		}})
		return
	}
	if reason := c.credential.denyReason(spec); reason != "" {
		c.respondError(fasthttp.StatusForbidden, "%s", reason)
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, timeout)
	defer cancel()
	v, err := s.control.Propose(ctx, text, c.credential.Name)
	if err != nil || v.Retry {
		c.respondUndecided(number, err)
		return
	}
	klog.InfoS("ticket decided", "number", v.Number, "accepted", v.Accepted, "version", v.Version, "sender", c.credential.Name)
	d := Decision{Verdict: v}
	if v.Accepted {
		d.InForce = s.awaitInForce(ctx, v.Version, wait == WaitInForce)
	}
	c.respond(decisionStatus(d, wait), d)
}

// respondUndecided responds that it is unknown whether a ticket was decided.
func (c *call) respondUndecided(number uint64, err error) {
	c.Response.Header.Set("Retry-After", "1")
	c.respondError(fasthttp.StatusServiceUnavailable, "ticket %d is not known to be decided (%s); send it again, the same text gets one verdict", number, undecidedCause(err))
}

// undecidedCause describes why it is unknown whether something was decided.
func undecidedCause(err error) string {
	if err != nil && !errors.Is(err, context.DeadlineExceeded) && !errors.Is(err, context.Canceled) {
		return err.Error()
	}
	return "no leader"
}

// decisionStatus returns the HTTP status of a decision.
func decisionStatus(d Decision, wait string) int {
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

// awaitInForce reports whether the version is in force. If wait is set, it waits
// for that until ctx ends.
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

// waitArg returns the query argument wait. It responds with an error and returns false
// if the argument is invalid.
func (c *call) waitArg() (string, bool) {
	wait := string(c.QueryArgs().Peek("wait"))
	if wait != "" && wait != WaitAccepted && wait != WaitInForce {
		c.respondError(fasthttp.StatusBadRequest, "wait=%s is neither %s nor %s", wait, WaitAccepted, WaitInForce)
		return "", false
	}
	return wait, true
}

// timeoutArg returns the query argument timeout. It responds with an error and
// returns false if the argument is invalid.
func (c *call) timeoutArg() (time.Duration, bool) {
	arg := string(c.QueryArgs().Peek("timeout"))
	if arg == "" {
		return defaultTimeout, true
	}
	d, err := time.ParseDuration(arg)
	if err != nil || d <= 0 || d > maxTimeout {
		c.respondError(fasthttp.StatusBadRequest, "timeout=%s is not a time with a unit up to %v", arg, maxTimeout)
		return 0, false
	}
	return d, true
}

// uintArg returns a numeric query argument. It responds with an error and returns
// false if the argument is not a number.
func (c *call) uintArg(name string, defaultValue uint64) (uint64, bool) {
	arg := string(c.QueryArgs().Peek(name))
	if arg == "" {
		return defaultValue, true
	}
	n, err := strconv.ParseUint(arg, 10, 64)
	if err != nil {
		c.respondError(fasthttp.StatusBadRequest, "%s=%s is not a number", name, arg)
	}
	return n, err == nil
}

func (s *Server) listTickets(c *call) {
	before, ok := c.uintArg("before", 0)
	if !ok {
		return
	}
	limit, ok := c.uintArg("limit", defaultListLimit)
	if !ok {
		return
	}
	view := s.control.View()
	list := view.Tickets(before, int(min(limit, maxListLimit)))
	for i := range list {
		list[i].Text = ""
	}
	if list == nil {
		list = []state.TicketRecord{}
	}
	c.respond(fasthttp.StatusOK, TicketList{Tickets: list, NextNumber: view.NextTicket()})
}

func (s *Server) showTicket(c *call) {
	n, err := strconv.ParseUint(c.pathParam, 10, 64)
	if err != nil {
		c.respondError(fasthttp.StatusBadRequest, "%q is not a ticket number", c.pathParam)
		return
	}
	view := s.control.View()
	r, ok := view.Ticket(n)
	switch {
	case !ok && n > 0 && n < view.NextTicket():
		c.respondError(fasthttp.StatusGone, "ticket %d was decided so long ago that its record is no longer kept", n)
	case !ok:
		c.respondError(fasthttp.StatusNotFound, "there is no ticket %d; the next number is %d", n, view.NextTicket())
	default:
		c.respond(fasthttp.StatusOK, TicketRecord{TicketRecord: r, InForce: r.Verdict.Accepted && s.control.InForce(r.Verdict.Version)})
	}
}

// diffTicket responds with what a ticket would change, without proposing it.
func (s *Server) diffTicket(c *call) {
	text := string(c.PostBody())
	view := s.control.View()
	number, spec, err := ticket.Parse(text)
	d := TicketDiff{Number: number, NextNumber: view.NextTicket(), Changes: []ticket.Change{}}
	if err != nil {
		d.Faults = ticket.Faults(err)
		c.respond(fasthttp.StatusUnprocessableEntity, d)
		return
	}
	current := pollenlatch.Spec{Services: view.Services(), Callers: view.Callers(), Voters: view.Voters()}
	d.Changes = append(d.Changes, ticket.Diff(current, ticket.Merge(current, spec))...)
	t := &pollenlatch.Ticket{Number: number, Text: text, Spec: spec}
	v, ok := view.Decided(t)
	switch {
	case !ok:
		d.Faults = view.TicketFaults(t)
	case !v.Accepted:
		d.Faults = v.Faults
	}
	c.respond(fasthttp.StatusOK, d)
}
