package cmd

import (
	"net/url"
	"strconv"

	"github.com/valyala/fasthttp"

	"pollenlatch/admin"
)

var evacuateCommand = command{
	name:    "evacuate",
	args:    "DC",
	summary: "send no more requests to the servers of a data centre, or end that",
	examples: []string{
		"evacuate howrah --admin 10.1.0.11:7002",
		"evacuate --finish howrah",
	},
	setup: func(f *flags) func(*env) error {
		var dc string
		var finish bool
		c := newClient(f)
		f.positionalVar(&dc, "DC")
		f.boolVar(&finish, "", "finish", "end the evacuation")
		return func(e *env) error {
			if err := c.resolveFlags(e); err != nil {
				return err
			}
			return c.evacuate(dc, finish)
		}
	},
}

func (c *client) evacuate(dc string, finish bool) error {
	var d admin.Decision
	query := url.Values{"dc": {dc}, "finish": {strconv.FormatBool(finish)}, "wait": {admin.WaitInForce}, "timeout": {c.timeout.String()}}
	resp, err := c.sendWithRetries("POST", "/v1/evacuate", query, nil, &d, fasthttp.StatusUnprocessableEntity)
	if err != nil {
		return err
	}
	if !d.Verdict.Accepted {
		return exitf(exitFailed, "the order is refused:\n%s", joinFaults(d.Verdict.Faults))
	}
	c.printResponse(resp, func(t *table) {
		state, force := "evacuated", ""
		if finish {
			state = "no longer evacuated"
		}
		if d.InForce {
			force = ", in force everywhere"
		}
		t.line("%s: %s at version %s%s", dc, state, versionText(d.Verdict.Version), force)
	})
	if !d.InForce {
		return exitf(exitRetry, "the order is accepted but not in force everywhere after %v; run the command again to go on waiting", c.timeout)
	}
	return nil
}
