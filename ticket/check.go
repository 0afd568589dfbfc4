package ticket

import (
	"math/bits"
	"regexp"
	"slices"
	"time"

	"pollenlatch"
	"pollenlatch/field"
)

// Bounds of a ticket's values.
const (
	MaxRun        = time.Minute // a loss of a server that does not check fences waits this long
	MaxQueueLimit = 1 << 16
	MaxVoters     = 5
)

var (
	// Services stand in paths and in the names of metrics.
	serviceName = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?$`)
	// Callers and kinds stand in header fields.
	headerName = regexp.MustCompile(`^[!-~]{1,128}$`)
)

// check reports what is wrong with a document that could be read. What depends
// on the state is checked where the ticket is decided.
func check(d *field.Doc, t *document) {
	if t.Number == 0 {
		d.Fault("number", "is missing; tickets are numbered 1, 2, 3 and so on")
	}
	if len(t.Services)+len(t.Callers)+len(t.Voters)+len(t.Remove) == 0 {
		d.Fault("", "the ticket changes nothing; name services, callers, voters or services to remove")
	}
	seen := make(map[string]string)
	for i := range t.Services {
		checkService(d, index("services", i), &t.Services[i])
		unique(d, seen, index("services", i)+".name", t.Services[i].Name)
	}
	for i, name := range t.Remove {
		unique(d, seen, index("remove", i), name)
	}
	clear(seen)
	for i, c := range t.Callers {
		checkCaller(d, index("callers", i), c)
		unique(d, seen, index("callers", i)+".name", c.Name)
	}
	checkVoters(d, t.Voters)
}

func unique(d *field.Doc, seen map[string]string, path, name string) {
	if first, ok := seen[name]; ok && name != "" {
		d.Fault(path, "%q is already named at %s", name, first)
		return
	}
	seen[name] = path
}

func checkService(d *field.Doc, at string, s *service) {
	if !serviceName.MatchString(s.Name) {
		d.Fault(at+".name", "%q is not a service name: 1 to 63 lower-case letters, digits, '.', '_' or '-'", s.Name)
	}
	if bits.OnesCount32(s.Ranges) != 1 || s.Ranges > 1<<pollenlatch.MaxRangeBits {
		d.Fault(at+".ranges", "%d is not a power of two up to %d", s.Ranges, 1<<pollenlatch.MaxRangeBits)
	}
	if s.MaxRun < time.Millisecond || s.MaxRun > MaxRun {
		d.Fault(at+".maxrun", "%v is not between 1ms and %v", s.MaxRun, MaxRun)
	}
	if s.RecordTTL < s.MaxRun {
		d.Fault(at+".recordttl", "%v is shorter than maxrun, %v: a repeat could run beside the first run", s.RecordTTL, s.MaxRun)
	}
	if s.Queue == 0 || s.Queue > MaxQueueLimit {
		d.Fault(at+".queue", "%d is not between 1 and %d", s.Queue, MaxQueueLimit)
	}
	checkWeights(d, at+".weights", s.Weights)
	checkObjectives(d, at+".objectives", s.Objectives)
	checkRules(d, at+".rules", s.Rules)
	checkNames(d, at+".dcs", s.DCs)
	checkNames(d, at+".idempotent", s.Idempotent)
}

func checkWeights(d *field.Doc, at string, w pollenlatch.Weights) {
	if w.Imbalance < 0 || w.Churn < 0 || w.Unavailable < 0 {
		d.Fault(at, "weights must not be below 0")
	}
	if w == (pollenlatch.Weights{}) {
		d.Fault(at, "one of imbalance, churn and unavailable must be above 0")
	}
}

func checkObjectives(d *field.Doc, at string, list []objective) {
	var seen []class
	for i, o := range list {
		at := index(at, i)
		if o.Class == 0 {
			d.Fault(at+".class", "is missing; give urgent, normal or routine")
		} else if slices.Contains(seen, o.Class) {
			d.Fault(at+".class", "this class has an objective already")
		}
		seen = append(seen, o.Class)
		if !share(o.Availability) {
			d.Fault(at+".availability", "%v is not a share above 0 and up to 1", o.Availability)
		}
		if !share(o.Fast) {
			d.Fault(at+".fast", "%v is not a share above 0 and up to 1", o.Fast)
		}
		if o.Latency <= 0 {
			d.Fault(at+".latency", "must be above 0")
		}
	}
}

func share(v float64) bool { return v > 0 && v <= 1 }

func checkRules(d *field.Doc, at string, list []rule) {
	for i, r := range list {
		at := index(at, i)
		if r.Class == 0 {
			d.Fault(at+".class", "is missing; give urgent, normal or routine")
		}
		checkHeader(d, at+".caller", r.Caller)
		checkHeader(d, at+".kind", r.Kind)
		for j, before := range list[:i] {
			if covers(before, r) {
				d.Fault(at, "never matches, because rules[%d] matches everything that it does", j)
				break
			}
		}
	}
}

func checkHeader(d *field.Doc, path, name string) {
	if name != "" && !headerName.MatchString(name) {
		d.Fault(path, "%q is not 1 to 128 printable characters without spaces", name)
	}
}

// covers reports whether a rule matches all that another one matches.
func covers(a, b rule) bool {
	return (a.Caller == "" || a.Caller == b.Caller) && (a.Kind == "" || a.Kind == b.Kind)
}

func checkNames(d *field.Doc, at string, list []string) {
	for i, name := range list {
		switch {
		case !headerName.MatchString(name):
			d.Fault(index(at, i), "%q is not 1 to 128 printable characters without spaces", name)
		case slices.Contains(list[:i], name):
			d.Fault(index(at, i), "%q is named twice", name)
		}
	}
}

func checkCaller(d *field.Doc, at string, c pollenlatch.Caller) {
	if !headerName.MatchString(c.Name) {
		d.Fault(at+".name", "%q is not 1 to 128 printable characters without spaces", c.Name)
	}
	switch {
	case c.Rate < 0:
		d.Fault(at+".rate", "must not be below 0; 0 is unlimited")
	case c.Rate == 0 && c.Burst > 0:
		d.Fault(at+".burst", "has no effect without a rate")
	case c.Rate > 0 && c.Burst == 0:
		d.Fault(at+".burst", "must be at least 1, or nothing is ever admitted")
	}
}

func checkVoters(d *field.Doc, list []pollenlatch.Member) {
	if n := len(list); n > 0 && (n%2 == 0 || n > MaxVoters) {
		d.Fault("voters", "%d voters; a group has 1, 3 or 5", n)
	}
	seen := make(map[string]string)
	for i, m := range list {
		at := index("voters", i)
		if !headerName.MatchString(m.Name) {
			d.Fault(at+".name", "%q is not 1 to 128 printable characters without spaces", m.Name)
		}
		unique(d, seen, at+".name", m.Name)
		if m.Incarnation == 0 {
			d.Fault(at+".incarnation", "is missing; init prints it for a data folder")
		}
		if m.Addr == "" {
			d.Fault(at+".addr", "is missing; give the voter's link address")
		}
	}
}
