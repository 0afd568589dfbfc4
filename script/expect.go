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

// operator asks the administration API. A connection for each request keeps a
// paused process from holding up later ones. The burn report waits 2 s for a
// missing daemon.
var operator = http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 10 * time.Second}

func (i *Instance) get(path string, v any) error {
	resp, err := operator.Get("http://" + i.addr(adminPort) + path)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s of %s: status %d", path, i.Name, resp.StatusCode)
	}
	return json.NewDecoder(resp.Body).Decode(v)
}

// never starts what is seen when the condition can't hold any more.
const never = "too many: "

// condition reports whether a condition holds now, and what is seen if not.
type condition func(w *world, args []string) (ok bool, seen string)

// conditions of the command expect, with their numbers of arguments.
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
	"burn":    {"NAME DAEMON missing|reporting", burnOf},
	"events":  {"NAME SERVICE NUMBER", events},
}

// expect waits until a condition holds, or with ! until it does not hold.
func expect(ts *testscript.TestScript, neg bool, args []string) {
	w := of(ts)
	if len(args) == 0 {
		ts.Fatalf("usage: expect CONDITION ARGUMENTS")
	}
	c, ok := conditions[args[0]]
	if !ok {
		ts.Fatalf("there is no condition %q", args[0])
	}
	if len(args)-1 != len(strings.Fields(c.args)) {
		ts.Fatalf("usage: expect %s %s", args[0], c.args)
	}
	for end := time.Now().Add(hangLimit); ; time.Sleep(pollInterval) {
		holds, seen := c.holds(w, args[1:])
		if holds != neg {
			return
		}
		if strings.HasPrefix(seen, never) || time.Now().After(end) {
			ts.Fatalf("does not hold within %v: %s; seen: %s\n%s", hangLimit, strings.Join(args, " "), seen, w.logs())
		}
	}
}

// status asks an instance for its status.
func (w *world) status(name string) (s admin.Status, err error) {
	i, err := w.d.Find(name)
	if err != nil {
		return s, err
	}
	return s, i.get("/v1/status", &s)
}

func serving(w *world, a []string) (bool, string) {
	s, err := w.status(a[0])
	return err == nil && s.Process.Serving, fmt.Sprint(s.Process, err)
}

func (w *world) service(name, service string) (admin.ServiceStatus, error) {
	s, err := w.status(name)
	if err != nil {
		return admin.ServiceStatus{}, err
	}
	for _, x := range s.Services {
		if x.Name == service {
			return x, nil
		}
	}
	return admin.ServiceStatus{}, errors.New("no such service")
}

// owned holds when every shard of a service has an owner and none moves.
func owned(w *world, a []string) (bool, string) {
	x, err := w.service(a[0], a[1])
	return err == nil && x.Ranges > 0 && x.Unowned == 0 && x.Moving == 0, fmt.Sprintf("%+v %v", x, err)
}

func usable(w *world, a []string) (bool, string) {
	x, err := w.service(a[0], a[1])
	return err == nil && strconv.Itoa(x.Usable) == a[2], fmt.Sprintf("%+v %v", x, err)
}

func owner(w *world, a []string) (bool, string) {
	o, err := w.owner(a[0], a[1], a[2])
	return err == nil && o.Instance != nil && o.Instance.Name == a[3], fmt.Sprintf("%+v %v", o, err)
}

func lost(w *world, a []string) (bool, string) {
	s, err := w.status(a[0])
	return err == nil && strconv.Itoa(s.Lost) == a[1], fmt.Sprintf("%d lost, %v", s.Lost, err)
}

func next(w *world, a []string) (bool, string) {
	s, err := w.status(a[0])
	return err == nil && strconv.FormatUint(s.NextTicket, 10) == a[1], fmt.Sprintf("next ticket %d, %v", s.NextTicket, err)
}

func voters(w *world, a []string) (bool, string) {
	s, err := w.status(a[0])
	var names []string
	for _, v := range s.Voters {
		names = append(names, v.Name)
	}
	slices.Sort(names)
	return err == nil && strings.Join(names, ",") == a[1], fmt.Sprint(names, err)
}

// told holds when more requests than so far have the outcome: MORE counts from
// the first look of this condition.
func told(w *world, a []string) (bool, string) {
	more, err := strconv.Atoi(a[1])
	if err != nil {
		return false, err.Error()
	}
	mark := "told " + a[0] + " " + a[1]
	n := uint64(w.caller.CountOutcome(a[0]))
	begin, ok := w.marks[mark]
	if !ok {
		w.marks[mark], begin = n, n
	}
	if n < begin+uint64(more) {
		return false, fmt.Sprintf("%d requests", n-begin)
	}
	delete(w.marks, mark)
	return true, ""
}

// runs holds when a request has run so often, at all servers together.
func runs(w *world, a []string) (bool, string) {
	all, err := w.d.Runs()
	n := 0
	for _, r := range all {
		if r.ID == a[0] {
			n++
		}
	}
	return counted(n, a[1], "runs", err)
}

func exited(w *world, a []string) (bool, string) {
	i, err := w.d.Find(a[0])
	return err == nil && !i.daemon.runs(), fmt.Sprint(err)
}

// served holds when the servers of an instance have started so many requests.
func served(w *world, a []string) (bool, string) {
	n, err := w.served(a[0])
	return counted(n, a[1], "requests", err)
}

func (w *world) served(name string) (int, error) {
	i, err := w.d.Find(name)
	if err != nil {
		return 0, err
	}
	b, err := os.ReadFile(w.d.record(i))
	return bytes.Count(b, []byte("\n")), err
}

// total holds when so many requests have the outcome.
func total(w *world, a []string) (bool, string) {
	return counted(w.caller.CountOutcome(a[0]), a[1], "requests\n"+w.caller.UnknownDetails(), nil)
}

// counted compares a count that never falls.
func counted(n int, want, what string, err error) (bool, string) {
	k, perr := strconv.Atoi(want)
	seen := fmt.Sprintf("%d %s, %v", n, what, errors.Join(err, perr))
	if n > k {
		seen = never + seen
	}
	return err == nil && perr == nil && n == k, seen
}

func (w *world) owner(name, service, key string) (o admin.KeyOwner, err error) {
	i, err := w.d.Find(name)
	if err != nil {
		return o, err
	}
	return o, i.get("/v1/owner?"+url.Values{"service": {service}, "key": {key}}.Encode(), &o)
}

// fence holds when a key has an owner with the fence or a later one.
func fence(w *world, a []string) (bool, string) {
	o, err := w.owner(a[0], a[1], a[2])
	least, perr := strconv.ParseUint(a[3], 10, 64)
	err = errors.Join(err, perr)
	return err == nil && o.Instance != nil && uint64(o.Fence) >= least, fmt.Sprintf("%+v %v", o, err)
}

func (w *world) burn(name string) (d burn.Document, err error) {
	i, err := w.d.Find(name)
	if err != nil {
		return d, err
	}
	return d, i.get("/v1/burn", &d)
}

// burnOf holds when the burn report counts a daemon as missing or reporting.
func burnOf(w *world, a []string) (bool, string) {
	d, err := w.burn(a[0])
	for _, x := range d.Daemons {
		if x.Name == a[1] {
			return x.Missing == (a[2] == "missing"), fmt.Sprintf("%+v", x)
		}
	}
	return false, fmt.Sprint("no such daemon in the report, ", err)
}

// events holds when the burn report has so many good events of a service's
// availability, of all daemons and the whole 3 days, and no more bad ones than
// attempts of callers were refused or left unknown.
func events(w *world, a []string) (bool, string) {
	d, err := w.burn(a[0])
	for _, l := range d.Lines {
		if l.Service == a[1] && l.Kind == "availability" {
			r := l.Rates[len(l.Rates)-1]
			failed := w.caller.FailedAttempts()
			ok := strconv.FormatUint(r.Events-r.Bad, 10) == a[2] && r.Bad <= failed
			return ok, fmt.Sprintf("%+v, %d failed attempts", r, failed)
		}
	}
	return false, fmt.Sprintf("no objective of %s among %+v, %v", a[1], d.Lines, err)
}

// let gives a variable what is the case now: let VAR WHAT ARGUMENTS.
func let(ts *testscript.TestScript, neg bool, args []string) {
	w := of(ts)
	if neg || len(args) < 2 {
		ts.Fatalf("usage: let VAR leader NAME | follower NAME | owner NAME SERVICE KEY | fence NAME SERVICE KEY | served NAME | other NAME...")
	}
	var value string
	for end := time.Now().Add(hangLimit); value == "" && time.Now().Before(end); time.Sleep(pollInterval) {
		value = w.look(args[1], args[2:])
	}
	if value == "" {
		ts.Fatalf("still no %s\n%s", strings.Join(args[1:], " "), w.logs())
	}
	ts.Logf("%s = %s", args[0], value)
	ts.Setenv(args[0], value)
}

// look returns a fact, or nothing when it can't be told now.
func (w *world) look(what string, a []string) string {
	switch {
	case what == "leader" && len(a) == 1:
		s, _ := w.status(a[0])
		if l, err := w.status(s.Process.Leader); err == nil && l.Process.IsLeader {
			return s.Process.Leader
		}
	case what == "follower" && len(a) == 1:
		s, _ := w.status(a[0])
		for _, v := range w.d.voters {
			if s.Process.Leader != "" && v.Name != s.Process.Leader && v.Name != a[0] {
				return v.Name
			}
		}
	case what == "owner" && len(a) == 3:
		if o, err := w.owner(a[0], a[1], a[2]); err == nil && o.Instance != nil {
			return o.Instance.Name
		}
	case what == "fence" && len(a) == 3:
		if o, err := w.owner(a[0], a[1], a[2]); err == nil && o.Instance != nil {
			return fmt.Sprint(o.Fence)
		}
	case what == "served" && len(a) == 1:
		if n, err := w.served(a[0]); err == nil {
			return strconv.Itoa(n)
		}
	case what == "other":
		for _, i := range w.d.instances {
			if !slices.Contains(a, i.Name) {
				return i.Name
			}
		}
	}
	return ""
}

// ticketCommand sends a ticket and compares the answer: ticket FROM FILE OUTCOME.
// Outcomes are accepted (and in force everywhere), refused, and lost, when the
// answer is not read. Until it is decided it is sent again.
func ticketCommand(ts *testscript.TestScript, neg bool, args []string) {
	w := of(ts)
	if neg || len(args) != 3 {
		ts.Fatalf("usage: ticket FROM FILE accepted|refused|lost")
	}
	i, err := w.d.Find(args[0])
	if err != nil {
		ts.Fatalf("%v", err)
	}
	text, err := os.ReadFile(ts.MkAbs(args[1]))
	if err != nil {
		ts.Fatalf("%v", err)
	}
	text = w.expand(text)
	if args[2] == "lost" {
		if err := i.sendAndLeave(text); err != nil {
			ts.Fatalf("%v", err)
		}
		return
	}
	d, status, err := i.apply(text, "in-force")
	if err != nil {
		ts.Fatalf("%v\n%s", err, w.logs())
	}
	got := "refused"
	if d.Verdict.Accepted && d.InForce {
		got = "accepted"
	}
	ts.Logf("ticket %d: status %d, %+v", d.Verdict.Number, status, d)
	if got != args[2] {
		ts.Fatalf("ticket is %s with status %d, not %s: %+v\n%s", got, status, args[2], d, w.logs())
	}
}

// ticketsCommand sends the next tickets one after another, each as soon as the
// one before is accepted: tickets FROM COUNT.
func ticketsCommand(ts *testscript.TestScript, neg bool, args []string) {
	w := of(ts)
	if neg || len(args) != 2 {
		ts.Fatalf("usage: tickets FROM COUNT")
	}
	s, err := w.status(args[0])
	ts.Check(err)
	count, err := strconv.Atoi(args[1])
	ts.Check(err)
	i, _ := w.d.Find(args[0])
	for n := s.NextTicket; n < s.NextTicket+uint64(count); n++ {
		text := fmt.Sprintf("number: %d\ncallers: [{name: caller-%d, rate: %d}]\n", n, n%100, n)
		d, _, err := i.apply([]byte(text), "accepted")
		if err != nil || !d.Verdict.Accepted {
			ts.Fatalf("ticket %d: %+v, %v\n%s", n, d, err, w.logs())
		}
	}
}

// raceCommand sends two tickets at the same moment and requires that one is
// accepted and the other refused: race FROM FILE FROM FILE.
func raceCommand(ts *testscript.TestScript, neg bool, args []string) {
	w := of(ts)
	if neg || len(args) != 4 {
		ts.Fatalf("usage: race FROM FILE FROM FILE")
	}
	var wg sync.WaitGroup
	var answers [2]admin.Decision
	var errs [2]error
	for k := range answers {
		i, err := w.d.Find(args[2*k])
		ts.Check(err)
		text := ts.ReadFile(args[2*k+1])
		wg.Go(func() { answers[k], _, errs[k] = i.apply([]byte(text), "in-force") })
	}
	wg.Wait()
	ts.Check(errors.Join(errs[:]...))
	if answers[0].Verdict.Accepted == answers[1].Verdict.Accepted {
		ts.Fatalf("not exactly one of two tickets was accepted: %+v", answers)
	}
	won := 0
	if answers[1].Verdict.Accepted {
		won = 1
	}
	ts.Setenv("WON", args[2*won+1])
	ts.Setenv("LOST", args[2*(1-won)+1])
}

// expand puts the link address of instance X and the incarnation of its data
// folder in place of $X_ADDR and $X_INCARNATION, with - in a name as _.
func (w *world) expand(text []byte) []byte {
	return []byte(os.Expand(string(text), func(v string) string {
		for _, i := range w.d.instances {
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

// apply sends a ticket until it is decided.
func (i *Instance) apply(text []byte, wait string) (d admin.Decision, status int, err error) {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: hangLimit}
	for end := time.Now().Add(hangLimit); ; time.Sleep(pollInterval) {
		var resp *http.Response
		resp, err = client.Post("http://"+i.addr(adminPort)+"/v1/tickets?timeout=30s&wait="+wait, "application/yaml", bytes.NewReader(text))
		if err == nil {
			status = resp.StatusCode
			b, rerr := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			if rerr == nil && status != http.StatusServiceUnavailable && status != http.StatusAccepted {
				return d, status, json.Unmarshal(b, &d)
			}
			err = fmt.Errorf("ticket at %s: status %d: %s", i.Name, status, b)
		}
		if time.Now().After(end) {
			return d, status, err
		}
	}
}

// sendAndLeave sends a ticket and closes the connection without reading.
func (i *Instance) sendAndLeave(text []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), hangLimit)
	defer cancel()
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", i.addr(adminPort))
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c, "POST /v1/tickets HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n%s", i.addr(adminPort), len(text), text)
	return errors.Join(err, c.Close())
}

// adminCommand runs the program against an instance and keeps its output for
// stdout and stderr: admin NAME ARGUMENTS.
func adminCommand(ts *testscript.TestScript, neg bool, args []string) {
	w := of(ts)
	if len(args) < 2 {
		ts.Fatalf("usage: admin NAME COMMAND ARGUMENTS")
	}
	i, err := w.d.Find(args[0])
	if err != nil {
		ts.Fatalf("%v", err)
	}
	err = ts.Exec("pollenlatch", append(args[1:], "--admin", i.addr(adminPort))...)
	if (err != nil) != neg {
		ts.Fatalf("pollenlatch %s: %v", strings.Join(args[1:], " "), err)
	}
}
