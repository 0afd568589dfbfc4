package script

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"pollenlatch/admin"
	"pollenlatch/burn"
)

// operatorClient calls the administration API. Each request uses its own connection,
// so that a paused process does not delay later requests. The timeout leaves room for
// the burn report, which waits 2 s for a missing daemon.
var operatorClient = http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 10 * time.Second}

// getJSON decodes the response to a GET request to the administration API.
func (i *Instance) getJSON(path string, v any) error {
	resp, err := operatorClient.Get("http://" + i.addr(adminPort) + path)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s of %s: status %d", path, i.Name, resp.StatusCode)
	}
	return json.NewDecoder(resp.Body).Decode(v)
}

// overshootPrefix begins the text seen when a condition can no longer become true, so
// that expect fails at once.
const overshootPrefix = "too many: "

// condition reports whether a condition holds now. seen describes the present state
// for the error message.
type condition func(sc *scenario, args []string) (ok bool, seen string)

// conditions holds the conditions of the command expect with their arguments.
var conditions = map[string]struct {
	args  string
	holds condition
}{
	"serving": {"NAME", serving},
	"owned":   {"NAME SERVICE", owned},
	"owner":   {"NAME SERVICE KEY OWNER", owner},
	"usable":  {"NAME SERVICE NUMBER", usable},
	"lost":    {"NAME NUMBER", lost},
	"voters":  {"NAME NAMES", voters},
	"next":    {"NAME NUMBER", next},
	"told":    {"OUTCOME MORE", told},
	"runs":    {"ID NUMBER", runs},
	"exited":  {"NAME", exited},
	"served":  {"NAME NUMBER", served},
	"total":   {"OUTCOME NUMBER", total},
	"fence":   {"NAME SERVICE KEY FENCE", fence},
	"burn":    {"NAME DAEMON missing|reporting", burnStatus},
	"events":  {"NAME SERVICE NUMBER", events},
}

// expect waits until a condition holds, or with ! until it no longer holds.
func expect(ts *testscript.TestScript, neg bool, args []string) {
	sc := scenarioOf(ts)
	if len(args) == 0 {
		ts.Fatalf("usage: expect CONDITION ARGUMENTS")
	}
	c, ok := conditions[args[0]]
	if !ok {
		ts.Fatalf("unknown condition %q", args[0])
	}
	if len(args)-1 != len(strings.Fields(c.args)) {
		ts.Fatalf("usage: expect %s %s", args[0], c.args)
	}
	for end := time.Now().Add(hangTimeout); ; time.Sleep(pollInterval) {
		holds, seen := c.holds(sc, args[1:])
		if holds != neg {
			return
		}
		if strings.HasPrefix(seen, overshootPrefix) || time.Now().After(end) {
			ts.Fatalf("condition not met (limit %v): %s; seen: %s\n%s", hangTimeout, strings.Join(args, " "), seen, sc.logTails())
		}
	}
}

// status returns the status of an instance.
func (sc *scenario) status(name string) (s admin.Status, err error) {
	i, err := sc.deployment.Find(name)
	if err != nil {
		return s, err
	}
	return s, i.getJSON("/v1/status", &s)
}

func serving(sc *scenario, a []string) (bool, string) {
	s, err := sc.status(a[0])
	return err == nil && s.Process.Serving, fmt.Sprint(s.Process, err)
}

func (sc *scenario) service(name, service string) (admin.ServiceStatus, error) {
	s, err := sc.status(name)
	if err != nil {
		return admin.ServiceStatus{}, err
	}
	for _, x := range s.Services {
		if x.Name == service {
			return x, nil
		}
	}
	return admin.ServiceStatus{}, errors.New("service not found in the status")
}

// owned holds when every shard of a service has an owner and none is moving.
func owned(sc *scenario, a []string) (bool, string) {
	x, err := sc.service(a[0], a[1])
	return err == nil && x.Ranges > 0 && x.Unowned == 0 && x.Moving == 0, fmt.Sprintf("%+v %v", x, err)
}

func usable(sc *scenario, a []string) (bool, string) {
	x, err := sc.service(a[0], a[1])
	return err == nil && strconv.Itoa(x.Usable) == a[2], fmt.Sprintf("%+v %v", x, err)
}

func owner(sc *scenario, a []string) (bool, string) {
	o, err := sc.owner(a[0], a[1], a[2])
	return err == nil && o.Instance != nil && o.Instance.Name == a[3], fmt.Sprintf("%+v %v", o, err)
}

func lost(sc *scenario, a []string) (bool, string) {
	s, err := sc.status(a[0])
	return err == nil && strconv.Itoa(s.Lost) == a[1], fmt.Sprintf("%d lost, %v", s.Lost, err)
}

func next(sc *scenario, a []string) (bool, string) {
	s, err := sc.status(a[0])
	return err == nil && strconv.FormatUint(s.NextTicket, 10) == a[1], fmt.Sprintf("next ticket %d, %v", s.NextTicket, err)
}

func voters(sc *scenario, a []string) (bool, string) {
	s, err := sc.status(a[0])
	var names []string
	for _, v := range s.Voters {
		names = append(names, v.Name)
	}
	slices.Sort(names)
	return err == nil && strings.Join(names, ",") == a[1], fmt.Sprint(names, err)
}

// told holds when at least MORE further requests have the outcome, counted from the
// first evaluation of this condition.
func told(sc *scenario, a []string) (bool, string) {
	more, err := strconv.Atoi(a[1])
	if err != nil {
		return false, err.Error()
	}
	id := "told " + a[0] + " " + a[1]
	n := uint64(sc.caller.CountOutcome(a[0]))
	baseline, ok := sc.baselines[id]
	if !ok {
		sc.baselines[id], baseline = n, n
	}
	if n < baseline+uint64(more) {
		return false, fmt.Sprintf("%d requests", n-baseline)
	}
	delete(sc.baselines, id)
	return true, ""
}

// runs holds when a request has run exactly NUMBER times on all servers together.
func runs(sc *scenario, a []string) (bool, string) {
	all, err := sc.deployment.Runs()
	n := 0
	for _, r := range all {
		if r.ID == a[0] {
			n++
		}
	}
	return compareCount(n, a[1], "runs", err)
}

func exited(sc *scenario, a []string) (bool, string) {
	i, err := sc.deployment.Find(a[0])
	return err == nil && !i.daemon.running(), fmt.Sprint(err)
}

// served holds when the server of an instance has started exactly NUMBER requests
// since the deployment began, across restarts.
func served(sc *scenario, a []string) (bool, string) {
	n, err := sc.served(a[0])
	return compareCount(n, a[1], "requests", err)
}

func (sc *scenario) served(name string) (int, error) {
	i, err := sc.deployment.Find(name)
	if err != nil {
		return 0, err
	}
	b, err := os.ReadFile(sc.deployment.runsFile(i))
	return bytes.Count(b, []byte("\n")), err
}

// total holds when exactly NUMBER requests have the outcome.
func total(sc *scenario, a []string) (bool, string) {
	return compareCount(sc.caller.CountOutcome(a[0]), a[1], "requests\n"+sc.caller.UnknownDetails(), nil)
}

// compareCount is a condition on a count that never decreases.
func compareCount(n int, want, what string, err error) (bool, string) {
	k, parseErr := strconv.Atoi(want)
	seen := fmt.Sprintf("%d %s, %v", n, what, errors.Join(err, parseErr))
	if n > k {
		seen = overshootPrefix + seen
	}
	return err == nil && parseErr == nil && n == k, seen
}

func (sc *scenario) owner(name, service, key string) (o admin.KeyOwner, err error) {
	i, err := sc.deployment.Find(name)
	if err != nil {
		return o, err
	}
	return o, i.getJSON("/v1/owner?"+url.Values{"service": {service}, "key": {key}}.Encode(), &o)
}

// fence holds when a key has an owner with the given fence or a higher one.
func fence(sc *scenario, a []string) (bool, string) {
	o, err := sc.owner(a[0], a[1], a[2])
	minFence, parseErr := strconv.ParseUint(a[3], 10, 64)
	err = errors.Join(err, parseErr)
	return err == nil && o.Instance != nil && uint64(o.Fence) >= minFence, fmt.Sprintf("%+v %v", o, err)
}

func (sc *scenario) burn(name string) (d burn.Document, err error) {
	i, err := sc.deployment.Find(name)
	if err != nil {
		return d, err
	}
	return d, i.getJSON("/v1/burn", &d)
}

// burnStatus holds when the burn report lists a daemon as missing or reporting.
func burnStatus(sc *scenario, a []string) (bool, string) {
	d, err := sc.burn(a[0])
	for _, x := range d.Daemons {
		if x.Name == a[1] {
			return x.Missing == (a[2] == "missing"), fmt.Sprintf("%+v", x)
		}
	}
	return false, fmt.Sprint("no such daemon in the report, ", err)
}

// events holds when the burn report counts exactly NUMBER good availability events of
// a service, over all daemons and the whole 3 days, and no more bad events than
// callers' attempts with an outcome other than run.
func events(sc *scenario, a []string) (bool, string) {
	d, err := sc.burn(a[0])
	for _, l := range d.Lines {
		if l.Service == a[1] && l.Kind == "availability" {
			r := l.Rates[len(l.Rates)-1]
			failed := sc.caller.FailedAttempts()
			ok := strconv.FormatUint(r.Events-r.Bad, 10) == a[2] && r.Bad <= failed
			return ok, fmt.Sprintf("%+v, %d failed attempts", r, failed)
		}
	}
	return false, fmt.Sprintf("no objective of %s among %+v, %v", a[1], d.Lines, err)
}

// let sets a variable to a fact about the deployment: let VAR WHAT ARGUMENTS. It
// waits until the fact is known.
func let(ts *testscript.TestScript, neg bool, args []string) {
	sc := scenarioOf(ts)
	if neg || len(args) < 2 {
		ts.Fatalf("usage: let VAR leader NAME | follower NAME | owner NAME SERVICE KEY | fence NAME SERVICE KEY | served NAME | other NAME...")
	}
	var value string
	for end := time.Now().Add(hangTimeout); value == "" && time.Now().Before(end); time.Sleep(pollInterval) {
		value = sc.fact(args[1], args[2:])
	}
	if value == "" {
		ts.Fatalf("no value for %s\n%s", strings.Join(args[1:], " "), sc.logTails())
	}
	ts.Logf("%s = %s", args[0], value)
	ts.Setenv(args[0], value)
}

// fact returns the present value of a fact, or "" when it is not known.
func (sc *scenario) fact(what string, a []string) string {
	switch {
	case what == "leader" && len(a) == 1:
		s, _ := sc.status(a[0])
		if l, err := sc.status(s.Process.Leader); err == nil && l.Process.IsLeader {
			return s.Process.Leader
		}
	case what == "follower" && len(a) == 1:
		s, _ := sc.status(a[0])
		for _, v := range sc.deployment.firstVoters {
			if s.Process.Leader != "" && v.Name != s.Process.Leader && v.Name != a[0] {
				return v.Name
			}
		}
	case what == "owner" && len(a) == 3:
		if o, err := sc.owner(a[0], a[1], a[2]); err == nil && o.Instance != nil {
			return o.Instance.Name
		}
	case what == "fence" && len(a) == 3:
		if o, err := sc.owner(a[0], a[1], a[2]); err == nil && o.Instance != nil {
			return fmt.Sprint(o.Fence)
		}
	case what == "served" && len(a) == 1:
		if n, err := sc.served(a[0]); err == nil {
			return strconv.Itoa(n)
		}
	case what == "other":
		for _, i := range sc.deployment.instances {
			if !slices.Contains(a, i.Name) {
				return i.Name
			}
		}
	}
	return ""
}

// ticketCommand sends a ticket until it is decided, and checks the decision: ticket
// FROM FILE OUTCOME. The outcomes are accepted, which includes that it is in force
// everywhere, refused, and lost, with which the response is not read.
func ticketCommand(ts *testscript.TestScript, neg bool, args []string) {
	sc := scenarioOf(ts)
	if neg || len(args) != 3 {
		ts.Fatalf("usage: ticket FROM FILE accepted|refused|lost")
	}
	i, err := sc.deployment.Find(args[0])
	if err != nil {
		ts.Fatalf("%v", err)
	}
	text, err := os.ReadFile(ts.MkAbs(args[1]))
	if err != nil {
		ts.Fatalf("%v", err)
	}
	text = sc.expandVars(text)
	if args[2] == "lost" {
		if err := i.sendTicketUnread(text); err != nil {
			ts.Fatalf("%v", err)
		}
		return
	}
	d, status, err := i.applyTicket(text, "in-force")
	if err != nil {
		ts.Fatalf("%v\n%s", err, sc.logTails())
	}
	got := "refused"
	if d.Verdict.Accepted && d.InForce {
		got = "accepted"
	}
	ts.Logf("ticket %d: status %d, %+v", d.Verdict.Number, status, d)
	if got != args[2] {
		ts.Fatalf("ticket was %s with status %d, want %s: %+v\n%s", got, status, args[2], d, sc.logTails())
	}
}

// ticketsCommand sends COUNT tickets with the next numbers, each as soon as the
// previous one is accepted: tickets FROM COUNT.
func ticketsCommand(ts *testscript.TestScript, neg bool, args []string) {
	sc := scenarioOf(ts)
	if neg || len(args) != 2 {
		ts.Fatalf("usage: tickets FROM COUNT")
	}
	s, err := sc.status(args[0])
	ts.Check(err)
	count, err := strconv.Atoi(args[1])
	ts.Check(err)
	i, _ := sc.deployment.Find(args[0])
	for n := s.NextTicket; n < s.NextTicket+uint64(count); n++ {
		text := fmt.Sprintf("number: %d\ncallers: [{name: caller-%d, rate: %d}]\n", n, n%100, n)
		d, _, err := i.applyTicket([]byte(text), "accepted")
		if err != nil || !d.Verdict.Accepted {
			ts.Fatalf("ticket %d: %+v, %v\n%s", n, d, err, sc.logTails())
		}
	}
}

// raceCommand sends two tickets at the same time and requires that exactly one is
// accepted: race FROM FILE FROM FILE. It sets WON and LOST to their files.
func raceCommand(ts *testscript.TestScript, neg bool, args []string) {
	sc := scenarioOf(ts)
	if neg || len(args) != 4 {
		ts.Fatalf("usage: race FROM FILE FROM FILE")
	}
	var wg sync.WaitGroup
	var decisions [2]admin.Decision
	var errs [2]error
	for k := range decisions {
		i, err := sc.deployment.Find(args[2*k])
		ts.Check(err)
		text := ts.ReadFile(args[2*k+1])
		wg.Go(func() { decisions[k], _, errs[k] = i.applyTicket([]byte(text), "in-force") })
	}
	wg.Wait()
	ts.Check(errors.Join(errs[:]...))
	if decisions[0].Verdict.Accepted == decisions[1].Verdict.Accepted {
		ts.Fatalf("want exactly one of two tickets accepted: %+v", decisions)
	}
	won := 0
	if decisions[1].Verdict.Accepted {
		won = 1
	}
	ts.Setenv("WON", args[2*won+1])
	ts.Setenv("LOST", args[2*(1-won)+1])
}

// expandVars replaces $X_ADDR by the link address of instance X, and $X_INCARNATION
// by the incarnation of its data folder. X is the name with _ in place of -.
func (sc *scenario) expandVars(text []byte) []byte {
	return []byte(os.Expand(string(text), func(v string) string {
		for _, i := range sc.deployment.instances {
			switch name := strings.ReplaceAll(i.Name, "-", "_"); v {
			case name + "_ADDR":
				return i.addr(linkPort)
			case name + "_INCARNATION":
				return strconv.FormatUint(i.incarnation, 10)
			}
		}
		return "$" + v
	}))
}

// applyTicket sends a ticket until it is decided. wait is the argument wait of the
// administration API.
func (i *Instance) applyTicket(text []byte, wait string) (d admin.Decision, status int, err error) {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: hangTimeout}
	for end := time.Now().Add(hangTimeout); ; time.Sleep(pollInterval) {
		var resp *http.Response
		resp, err = client.Post("http://"+i.addr(adminPort)+"/v1/tickets?timeout=30s&wait="+wait, "application/yaml", bytes.NewReader(text))
		if err == nil {
			status = resp.StatusCode
			b, readErr := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			if readErr == nil && status != http.StatusServiceUnavailable && status != http.StatusAccepted {
				return d, status, json.Unmarshal(b, &d)
			}
			err = fmt.Errorf("ticket at %s: status %d: %s", i.Name, status, b)
		}
		if time.Now().After(end) {
			return d, status, err
		}
	}
}

// sendTicketUnread sends a ticket and closes the connection without reading the
// response.
func (i *Instance) sendTicketUnread(text []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), hangTimeout)
	defer cancel()
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", i.addr(adminPort))
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c, "POST /v1/tickets HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n%s", i.addr(adminPort), len(text), text)
	return errors.Join(err, c.Close())
}

// adminCommand runs pollenlatch against the administration API of an instance: admin
// NAME COMMAND ARGUMENTS. The commands stdout and stderr then match its output.
func adminCommand(ts *testscript.TestScript, neg bool, args []string) {
	sc := scenarioOf(ts)
	if len(args) < 2 {
		ts.Fatalf("usage: admin NAME COMMAND ARGUMENTS")
	}
	i, err := sc.deployment.Find(args[0])
	if err != nil {
		ts.Fatalf("%v", err)
	}
	err = ts.Exec("pollenlatch", append(args[1:], "--admin", i.addr(adminPort))...)
	if (err != nil) != neg {
		ts.Fatalf("pollenlatch %s: %v", strings.Join(args[1:], " "), err)
	}
}
