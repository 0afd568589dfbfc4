package cmd

import (
	"net/url"

	"github.com/valyala/fasthttp"
)

// outputHTML is the format of a self-contained HTML page with plots.
const outputHTML = "html"

var burnCommand = command{
	name:     "report burn",
	summary:  "show how fast the services spend their error budgets",
	examples: []string{"report burn", "report burn -o html > burn.html"},
	setup: func(f *flags) func(*env) error {
		c := newClient(f)
		c.allowedOutputs = []string{outputTable, outputJSON, outputHTML}
		return func(e *env) error {
			if err := c.resolveFlags(e); err != nil {
				return err
			}
			return c.printBurnReport()
		}
	},
}

// printBurnReport prints the report in the format in which the instance sent it.
func (c *client) printBurnReport() error {
	resp, err := c.sendOnce(fasthttp.MethodGet, "/v1/burn", url.Values{"format": {c.output}}, nil)
	if err != nil {
		return &exitError{code: exitRetry, err: err}
	}
	if resp.status != fasthttp.StatusOK {
		return c.decode(resp, nil, nil)
	}
	_, err = c.env.stdout.Write(resp.body)
	return err
}
