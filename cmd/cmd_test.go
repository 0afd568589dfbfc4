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

// fakeControl decides on tickets at once, after a number of proposals that fail for
// lack of a leader.
type fakeControl struct {
	*state.State
	leaderlessProposals int
	inForceVersion      pollenlatch.Version
	drained             bool
}

func (f *fakeControl) View() admin.View                   { return f.State }
func (f *fakeControl) InForce(v pollenlatch.Version) bool { return v <= f.inForceVersion }
func (f *fakeControl) Status() admin.ProcessStatus {
	return admin.ProcessStatus{Name: "a", Serving: true, Voter: true}
}
func (f *fakeControl) Assignment(pollenlatch.Owner) (o admin.Assignment, ok bool) { return o, false }
func (f *fakeControl) Drain() error                                               { f.drained = true; return nil }
func (f *fakeControl) apply(c pollenlatch.Command) (res state.Result) {
	f.State, res = f.Apply(f.Version()+1, &c)
	return res
}

func (f *fakeControl) Evacuate(_ context.Context, e pollenlatch.Evacuate) (pollenlatch.Verdict, error) {
	if f.leaderlessProposals > 0 {
		f.leaderlessProposals--
		return pollenlatch.Verdict{}, context.DeadlineExceeded
	}
	e.Known = f.Version()
	return *f.apply(pollenlatch.Command{Evacuate: &e}).Verdict, nil
}

func (f *fakeControl) Propose(_ context.Context, text, sender string) (pollenlatch.Verdict, error) {
	if f.leaderlessProposals > 0 {
		f.leaderlessProposals--
		return pollenlatch.Verdict{Retry: true}, nil
	}
	number, spec, err := ticket.Parse(text)
	if err != nil {
		return pollenlatch.Verdict{}, err
	}
	return *f.apply(pollenlatch.Command{Ticket: &pollenlatch.Ticket{Number: number, Text: text, Sender: sender, ReceivedAt: 5000, Spec: spec}}).Verdict, nil
}

// commandRunner runs commands against the administration API of an instance on
// loopback.
type commandRunner struct {
	t         *testing.T
	control   *fakeControl
	adminAddr string
	stdin     string
	environ   map[string]string
}

func startInstance(t *testing.T, tokens ...admin.Token) *commandRunner {
	t.Helper()
	control := &fakeControl{State: new(state.State), inForceVersion: 1 << 40}
	s, err := admin.New(admin.Config{Control: control, Tokens: tokens})
	require.NoError(t, err)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() {
		require.NoError(t, s.Shutdown(context.Background()))
		<-s.Done()
	})
	return &commandRunner{t: t, control: control, adminAddr: l.Addr().String(), environ: make(map[string]string)}
}

// run runs a command and returns its exit code and output.
func (r *commandRunner) run(args ...string) (code int, stdout, stderr string) {
	r.t.Helper()
	var out, errOut bytes.Buffer
	r.environ[adminEnvVar] = r.adminAddr
	code = run(args, &env{
		stdin:         strings.NewReader(r.stdin),
		stdout:        &out,
		stderr:        &errOut,
		getenv:        func(name string) string { return r.environ[name] },
		retryInterval: time.Millisecond,
	})
	return code, out.String(), errOut.String()
}

func writeTempFile(t *testing.T, text string) string {
	t.Helper()
	name := filepath.Join(t.TempDir(), "f.yaml")
	require.NoError(t, os.WriteFile(name, []byte(text), 0o600))
	return name
}

const (
	firstTicket  = "number: 1\nservices: [{name: listing, keyed: true, ranges: 4}]\n"
	secondTicket = "number: 2\nservices: [{name: listing, keyed: true, ranges: 4, maxrun: 3s}]\n"
)

// Exit codes must be right: a script takes a refused ticket for accepted if the
// command exits with 0.
func TestTicketCommands(t *testing.T) {
	r := startInstance(t)
	ticketFile := writeTempFile(t, firstTicket)

	code, out, _ := r.run("ticket", "apply", ticketFile)
	require.Equal(t, exitOK, code)
	require.Equal(t, "ticket 1: accepted at version 1, in force everywhere\n", out)

	t.Run("ticket sent twice", func(t *testing.T) {
		code, secondOut, _ := r.run("ticket", "apply", "--wait", "accepted", ticketFile)
		require.Equal(t, exitOK, code)
		require.Equal(t, out, secondOut)
	})
	t.Run("from standard input, as JSON", func(t *testing.T) {
		r.stdin = secondTicket
		code, out, _ := r.run("ticket", "apply", "-o", "json", "-")
		require.Equal(t, exitOK, code)
		var d admin.Decision
		require.NoError(t, json.Unmarshal([]byte(out), &d))
		require.EqualValues(t, 2, d.Verdict.Number)
	})
	t.Run("refused", func(t *testing.T) {
		code, _, errs := r.run("ticket", "apply", writeTempFile(t, firstTicket+"# changed\n"))
		require.Equal(t, exitFailed, code)
		require.Contains(t, errs, "holds another ticket")
	})
	t.Run("faults name the file", func(t *testing.T) {
		badFile := writeTempFile(t, "number: 3\nservices: [{name: x, maxrun: 5}]\n")
		code, _, errs := r.run("ticket", "apply", badFile)
		require.Equal(t, exitFailed, code)
		require.Contains(t, errs, badFile+":2: services[0].maxrun: must be a time with a unit")
	})
	t.Run("not in force in time", func(t *testing.T) {
		r.control.inForceVersion = 0
		defer func() { r.control.inForceVersion = 1 << 40 }()
		code, out, errs := r.run("ticket", "apply", "--timeout", "30ms", ticketFile)
		require.Equal(t, exitRetry, code)
		require.Equal(t, "ticket 1: accepted at version 1\n", out)
		require.Contains(t, errs, "not in force")
	})
	t.Run("retried without a leader", func(t *testing.T) {
		r.control.leaderlessProposals = 3
		code, _, _ := r.run("ticket", "apply", ticketFile)
		require.Equal(t, exitOK, code)
		require.Zero(t, r.control.leaderlessProposals)
		r.control.leaderlessProposals = 1 << 30
		code, _, errs := r.run("ticket", "apply", "--timeout", "20ms", ticketFile)
		r.control.leaderlessProposals = 0
		require.Equal(t, exitRetry, code)
		require.Contains(t, errs, "send it again")
	})
	t.Run("diff", func(t *testing.T) {
		code, out, _ := r.run("ticket", "diff", writeTempFile(t, strings.Replace(secondTicket, "number: 2", "number: 3", 1)))
		require.Equal(t, exitOK, code)
		require.Equal(t, "no change\n", out)
		code, out, errs := r.run("ticket", "diff", writeTempFile(t, "number: 9\nremove: [listing]\n"))
		require.Equal(t, exitFailed, code)
		require.Contains(t, out, "services[listing].maxrun")
		require.Contains(t, errs, "leaves a gap")
	})
	t.Run("show and list", func(t *testing.T) {
		code, out, _ := r.run("ticket", "show", "1")
		require.Equal(t, exitOK, code)
		require.Contains(t, out, "1970-01-01T00:00:05Z")
		require.Contains(t, out, firstTicket)
		code, _, errs := r.run("ticket", "show", "77")
		require.Equal(t, exitFailed, code)
		require.Contains(t, errs, "there is no ticket 77")
		code, out, _ = r.run("ticket", "list", "--limit", "1")
		require.Equal(t, exitOK, code)
		require.Contains(t, out, "2       accepted")
		require.NotContains(t, out, "1       accepted")
		require.Contains(t, out, "next number 3")
	})
}

// The output of status and owner must be right: operators look at it first in an
// incident.
func TestStatusAndOwner(t *testing.T) {
	r := startInstance(t)
	r.control.apply(pollenlatch.Command{Ticket: &pollenlatch.Ticket{Number: 1, Spec: pollenlatch.Spec{
		Services: []pollenlatch.Service{{Name: "listing", Keyed: true, MaxRun: time.Second}},
	}}})
	code, out, errs := r.run("owner", "listing", "lot 1")
	require.Equal(t, exitFailed, code)
	require.Contains(t, out, "no instance has owned it yet")
	require.Contains(t, errs, `nobody owns key "lot 1" of service listing`)
	r.control.apply(pollenlatch.Command{Join: &pollenlatch.Join{Name: "howrah-1", DC: "howrah", Incarnation: 1}})
	r.control.apply(pollenlatch.Command{Assign: &pollenlatch.Assign{Items: []pollenlatch.AssignItem{{Shard: pollenlatch.Shard{Service: "listing"}, To: 1}}}})
	code, out, _ = r.run("owner", "listing", "lot 1")
	require.Equal(t, exitOK, code)
	require.Regexp(t, `owner +howrah-1`, out)
	require.Regexp(t, `why +assigned by log entry 3`, out)

	code, out, _ = r.run("status", "--instances")
	require.Equal(t, exitOK, code)
	require.Regexp(t, `role +voter`, out)
	require.Regexp(t, `listing +yes +1 +0`, out)
	require.Regexp(t, `howrah-1 +howrah +2`, out)
	code, _, _ = r.run("drain")
	require.Equal(t, exitOK, code)
	require.True(t, r.control.drained)
}

func TestTokens(t *testing.T) {
	secret := strings.Repeat("s", conf.MinTokenBytes)
	r := startInstance(t, admin.Token{Name: "mon", Secret: []byte(secret), Scope: conf.ScopeRead})
	code, _, errs := r.run("status")
	require.Equal(t, exitForbidden, code)
	require.Contains(t, errs, "a valid token is needed")
	r.environ[tokenFileEnvVar] = writeTempFile(t, secret+"\n")
	code, _, _ = r.run("status")
	require.Equal(t, exitOK, code)
	code, _, errs = r.run("drain")
	require.Equal(t, exitForbidden, code)
	require.Contains(t, errs, "has scope read")
}

// Wrong usage must return an exit code other than 0, and must not exit the test
// process, as flaggy does by default.
func TestUsage(t *testing.T) {
	r := startInstance(t)
	for _, tc := range []struct {
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
		t.Run(tc.args, func(t *testing.T) {
			code, out, errs := r.run(strings.Fields(tc.args)...)
			require.Equal(t, tc.code, code, errs)
			require.Contains(t, out+errs, tc.output)
		})
	}
	for _, c := range commands {
		t.Run("examples of "+c.name, func(t *testing.T) {
			require.NotEmpty(t, c.examples)
			for _, x := range c.examples {
				found, _, ok := findCommand(strings.Fields(x))
				require.True(t, ok)
				require.Equal(t, c.name, found.name)
			}
		})
	}
}

// An operator must see whether an evacuation is in force before work begins in the data
// centre.
func TestEvacuateCommand(t *testing.T) {
	r := startInstance(t)
	r.control.leaderlessProposals = 2
	code, out, stderr := r.run("evacuate", "howrah")
	require.Equal(t, exitOK, code, stderr)
	require.Equal(t, "howrah: evacuated at version 1, in force everywhere\n", out)
	_, out, _ = r.run("status")
	require.Regexp(t, `evacuated +howrah`, out)
	code, out, _ = r.run("evacuate", "--finish", "howrah")
	require.Equal(t, exitOK, code)
	require.Equal(t, "howrah: no longer evacuated at version 2, in force everywhere\n", out)
	_, out, _ = r.run("status", "--instances")
	require.Regexp(t, `evacuated +-`, out)
	code, _, _ = r.run("evacuate")
	require.Equal(t, exitUsage, code)
	r.control.inForceVersion = 0
	code, _, stderr = r.run("evacuate", "--timeout", "50ms", "howrah")
	require.Equal(t, exitRetry, code)
	require.Contains(t, stderr, "not in force everywhere")
}
