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
	// hangTimeout ends operations that hang. It is far above the time that correct
	// runs take, so no verdict depends on it.
	hangTimeout = 60 * time.Second
	// pollInterval is the delay between two evaluations of a condition.
	pollInterval = 20 * time.Millisecond
)

// scenario is the state on which the commands of one scenario act.
type scenario struct {
	deployment *Deployment
	caller     *Caller
	baselines  map[string]uint64          // counts at the first evaluation, by condition
	background map[string]chan sendResult // requests sent with -bg, by identifier
	trafficErr chan error                 // first error of the traffic
}

// sendResult is the result of one attempt of Caller.Send.
type sendResult struct {
	outcome, detail string
	err             error
}

type scenarioKey struct{}

// Setup prepares a scenario. It is used as testscript.Params.Setup.
func Setup(e *testscript.Env) error {
	binDir, _, _ := strings.Cut(e.Getenv("PATH"), string(os.PathListSeparator))
	d, err := NewDeployment(e.WorkDir, binDir)
	if err != nil {
		return err
	}
	sc := &scenario{
		deployment: d, caller: NewCaller(), baselines: make(map[string]uint64),
		background: make(map[string]chan sendResult), trafficErr: make(chan error, 1),
	}
	e.Values[scenarioKey{}] = sc
	e.Defer(func() {
		d.Close()
		sc.caller.StopTraffic()
	})
	return nil
}

// Command implements a command of a scenario.
type Command = func(ts *testscript.TestScript, neg bool, args []string)

// Commands returns the commands that docs/scenarios.md describes, for
// testscript.Params.Cmds.
func Commands() map[string]Command {
	// The plain commands can't be negated.
	plain := map[string]func(sc *scenario, args []string) error{
		"instance": (*scenario).instance,
		"start":    (*scenario).start,
		"shut":     (*scenario).shut,
		"crash":    (*scenario).crash,
		"pause":    func(sc *scenario, a []string) error { return sc.signalAll(a, syscall.SIGSTOP) },
		"resume":   func(sc *scenario, a []string) error { return sc.signalAll(a, syscall.SIGCONT) },
		"freeze":   func(sc *scenario, a []string) error { return sc.signalAll(serverParts(a), syscall.SIGSTOP) },
		"thaw":     func(sc *scenario, a []string) error { return sc.signalAll(serverParts(a), syscall.SIGCONT) },
		"cut":      func(sc *scenario, a []string) error { return sc.changeNetwork(a, sc.deployment.Network.Cut) },
		"heal":     func(sc *scenario, a []string) error { return sc.changeNetwork(a, sc.deployment.Network.Heal) },
		"reload":   func(sc *scenario, a []string) error { return sc.signalAll(a, syscall.SIGHUP) },
		"drain":    func(sc *scenario, a []string) error { return sc.signalAll(serverParts(a), syscall.SIGUSR1) },
		"fault":    (*scenario).fault,
		"lose":     (*scenario).lose,
		"init":     (*scenario).init,
		"traffic":  (*scenario).traffic,
		"send":     (*scenario).send,
		"await":    (*scenario).await,
		"check":    (*scenario).check,
	}
	cmds := map[string]Command{
		"expect": expect, "let": let, "ticket": ticketCommand, "tickets": ticketsCommand, "race": raceCommand, "admin": adminCommand,
	}
	for name, f := range plain {
		cmds[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			if neg {
				ts.Fatalf("%s can't be negated", name)
			}
			sc := scenarioOf(ts)
			if err := f(sc, args); err != nil {
				ts.Fatalf("%v\n%s", err, sc.logTails())
			}
		}
	}
	return cmds
}

func scenarioOf(ts *testscript.TestScript) *scenario { return ts.Value(scenarioKey{}).(*scenario) }

// logTails returns the last lines of the logs of all processes.
func (sc *scenario) logTails() string {
	var b strings.Builder
	for _, i := range sc.deployment.instances {
		for _, p := range []*process{i.daemon, i.server} {
			if p != nil {
				fmt.Fprintf(&b, "--- %s, running: %v\n%s\n", filepath.Base(p.logFile), p.running(), p.logTail())
			}
		}
	}
	return b.String()
}

// instance implements: instance NAME DC [voter] [SERVICE] [unfenced].
func (sc *scenario) instance(args []string) error {
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
	return sc.deployment.Add(i)
}

// Parts of an instance, which follow its name and a slash in an argument.
const (
	partDaemon = "daemon"
	partServer = "server"
)

// serverParts turns names of instances into arguments for their servers.
func serverParts(names []string) []string {
	out := make([]string, len(names))
	for i, n := range names {
		out[i] = n + "/" + partServer
	}
	return out
}

// selection is what an argument such as a-1/server selects: the daemon of an
// instance, its server or both.
type selection struct {
	*Instance
	daemon, server bool
}

// selectParts parses arguments that name instances or their parts. Without arguments
// it selects all instances.
func (sc *scenario) selectParts(args []string) ([]selection, error) {
	if len(args) == 0 {
		for _, i := range sc.deployment.instances {
			args = append(args, i.Name)
		}
	}
	var out []selection
	for _, a := range args {
		name, part, _ := strings.Cut(a, "/")
		i, err := sc.deployment.Find(name)
		if err != nil {
			return nil, err
		}
		if part != "" && part != partDaemon && part != partServer {
			return nil, fmt.Errorf("%s: part %q is neither %s nor %s", a, part, partDaemon, partServer)
		}
		if part == partServer && i.Service == "" {
			return nil, fmt.Errorf("%s: instance %s has no server", a, name)
		}
		out = append(out, selection{i, part != partServer, part != partDaemon && i.Service != ""})
	}
	return out, nil
}

func (sc *scenario) start(args []string) error {
	selections, err := sc.selectParts(args)
	if err != nil {
		return err
	}
	for _, sel := range selections {
		if sel.daemon {
			if err := sc.deployment.StartDaemon(sel.Instance); err != nil {
				return err
			}
		}
		if sel.server {
			if err := sc.deployment.StartServer(sel.Instance); err != nil {
				return err
			}
		}
	}
	return nil
}

// signalAll sends a signal to the selected processes.
func (sc *scenario) signalAll(args []string, s syscall.Signal) error {
	selections, err := sc.selectParts(args)
	if err != nil {
		return err
	}
	for _, sel := range selections {
		for p, selected := range map[*process]bool{sel.Instance.daemon: sel.daemon, sel.Instance.server: sel.server} {
			if !selected {
				continue
			}
			if err := p.signal(s); err != nil {
				return fmt.Errorf("%s: %w", sel.Name, err)
			}
		}
	}
	return nil
}

// crash kills the selected processes and waits for their end.
func (sc *scenario) crash(args []string) error {
	if err := sc.signalAll(args, syscall.SIGKILL); err != nil {
		return err
	}
	selections, _ := sc.selectParts(args)
	for _, sel := range selections {
		if sel.daemon {
			<-sel.Instance.daemon.done
		}
		if sel.server {
			<-sel.Instance.server.done
		}
	}
	return nil
}

// shut ends processes gracefully. As a service manager does, it waits for the end of
// the daemon before it ends the server.
func (sc *scenario) shut(args []string) error {
	selections, err := sc.selectParts(args)
	if err != nil {
		return err
	}
	for _, sel := range selections {
		for _, p := range []struct {
			*process
			selected bool
		}{{sel.Instance.daemon, sel.daemon}, {sel.Instance.server, sel.server}} {
			if !p.selected {
				continue
			}
			if err := p.signal(syscall.SIGTERM); err != nil {
				return fmt.Errorf("%s: %w", sel.Name, err)
			}
			select {
			case <-p.done:
			case <-time.After(hangTimeout):
				return fmt.Errorf("%s: process has not exited after SIGTERM", p.logFile)
			}
			if p.exitErr != nil {
				return fmt.Errorf("%s: %w", p.logFile, p.exitErr)
			}
		}
	}
	return nil
}

// changeNetwork applies f, which cuts or heals, between two instances or between one
// and all others.
func (sc *scenario) changeNetwork(args []string, f func(a, b string)) error {
	if len(args) < 1 || len(args) > 2 {
		return errors.New("usage: cut or heal NAME [NAME]")
	}
	for _, a := range args {
		if _, err := sc.deployment.Find(a); err != nil {
			return err
		}
	}
	f(args[0], append(args, "")[1])
	return nil
}

// lose removes the data folder of a voter whose daemon is not running.
func (sc *scenario) lose(args []string) error {
	if len(args) != 1 {
		return errors.New("usage: lose NAME")
	}
	i, err := sc.deployment.Find(args[0])
	if err != nil {
		return err
	}
	if i.daemon.running() {
		return fmt.Errorf("the daemon of %s is still running", i.Name)
	}
	return os.RemoveAll(sc.deployment.DataDir(i))
}

func (sc *scenario) init(args []string) error {
	if len(args) != 1 {
		return errors.New("usage: init NAME")
	}
	i, err := sc.deployment.Find(args[0])
	if err != nil {
		return err
	}
	return sc.deployment.Init(i)
}

// fault replaces the injected faults of a server: fault NAME JSON.
func (sc *scenario) fault(args []string) error {
	if len(args) != 2 {
		return errors.New("usage: fault NAME JSON")
	}
	i, err := sc.deployment.Find(args[0])
	if err != nil {
		return err
	}
	resp, err := operatorClient.Post("http://"+i.addr(serverPort)+sample.PathFault, "application/json", strings.NewReader(args[1]))
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("inject fault at %s: status %d", i.Name, resp.StatusCode)
	}
	return nil
}

// traffic starts or stops the background traffic: traffic SERVICE [WORKERS], or
// traffic stop.
func (sc *scenario) traffic(args []string) error {
	if len(args) == 0 || len(args) > 2 {
		return errors.New("usage: traffic SERVICE [WORKERS] or traffic stop")
	}
	if args[0] == "stop" {
		return sc.stopTraffic()
	}
	workers := 2 * len(sc.deployment.instances)
	if len(args) == 2 {
		n, err := strconv.Atoi(args[1])
		if err != nil || n < 1 || n > 64 {
			return fmt.Errorf("number of workers must be between 1 and 64, not %s", args[1])
		}
		workers = n
	}
	var fronts []string
	for _, i := range sc.deployment.instances {
		fronts = append(fronts, i.addr(frontPort))
	}
	sc.caller.StartTraffic(workers, args[0], fronts, func(err error) {
		select {
		case sc.trafficErr <- err:
		default:
		}
	})
	return nil
}

// stopTraffic stops the traffic and returns its first error.
func (sc *scenario) stopTraffic() error {
	sc.caller.StopTraffic()
	select {
	case err := <-sc.trafficErr:
		return err
	default:
		return nil
	}
}

const sendUsage = "usage: send [-id ID] [-timeout TIME] [-key IDEMPOTENCYKEY] [-attempt N] [-bg] FROM SERVICE KEY OUTCOME"

// send sends a request through an instance and checks its outcome. If run is
// expected, it retries after each not-run; any other outcome is expected of the
// first attempt.
func (sc *scenario) send(args []string) error {
	q := claim{timeout: 10 * time.Second}
	inBackground := false
	for len(args) > 0 && strings.HasPrefix(args[0], "-") {
		if args[0] == "-bg" {
			inBackground, args = true, args[1:]
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
	if len(args) != 4 && (len(args) != 3 || !inBackground) {
		return errors.New(sendUsage)
	}
	i, err := sc.deployment.Find(args[0])
	if err != nil {
		return err
	}
	q.front, q.service, q.key = i.addr(frontPort), args[1], args[2]
	if q.id == "" {
		q.id = fmt.Sprintf("sent-%d", sc.caller.lastID.Add(1))
	}
	if inBackground {
		c := make(chan sendResult, 1)
		sc.background[q.id] = c
		go func() { c <- sc.sendOnce(q) }()
		return nil
	}
	for end := time.Now().Add(hangTimeout); ; {
		r := sc.sendOnce(q)
		if args[3] != outcomeRun || r.outcome != outcomeNotRun || r.err != nil || time.Now().After(end) {
			return r.checkOutcome(q.id, args[3])
		}
		time.Sleep(pollInterval)
	}
}

func (sc *scenario) sendOnce(q claim) (r sendResult) {
	ctx, cancel := context.WithTimeout(context.Background(), hangTimeout)
	defer cancel()
	r.outcome, r.detail, r.err = sc.caller.Send(ctx, q)
	return r
}

// checkOutcome returns an error unless the outcome is one of those in want, which are
// separated by "|".
func (r sendResult) checkOutcome(id, want string) error {
	if r.err != nil {
		return r.err
	}
	if !slices.Contains(strings.Split(want, "|"), r.outcome) {
		return fmt.Errorf("request %s: outcome %s, want %s: %s", id, r.outcome, want, r.detail)
	}
	return nil
}

// await waits for a request that was sent with -bg and checks its outcome.
func (sc *scenario) await(args []string) error {
	if len(args) != 2 || sc.background[args[0]] == nil {
		return errors.New("usage: await ID OUTCOME, after send -bg -id ID")
	}
	return (<-sc.background[args[0]]).checkOutcome(args[0], args[1])
}

// check stops the traffic and compares the outcomes that callers received with the
// runs at the servers.
func (sc *scenario) check([]string) error {
	if err := sc.stopTraffic(); err != nil {
		return err
	}
	runs, err := sc.deployment.Runs()
	if err != nil {
		return err
	}
	sc.caller.mu.Lock()
	outcomes := maps.Clone(sc.caller.outcomes)
	sc.caller.mu.Unlock()
	if found := FindContradictions(outcomes, runs); len(found) > 0 {
		return fmt.Errorf("%d contradictions among %d requests and %d runs:\n%s", len(found), len(outcomes), len(runs), strings.Join(found, "\n"))
	}
	return nil
}
