package cmd

import (
	"io"
	"net/url"
	"os"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"pollenlatch"
	"pollenlatch/admin"
)

var applyCommand = command{
	name:    "ticket apply",
	args:    "FILE",
	summary: "send a ticket and wait until it is in force everywhere",
	examples: []string{
		"ticket apply examples/board/ticket.yaml",
		"ticket apply --wait accepted --admin 10.1.0.11:7002 --token-file office.token next.yaml",
		"ticket apply - < next.yaml",
	},
	setup: func(f *flags) func(*env) error {
		var file string
		wait := admin.WaitInForce
		c := newClient(f)
		f.positionalVar(&file, "FILE")
		f.stringVar(&wait, "w", "wait", "return when the ticket is accepted or in-force")
		return func(e *env) error {
			if err := c.resolveFlags(e); err != nil {
				return err
			}
			return c.applyTicket(file, wait)
		}
	},
}

var showCommand = command{
	name:     "ticket show",
	args:     "NUMBER",
	summary:  "show a decided ticket with its text",
	examples: []string{"ticket show 12", "ticket show -o json 12"},
	setup: func(f *flags) func(*env) error {
		var number string
		c := newClient(f)
		f.positionalVar(&number, "NUMBER")
		return func(e *env) error {
			if err := c.resolveFlags(e); err != nil {
				return err
			}
			return c.showTicket(number)
		}
	},
}

var listCommand = command{
	name:     "ticket list",
	summary:  "list decided tickets, newest first",
	examples: []string{"ticket list", "ticket list --limit 5 --before 100"},
	setup: func(f *flags) func(*env) error {
		var before uint64
		limit := uint64(20)
		c := newClient(f)
		f.uint64Var(&before, "", "before", "list tickets with lower numbers only")
		f.uint64Var(&limit, "n", "limit", "list at most this many")
		return func(e *env) error {
			if err := c.resolveFlags(e); err != nil {
				return err
			}
			return c.listTickets(before, limit)
		}
	},
}

var diffCommand = command{
	name:     "ticket diff",
	args:     "FILE",
	summary:  "tell what a ticket would change, without sending it for decision",
	examples: []string{"ticket diff next.yaml", "ticket diff -o json - < next.yaml"},
	setup: func(f *flags) func(*env) error {
		var file string
		c := newClient(f)
		f.positionalVar(&file, "FILE")
		return func(e *env) error {
			if err := c.resolveFlags(e); err != nil {
				return err
			}
			return c.diffTicket(file)
		}
	},
}

// readFile returns the content of a file or of standard input.
func (e *env) readFile(file string) (string, error) {
	if file == stdinFile {
		b, err := io.ReadAll(e.stdin)
		return string(b), err
	}
	b, err := os.ReadFile(file)
	if err != nil {
		return "", exitf(exitUsage, "%w", err)
	}
	return string(b), nil
}

func (c *client) applyTicket(file, wait string) error {
	if wait != admin.WaitAccepted && wait != admin.WaitInForce {
		return exitf(exitUsage, "--wait %s is neither %s nor %s", wait, admin.WaitAccepted, admin.WaitInForce)
	}
	text, err := c.env.readTicket(file)
	if err != nil {
		return err
	}
	var d admin.Decision
	query := url.Values{"wait": {wait}, "timeout": {c.timeout.String()}}
	resp, err := c.sendWithRetries("POST", "/v1/tickets", query, []byte(text), &d, fasthttp.StatusConflict, fasthttp.StatusUnprocessableEntity)
	if err != nil {
		return err
	}
	c.printResponse(resp, func(t *table) { t.line("ticket %d: %s", d.Verdict.Number, verdictText(d)) })
	switch {
	case !d.Verdict.Accepted:
		return exitf(exitFailed, "ticket %d is refused:\n%s", d.Verdict.Number, joinFaults(d.Verdict.Faults))
	case wait == admin.WaitInForce && !d.InForce:
		return exitf(exitRetry, "ticket %d is accepted but not in force everywhere after %v; run the command again to go on waiting", d.Verdict.Number, c.timeout)
	}
	return nil
}

func verdictText(d admin.Decision) string {
	switch {
	case !d.Verdict.Accepted:
		return "refused, next number " + strconv.FormatUint(d.Verdict.Next, 10)
	case d.InForce:
		return "accepted at version " + versionText(d.Verdict.Version) + ", in force everywhere"
	default:
		return "accepted at version " + versionText(d.Verdict.Version)
	}
}

func versionText(v pollenlatch.Version) string { return strconv.FormatUint(uint64(v), 10) }

func (c *client) showTicket(number string) error {
	if _, err := strconv.ParseUint(number, 10, 64); err != nil {
		return exitf(exitUsage, "%q is not a ticket number", number)
	}
	var r admin.TicketRecord
	resp, err := c.sendWithRetries("GET", "/v1/tickets/"+number, nil, nil, &r)
	if err != nil {
		return err
	}
	c.printResponse(resp, func(t *table) {
		t.row("number", r.Number)
		t.row("sender", r.Sender)
		t.row("sent", formatMillis(r.ReceivedAt))
		t.row("verdict", verdictText(admin.Decision{Verdict: r.Verdict, InForce: r.InForce}))
		for _, f := range r.Verdict.Faults {
			t.row("fault", f)
		}
		if r.Text == "" {
			t.line("\nthe text is no longer kept")
			return
		}
		t.line("\n%s", r.Text)
	})
	return nil
}

func formatMillis(millis int64) string { return time.UnixMilli(millis).UTC().Format(time.RFC3339) }

func (c *client) listTickets(before, limit uint64) error {
	query := url.Values{"limit": {strconv.FormatUint(limit, 10)}}
	if before > 0 {
		query.Set("before", strconv.FormatUint(before, 10))
	}
	var list admin.TicketList
	resp, err := c.sendWithRetries("GET", "/v1/tickets", query, nil, &list)
	if err != nil {
		return err
	}
	c.printResponse(resp, func(t *table) {
		t.row("NUMBER", "VERDICT", "VERSION", "SENT", "SENDER")
		for _, r := range list.Tickets {
			verdict := "refused"
			if r.Verdict.Accepted {
				verdict = "accepted"
			}
			t.row(r.Number, verdict, r.Verdict.Version, formatMillis(r.ReceivedAt), orDash(r.Sender))
		}
		t.line("next number %d", list.NextNumber)
	})
	return nil
}

func (c *client) diffTicket(file string) error {
	text, err := c.env.readTicket(file)
	if err != nil {
		return err
	}
	var d admin.TicketDiff
	resp, err := c.sendWithRetries("POST", "/v1/tickets/diff", nil, []byte(text), &d, fasthttp.StatusUnprocessableEntity)
	if err != nil {
		return err
	}
	c.printResponse(resp, func(t *table) {
		if len(d.Changes) == 0 {
			t.line("no change")
			return
		}
		t.row("FIELD", "NOW", "NEW")
		for _, ch := range d.Changes {
			t.row(ch.Path, orDash(ch.Old), orDash(ch.New))
		}
	})
	if len(d.Faults) > 0 {
		return exitf(exitFailed, "ticket %d would be refused now:\n%s", d.Number, joinFaults(d.Faults))
	}
	return nil
}
