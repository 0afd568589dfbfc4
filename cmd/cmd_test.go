package cmd

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
	"pollenlatch/admin"
	"pollenlatch/conf"
	"pollenlatch/state"
	"pollenlatch/ticket"
)

// group decides on tickets at once, after a number of proposals without leader.
type group struct {
	*state.State
	leaderless int
	force      pollenlatch.Version
	drained    bool
}

func (g *group) View() admin.View                   { return g.State }
func (g *group) InForce(v pollenlatch.Version) bool { return v <= g.force }
func (g *group) Status() admin.ProcessStatus {
	return admin.ProcessStatus{Name: "a", Serving: true, Voter: true}
}
func (g *group) Assignment(pollenlatch.Owner) (o admin.Assignment, ok bool) { return o, false }
func (g *group) Drain() error                                               { g.drained = true; return nil }
func (g *group) apply(c pollenlatch.Command) (res state.Result) {
	g.State, res = g.Apply(g.Version()+1, &c)
	return res
}

func (g *group) Propose(_ context.Context, text, sender string) (pollenlatch.Verdict, error) {
	if g.leaderless > 0 {
		g.leaderless--
		return pollenlatch.Verdict{Retry: true}, nil
	}
	number, spec, err := ticket.Parse(text)
	if err != nil {
		return pollenlatch.Verdict{}, err
	}
	return *g.apply(pollenlatch.Command{Ticket: &pollenlatch.Ticket{Number: number, Text: text, Sender: sender, ReceivedAt: 5000, Spec: spec}}).Verdict, nil
}

// program runs commands against an instance on loopback.
type program struct {
	t     *testing.T
	g     *group
	admin string
	stdin string
	vars  map[string]string
}

func start(t *testing.T, tokens ...admin.Token) *program {
	t.Helper()
	g := &group{State: new(state.State), force: 1 << 40}
	s, err := admin.New(admin.Config{Control: g, Tokens: tokens})
	require.NoError(t, err)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() {
		require.NoError(t, s.Shutdown(context.Background()))
		<-s.Done()
	})
	return &program{t: t, g: g, admin: l.Addr().String(), vars: make(map[string]string)}
}

// run runs a command and returns its exit code and output.
func (p *program) run(args ...string) (code int, stdout, stderr string) {
	p.t.Helper()
	var out, err bytes.Buffer
	p.vars[adminVar] = p.admin
	code = run(args, &env{
		stdin:  strings.NewReader(p.stdin),
		stdout: &out,
		stderr: &err,
		getenv: func(name string) string { return p.vars[name] },
		pause:  time.Millisecond,
	})
	return code, out.String(), err.String()
}

func file(t *testing.T, text string) string {
	t.Helper()
	name := filepath.Join(t.TempDir(), "f.yaml")
	require.NoError(t, os.WriteFile(name, []byte(text), 0o600))
	return name
}

const (
	first  = "number: 1\nservices: [{name: listing, keyed: true, ranges: 4}]\n"
	second = "number: 2\nservices: [{name: listing, keyed: true, ranges: 4, maxrun: 3s}]\n"
)

// A script relies on the exit code: a refused ticket that exits with 0 is
// taken for accepted.
func TestTicketCommands(t *testing.T) {
	p := start(t)
	one := file(t, first)

	code, out, _ := p.run("ticket", "apply", one)
	require.Equal(t, exitOK, code)
	require.Equal(t, "ticket 1: accepted at version 1, in force everywhere\n", out)

	t.Run("again", func(t *testing.T) {
		code, again, _ := p.run("ticket", "apply", "--wait", "accepted", one)
		require.Equal(t, exitOK, code)
		require.Equal(t, out, again)
	})
	t.Run("from standard input, as JSON", func(t *testing.T) {
		p.stdin = second
		code, out, _ := p.run("ticket", "apply", "-o", "json", "-")
		require.Equal(t, exitOK, code)
		var d admin.Decision
		require.NoError(t, json.Unmarshal([]byte(out), &d))
		require.EqualValues(t, 2, d.Verdict.Number)
	})
	t.Run("refused", func(t *testing.T) {
		code, _, errs := p.run("ticket", "apply", file(t, first+"# changed\n"))
		require.Equal(t, exitFailed, code)
		require.Contains(t, errs, "holds another ticket")
	})
	t.Run("faults name the file", func(t *testing.T) {
		bad := file(t, "number: 3\nservices: [{name: x, maxrun: 5}]\n")
		code, _, errs := p.run("ticket", "apply", bad)
		require.Equal(t, exitFailed, code)
		require.Contains(t, errs, bad+":2: services[0].maxrun: must be a time with a unit")
	})
	t.Run("not in force in time", func(t *testing.T) {
		p.g.force = 0
		defer func() { p.g.force = 1 << 40 }()
		code, out, errs := p.run("ticket", "apply", "--timeout", "30ms", one)
		require.Equal(t, exitRetry, code)
		require.Equal(t, "ticket 1: accepted at version 1\n", out)
		require.Contains(t, errs, "not in force")
	})
	t.Run("sent again while there is no leader", func(t *testing.T) {
		p.g.leaderless = 3
		code, _, _ := p.run("ticket", "apply", one)
		require.Equal(t, exitOK, code)
		require.Zero(t, p.g.leaderless)
		p.g.leaderless = 1 << 30
		code, _, errs := p.run("ticket", "apply", "--timeout", "20ms", one)
		p.g.leaderless = 0
		require.Equal(t, exitRetry, code)
		require.Contains(t, errs, "send it again")
	})
	t.Run("diff", func(t *testing.T) {
		code, out, _ := p.run("ticket", "diff", file(t, strings.Replace(second, "number: 2", "number: 3", 1)))
		require.Equal(t, exitOK, code)
		require.Equal(t, "no change\n", out)
		code, out, errs := p.run("ticket", "diff", file(t, "number: 9\nremove: [listing]\n"))
		require.Equal(t, exitFailed, code)
		require.Contains(t, out, "services[listing].maxrun")
		require.Contains(t, errs, "leaves a gap")
	})
	t.Run("show and list", func(t *testing.T) {
		code, out, _ := p.run("ticket", "show", "1")
		require.Equal(t, exitOK, code)
		require.Contains(t, out, "1970-01-01T00:00:05Z")
		require.Contains(t, out, first)
		code, _, errs := p.run("ticket", "show", "77")
		require.Equal(t, exitFailed, code)
		require.Contains(t, errs, "there is no ticket 77")
		code, out, _ = p.run("ticket", "list", "--limit", "1")
		require.Equal(t, exitOK, code)
		require.Contains(t, out, "2       accepted")
		require.NotContains(t, out, "1       accepted")
		require.Contains(t, out, "next number 3")
	})
}

// An operator in a hurry reads these two before anything else.
func TestStatusAndOwner(t *testing.T) {
	p := start(t)
	p.g.apply(pollenlatch.Command{Ticket: &pollenlatch.Ticket{Number: 1, Spec: pollenlatch.Spec{
		Services: []pollenlatch.Service{{Name: "listing", Keyed: true, MaxRun: time.Second}},
	}}})
	code, out, errs := p.run("owner", "listing", "lot 1")
	require.Equal(t, exitFailed, code)
	require.Contains(t, out, "no instance has owned it yet")
	require.Contains(t, errs, `nobody owns key "lot 1" of service listing`)
	p.g.apply(pollenlatch.Command{Join: &pollenlatch.Join{Name: "howrah-1", DC: "howrah", Incarnation: 1}})
	p.g.apply(pollenlatch.Command{Assign: &pollenlatch.Assign{Items: []pollenlatch.AssignItem{{Shard: pollenlatch.Shard{Service: "listing"}, To: 1}}}})
	code, out, _ = p.run("owner", "listing", "lot 1")
	require.Equal(t, exitOK, code)
	require.Regexp(t, `owner +howrah-1`, out)
	require.Regexp(t, `why +assigned by log entry 3`, out)

	code, out, _ = p.run("status", "--instances")
	require.Equal(t, exitOK, code)
	require.Regexp(t, `role +voter`, out)
	require.Regexp(t, `listing +yes +1 +0`, out)
	require.Regexp(t, `howrah-1 +howrah +2`, out)
	code, _, _ = p.run("drain")
	require.Equal(t, exitOK, code)
	require.True(t, p.g.drained)
}

func TestTokens(t *testing.T) {
	secret := strings.Repeat("s", conf.MinToken)
	p := start(t, admin.Token{Name: "mon", Secret: []byte(secret), Scope: conf.Read})
	code, _, errs := p.run("status")
	require.Equal(t, exitNoRight, code)
	require.Contains(t, errs, "a valid token is needed")
	p.vars[tokenVar] = file(t, secret+"\n")
	code, _, _ = p.run("status")
	require.Equal(t, exitOK, code)
	code, _, errs = p.run("drain")
	require.Equal(t, exitNoRight, code)
	require.Contains(t, errs, "has scope read")
}

// Wrong usage must neither end the test process nor be taken for success.
func TestUsage(t *testing.T) {
	p := start(t)
	for _, c := range []struct {
		args   string
		code   int
		output string
	}{
		{"", exitUsage, "usage: pollenlatch COMMAND"},
		{"nonsense", exitUsage, `there is no command "nonsense"`},
		{"ticket", exitUsage, "ticket apply"},
		{"ticket --help", exitOK, "ticket diff"},
		{"help", exitOK, "exit codes"},
		{"help ticket apply", exitOK, "pollenlatch ticket apply - < next.yaml"},
		{"--help", exitOK, "drain"},
		{"ticket apply --help", exitOK, "--wait"},
		{"status -h", exitOK, "--instances"},
		{"ticket apply", exitUsage, "FILE is missing"},
		{"ticket apply a b", exitUsage, "Unexpected argument: b"},
		{"status --nonsense", exitUsage, "Unknown arguments supplied:  nonsense"},
		{"owner listing", exitUsage, "KEY is missing"},
		{"owner listing -- -k", exitFailed, "there is no service \"listing\""},
		{"owner listing -- -k x", exitUsage, "unexpected argument: x"},
		{"status -o xml", exitUsage, "--output xml is not one of table, json"},
		{"status --timeout 1h", exitUsage, "--timeout 1h0m0s is not above 0"},
		{"status --timeout x", exitUsage, "invalid duration"},
		{"status --token-file /nonexistent", exitUsage, "no such file"},
		{"ticket apply --wait long x", exitUsage, "--wait long is neither"},
		{"ticket apply /nonexistent", exitUsage, "no such file"},
		{"status --admin 127.0.0.1:1", exitRetry, "no answer from 127.0.0.1:1"},
		{"check ../examples/board/ticket.yaml", exitOK, "ticket 1 is in order: 3 services"},
		{"check ../examples/board/howrah-1.yaml", exitOK, "settings of instance howrah-1"},
		{"check --secrets ../examples/board/howrah-1.yaml", exitFailed, "keyfile: stat /etc/pollenlatch/key"},
		{"check -o xml ../examples/board/ticket.yaml", exitUsage, "--output xml is neither"},
		{"check -o json ../examples/board/ticket.yaml", exitOK, `"kind": "ticket",`},
		{"check -o json cmd.go", exitFailed, `"text": "YAML syntax: found character`},
		{"version", exitOK, "pollenlatch dev"},
		{"--version", exitOK, "pollenlatch dev"},
	} {
		t.Run(c.args, func(t *testing.T) {
			code, out, errs := p.run(strings.Fields(c.args)...)
			require.Equal(t, c.code, code, errs)
			require.Contains(t, out+errs, c.output)
		})
	}
	for _, c := range commands {
		t.Run("examples of "+c.name, func(t *testing.T) {
			require.NotEmpty(t, c.examples)
			for _, x := range c.examples {
				found, _, ok := find(strings.Fields(x))
				require.True(t, ok)
				require.Equal(t, c.name, found.name)
			}
		})
	}
}
