package ticket

import (
	"math/bits"
	"regexp"
	"slices"
	"time"

	"pollenlatch"
	"pollenlatch/yamlx"
)

// Limits on the values of a ticket.
const (
	// MaxRun limits the run time of a request: the shards of a lost server that does
	// not check fences are not assigned again until that time has passed.
	MaxRun        = time.Minute
	MaxQueueLimit = 1 << 16
	MaxVoters     = 5
)

var (
	// Names of services appear in URL paths and in metrics.
	serviceName = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?$`)
	// Callers and kinds are sent as header values.
	headerValue = regexp.MustCompile(`^[!-~]{1,128}$`)
)

// check adds the faults of a document that could be read. What depends on the
// replicated state is checked when the group decides on the ticket.
func check(d *yamlx.Doc, t *document) {
	if t.Number == 0 {
		d.AddFault("number", "is missing; tickets are numbered 1, 2, 3 and so on")
	}
	if len(t.Services)+len(t.Callers)+len(t.Voters)+len(t.Remove) == 0 {
		d.AddFault("", "the ticket changes nothing; name services, callers, voters or services to remove")
	}
	seen := make(map[string]string)
	for i := range t.Services {
		checkService(d, index("services", i), &t.Services[i])
		checkUnique(d, seen, index("services", i)+".name", t.Services[i].Name)
	}
	for i, name := range t.Remove {
		checkUnique(d, seen, index("remove", i), name)
	}
	clear(seen)
	for i, c := range t.Callers {
		checkCaller(d, index("callers", i), c)
		checkUnique(d, seen, index("callers", i)+".name", c.Name)
	}
	checkVoters(d, t.Voters)
}

// checkUnique reports a fault if another path has the same name already.
func checkUnique(d *yamlx.Doc, seen map[string]string, path, name string) {
	if first, ok := seen[name]; ok && name != "" {
		d.AddFault(path, "%q is already named at %s", name, first)
		return
	}
	seen[name] = path
}

func checkService(d *yamlx.Doc, path string, s *service) {
	if !serviceName.MatchString(s.Name) {
		d.AddFault(path+".name", "%q is not a service name: 1 to 63 lower-case letters, digits, '.', '_' or '-'", s.Name)
	}
	if bits.OnesCount32(s.Ranges) != 1 || s.Ranges > 1<<pollenlatch.MaxRangeBits {
		d.AddFault(path+".ranges", "%d is not a power of two up to %d", s.Ranges, 1<<pollenlatch.MaxRangeBits)
	}
	if s.MaxRun < time.Millisecond || s.MaxRun > MaxRun {
		d.AddFault(path+".maxrun", "%v is not between 1ms and %v", s.MaxRun, MaxRun)
	}
	if s.RecordTTL < s.MaxRun {
		d.AddFault(path+".recordttl", "%v is shorter than maxrun, %v: a retry could run while the first attempt still runs", s.RecordTTL, s.MaxRun)
	}
	if s.Queue == 0 || s.Queue > MaxQueueLimit {
		d.AddFault(path+".queue", "%d is not between 1 and %d", s.Queue, MaxQueueLimit)
	}
	checkWeights(d, path+".weights", s.Weights)
	checkObjectives(d, path+".objectives", s.Objectives)
	checkRules(d, path+".rules", s.Rules)
	checkNames(d, path+".dcs", s.DCs)
	checkNames(d, path+".idempotent", s.Idempotent)
}

func checkWeights(d *yamlx.Doc, path string, w pollenlatch.Weights) {
	if w.Imbalance < 0 || w.Churn < 0 || w.Unavailable < 0 {
		d.AddFault(path, "weights must not be below 0")
	}
	if w == (pollenlatch.Weights{}) {
		d.AddFault(path, "one of imbalance, churn and unavailable must be above 0")
	}
}

func checkObjectives(d *yamlx.Doc, path string, list []objective) {
	var seen []yamlClass
	for i, o := range list {
		itemPath := index(path, i)
		if o.Class == 0 {
			d.AddFault(itemPath+".class", "is missing; give urgent, normal or routine")
		} else if slices.Contains(seen, o.Class) {
			d.AddFault(itemPath+".class", "this class has an objective already")
		}
		seen = append(seen, o.Class)
		if !isShare(o.Availability) {
			d.AddFault(itemPath+".availability", "%v is not a share above 0 and up to 1", o.Availability)
		}
		if !isShare(o.Fast) {
			d.AddFault(itemPath+".fast", "%v is not a share above 0 and up to 1", o.Fast)
		}
		if o.Latency <= 0 {
			d.AddFault(itemPath+".latency", "must be above 0")
		}
	}
}

func isShare(v float64) bool { return v > 0 && v <= 1 }

func checkRules(d *yamlx.Doc, path string, list []rule) {
	for i, r := range list {
		itemPath := index(path, i)
		if r.Class == 0 {
			d.AddFault(itemPath+".class", "is missing; give urgent, normal or routine")
		}
		checkHeaderValue(d, itemPath+".caller", r.Caller)
		checkHeaderValue(d, itemPath+".kind", r.Kind)
		for j, earlier := range list[:i] {
			if covers(earlier, r) {
				d.AddFault(itemPath, "never matches, because rules[%d] matches everything that it does", j)
				break
			}
		}
	}
}

func checkHeaderValue(d *yamlx.Doc, path, value string) {
	if value != "" && !headerValue.MatchString(value) {
		d.AddFault(path, "%q is not 1 to 128 printable characters without spaces", value)
	}
}

// covers reports whether rule a matches every request that rule b matches.
func covers(a, b rule) bool {
	return (a.Caller == "" || a.Caller == b.Caller) && (a.Kind == "" || a.Kind == b.Kind)
}

func checkNames(d *yamlx.Doc, path string, list []string) {
	for i, name := range list {
		switch {
		case !headerValue.MatchString(name):
			d.AddFault(index(path, i), "%q is not 1 to 128 printable characters without spaces", name)
		case slices.Contains(list[:i], name):
			d.AddFault(index(path, i), "%q is named twice", name)
		}
	}
}

func checkCaller(d *yamlx.Doc, path string, c pollenlatch.Caller) {
	if !headerValue.MatchString(c.Name) {
		d.AddFault(path+".name", "%q is not 1 to 128 printable characters without spaces", c.Name)
	}
	switch {
	case c.Rate < 0:
		d.AddFault(path+".rate", "must not be below 0; 0 is unlimited")
	case c.Rate == 0 && c.Burst > 0:
		d.AddFault(path+".burst", "has no effect without a rate")
	case c.Rate > 0 && c.Burst == 0:
		d.AddFault(path+".burst", "must be at least 1, or nothing is ever admitted")
	}
}

func checkVoters(d *yamlx.Doc, list []pollenlatch.Member) {
	if n := len(list); n > 0 && (n%2 == 0 || n > MaxVoters) {
		d.AddFault("voters", "%d voters; a group has 1, 3 or 5", n)
	}
	seen := make(map[string]string)
	for i, m := range list {
		path := index("voters", i)
		if !headerValue.MatchString(m.Name) {
			d.AddFault(path+".name", "%q is not 1 to 128 printable characters without spaces", m.Name)
		}
		checkUnique(d, seen, path+".name", m.Name)
		if m.Incarnation == 0 {
			d.AddFault(path+".incarnation", "is missing; init prints it for a data folder")
		}
		if m.Addr == "" {
			d.AddFault(path+".addr", "is missing; give the voter's link address")
		}
	}
}
