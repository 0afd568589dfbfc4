package cmd

import (
	"net/url"

	"github.com/valyala/fasthttp"
)

// outputHTML is a self-contained page with plots.
const outputHTML = "html"

var burnCommand = command{
	name:     "report burn",
	about:    "show how fast the services spend their error budgets",
	examples: []string{"report burn", "report burn -o html > burn.html"},
	setup: func(f *flags) func(*env) error {
		c := newClient(f)
		c.outputs = []string{outputTable, outputJSON, outputHTML}
		return func(e *env) error {
			if err := c.open(e); err != nil {
				return err
			}
			return c.burn()
		}
	},
}

// burn prints the report in the form in which the instance wrote it.
func (c *client) burn() error {
	a, err := c.do(fasthttp.MethodGet, "/v1/burn", url.Values{"format": {c.output}}, nil)
	if err != nil {
		return &exitError{code: exitRetry, err: err}
	}
	if a.status != fasthttp.StatusOK {
		return c.decode(a, nil, nil)
	}
	_, err = c.env.stdout.Write(a.body)
	return err
}
