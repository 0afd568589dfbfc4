package script

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"pollenlatch/sample"
)

const (
	// hangLimit ends what hangs; no verdict depends on it.
	hangLimit = 60 * time.Second
	// pollInterval is the pause between two looks at a condition.
	pollInterval = 20 * time.Millisecond
)

// world is what the commands of one scenario act on.
type world struct {
	d       *Deployment
	caller  *Caller
	marks   map[string]uint64    // by name
	pending map[string]chan sent // requests under way, by identifier
	failed  chan error
}

type sent struct {
	outcome, detail string
	err             error
}

type worldKey struct{}

// Setup prepares a scenario. It is for testscript.Params.
func Setup(e *testscript.Env) error {
	path, _, _ := strings.Cut(e.Getenv("PATH"), string(os.PathListSeparator))
	d, err := NewDeployment(e.WorkDir, path)
	if err != nil {
		return err
	}
	w := &world{
		d: d, caller: NewCaller(), marks: make(map[string]uint64),
		pending: make(map[string]chan sent), failed: make(chan error, 1),
	}
	e.Values[worldKey{}] = w
	e.Defer(func() {
		d.Close()
		w.caller.StopTraffic()
	})
	return nil
}

// Command is a command of a scenario.
type Command = func(ts *testscript.TestScript, neg bool, args []string)

// Commands returns the commands that docs/scenarios.md describes. They are for
// testscript.Params.
func Commands() map[string]Command {
	all := map[string]func(w *world, args []string) error{
		"instance": (*world).instance,
		"start":    (*world).start,
		"shut":     (*world).stop,
		"crash":    (*world).kill,
		"pause":    func(w *world, a []string) error { return w.each(a, syscall.SIGSTOP) },
		"resume":   func(w *world, a []string) error { return w.each(a, syscall.SIGCONT) },
		"freeze":   func(w *world, a []string) error { return w.each(servers(a), syscall.SIGSTOP) },
		"thaw":     func(w *world, a []string) error { return w.each(servers(a), syscall.SIGCONT) },
		"cut":      func(w *world, a []string) error { return w.network(a, w.d.Network.Cut) },
		"heal":     func(w *world, a []string) error { return w.network(a, w.d.Network.Heal) },
		"reload":   func(w *world, a []string) error { return w.each(a, syscall.SIGHUP) },
		"drain":    func(w *world, a []string) error { return w.each(servers(a), syscall.SIGUSR1) },
		"fault":    (*world).fault,
		"lose":     (*world).lose,
		"init":     (*world).init,
		"traffic":  (*world).traffic,
		"send":     (*world).send,
		"await":    (*world).await,
		"check":    (*world).check,
	}
	cmds := map[string]Command{
		"expect": expect, "let": let, "ticket": ticketCommand, "tickets": ticketsCommand, "race": raceCommand, "admin": adminCommand,
	}
	for name, f := range all {
		cmds[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			if neg {
				ts.Fatalf("%s can't be negated", name)
			}
			w := of(ts)
			if err := f(w, args); err != nil {
				ts.Fatalf("%v\n%s", err, w.logs())
			}
		}
	}
	return cmds
}

func of(ts *testscript.TestScript) *world { return ts.Value(worldKey{}).(*world) }

// logs returns the end of every process's log.
func (w *world) logs() string {
	var b strings.Builder
	for _, i := range w.d.instances {
		for _, p := range []*process{i.daemon, i.server} {
			if p != nil {
				fmt.Fprintf(&b, "--- %s, runs: %v\n%s\n", filepath.Base(p.log), p.runs(), p.tail())
			}
		}
	}
	return b.String()
}

// Instance NAME DC [voter] [SERVICE] [unfenced]
func (w *world) instance(args []string) error {
	if len(args) < 2 {
		return errors.New("usage: instance NAME DC [voter] [SERVICE] [unfenced]")
	}
	i := &Instance{Name: args[0], DC: args[1]}
	for _, a := range args[2:] {
		switch a {
		case "voter":
			i.Voter = true
		case "unfenced":
			i.Unfenced = true
		default:
			i.Service = a
		}
	}
	return w.d.Add(i)
}

// Parts of an instance, behind a slash.
const (
	daemonPart = "daemon"
	serverPart = "server"
)

func servers(names []string) []string {
	out := make([]string, len(names))
	for i, n := range names {
		out[i] = n + "/" + serverPart
	}
	return out
}

// target is a process that an argument such as a-1/server names.
type target struct {
	*Instance
	daemon, server bool
}

// targets reads names of instances and of their parts; none is all instances.
func (w *world) targets(args []string) ([]target, error) {
	if len(args) == 0 {
		for _, i := range w.d.instances {
			args = append(args, i.Name)
		}
	}
	var out []target
	for _, a := range args {
		name, part, _ := strings.Cut(a, "/")
		i, err := w.d.Find(name)
		if err != nil {
			return nil, err
		}
		if part != "" && part != daemonPart && part != serverPart {
			return nil, fmt.Errorf("%s: part %q is neither %s nor %s", a, part, daemonPart, serverPart)
		}
		if part == serverPart && i.Service == "" {
			return nil, fmt.Errorf("%s: instance %s has no server", a, name)
		}
		out = append(out, target{i, part != serverPart, part != daemonPart && i.Service != ""})
	}
	return out, nil
}

func (w *world) start(args []string) error {
	targets, err := w.targets(args)
	if err != nil {
		return err
	}
	for _, t := range targets {
		if t.daemon {
			if err := w.d.StartDaemon(t.Instance); err != nil {
				return err
			}
		}
		if t.server {
			if err := w.d.StartServer(t.Instance); err != nil {
				return err
			}
		}
	}
	return nil
}

func (w *world) each(args []string, s syscall.Signal) error {
	targets, err := w.targets(args)
	if err != nil {
		return err
	}
	for _, t := range targets {
		for p, named := range map[*process]bool{t.Instance.daemon: t.daemon, t.Instance.server: t.server} {
			if !named {
				continue
			}
			if err := p.signal(s); err != nil {
				return fmt.Errorf("%s: %w", t.Name, err)
			}
		}
	}
	return nil
}

func (w *world) kill(args []string) error {
	if err := w.each(args, syscall.SIGKILL); err != nil {
		return err
	}
	targets, _ := w.targets(args)
	for _, t := range targets {
		if t.daemon {
			<-t.Instance.daemon.done
		}
		if t.server {
			<-t.Instance.server.done
		}
	}
	return nil
}

// stop ends the daemon gracefully first, as a service manager does, and then
// the server that it has finished with.
func (w *world) stop(args []string) error {
	targets, err := w.targets(args)
	if err != nil {
		return err
	}
	for _, t := range targets {
		for _, p := range []struct {
			*process
			named bool
		}{{t.Instance.daemon, t.daemon}, {t.Instance.server, t.server}} {
			if !p.named {
				continue
			}
			if err := p.signal(syscall.SIGTERM); err != nil {
				return fmt.Errorf("%s: %w", t.Name, err)
			}
			select {
			case <-p.done:
			case <-time.After(hangLimit):
				return fmt.Errorf("%s has not ended", p.log)
			}
			if p.err != nil {
				return fmt.Errorf("%s: %w", p.log, p.err)
			}
		}
	}
	return nil
}

func (w *world) network(args []string, f func(a, b string)) error {
	if len(args) < 1 || len(args) > 2 {
		return errors.New("usage: cut or heal NAME [NAME]")
	}
	for _, a := range args {
		if _, err := w.d.Find(a); err != nil {
			return err
		}
	}
	f(args[0], append(args, "")[1])
	return nil
}

// lose removes the data folder of a voter that does not run.
func (w *world) lose(args []string) error {
	if len(args) != 1 {
		return errors.New("usage: lose NAME")
	}
	i, err := w.d.Find(args[0])
	if err != nil {
		return err
	}
	if i.daemon.runs() {
		return fmt.Errorf("the daemon of %s runs", i.Name)
	}
	return os.RemoveAll(w.d.DataDir(i))
}

func (w *world) init(args []string) error {
	if len(args) != 1 {
		return errors.New("usage: init NAME")
	}
	i, err := w.d.Find(args[0])
	if err != nil {
		return err
	}
	return w.d.Init(i)
}

// fault NAME JSON replaces the faults of the server of an instance.
func (w *world) fault(args []string) error {
	if len(args) != 2 {
		return errors.New("usage: fault NAME JSON")
	}
	i, err := w.d.Find(args[0])
	if err != nil {
		return err
	}
	resp, err := operator.Post("http://"+i.addr(serverPort)+sample.PathFault, "application/json", strings.NewReader(args[1]))
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("fault at %s: status %d", i.Name, resp.StatusCode)
	}
	return nil
}

// traffic SERVICE [WORKERS], or traffic stop.
func (w *world) traffic(args []string) error {
	if len(args) == 0 || len(args) > 2 {
		return errors.New("usage: traffic SERVICE [WORKERS] or traffic stop")
	}
	if args[0] == "stop" {
		return w.quiet()
	}
	workers := 2 * len(w.d.instances)
	if len(args) == 2 {
		n, err := strconv.Atoi(args[1])
		if err != nil || n < 1 || n > 64 {
			return fmt.Errorf("%s workers: give 1 to 64", args[1])
		}
		workers = n
	}
	var fronts []string
	for _, i := range w.d.instances {
		fronts = append(fronts, i.addr(frontPort))
	}
	w.caller.StartTraffic(workers, args[0], fronts, func(err error) {
		select {
		case w.failed <- err:
		default:
		}
	})
	return nil
}

func (w *world) quiet() error {
	w.caller.StopTraffic()
	select {
	case err := <-w.failed:
		return err
	default:
		return nil
	}
}

const sendUsage = "usage: send [-id ID] [-timeout TIME] [-key IDEMPOTENCYKEY] [-attempt N] [-bg] FROM SERVICE KEY OUTCOME"

// send makes a request at an instance. With outcome run it is repeated after
// each not-run; every other outcome must be that of the only attempt.
func (w *world) send(args []string) error {
	q := claim{timeout: 10 * time.Second}
	back := false
	for len(args) > 0 && strings.HasPrefix(args[0], "-") {
		if args[0] == "-bg" {
			back, args = true, args[1:]
			continue
		}
		if len(args) < 2 {
			return errors.New(sendUsage)
		}
		var err error
		switch args[0] {
		case "-id":
			q.id = args[1]
		case "-timeout":
			q.timeout, err = time.ParseDuration(args[1])
		case "-key":
			q.header = append(q.header, "Idempotency-Key", args[1])
		case "-attempt":
			q.header = append(q.header, "Pollen-Attempt", args[1])
		default:
			err = errors.New(sendUsage)
		}
		if err != nil {
			return err
		}
		args = args[2:]
	}
	if len(args) != 4 && (len(args) != 3 || !back) {
		return errors.New(sendUsage)
	}
	i, err := w.d.Find(args[0])
	if err != nil {
		return err
	}
	q.front, q.service, q.key = i.addr(frontPort), args[1], args[2]
	if q.id == "" {
		q.id = fmt.Sprintf("sent-%d", w.caller.last.Add(1))
	}
	if back {
		c := make(chan sent, 1)
		w.pending[q.id] = c
		go func() { c <- w.attempt(q) }()
		return nil
	}
	for end := time.Now().Add(hangLimit); ; {
		s := w.attempt(q)
		if args[3] != outcomeRun || s.outcome != outcomeNotRun || s.err != nil || time.Now().After(end) {
			return s.compare(q.id, args[3])
		}
		time.Sleep(pollInterval)
	}
}

func (w *world) attempt(q claim) (s sent) {
	ctx, cancel := context.WithTimeout(context.Background(), hangLimit)
	defer cancel()
	s.outcome, s.detail, s.err = w.caller.Send(ctx, q)
	return s
}

func (s sent) compare(id, outcome string) error {
	if s.err != nil {
		return s.err
	}
	if !slices.Contains(strings.Split(outcome, "|"), s.outcome) {
		return fmt.Errorf("request %s: outcome %s, not %s: %s", id, s.outcome, outcome, s.detail)
	}
	return nil
}

// await waits for the answer of a request that was sent in the background.
func (w *world) await(args []string) error {
	if len(args) != 2 || w.pending[args[0]] == nil {
		return errors.New("usage: await ID OUTCOME, after send -bg -id ID")
	}
	return (<-w.pending[args[0]]).compare(args[0], args[1])
}

// check ends the traffic and compares what callers were told with what ran.
func (w *world) check([]string) error {
	if err := w.quiet(); err != nil {
		return err
	}
	runs, err := w.d.Runs()
	if err != nil {
		return err
	}
	w.caller.mu.Lock()
	told := maps.Clone(w.caller.told)
	w.caller.mu.Unlock()
	if faults := FindContradictions(told, runs); len(faults) > 0 {
		return fmt.Errorf("%d faults among %d requests and %d runs:\n%s", len(faults), len(told), len(runs), strings.Join(faults, "\n"))
	}
	return nil
}
