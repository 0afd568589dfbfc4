package cmd

import (
	"fmt"
	"net/url"
	"runtime/debug"
	"strings"
	"time"

	"pollenlatch/admin"
)

var statusCommand = command{
	name:     "status",
	summary:  "show the condition of an instance and of the group as it knows it",
	examples: []string{"status", "status --instances --admin 10.1.0.11:7002", "status -o json"},
	setup: func(f *flags) func(*env) error {
		var instances bool
		c := newClient(f)
		f.boolVar(&instances, "i", "instances", "also list all instances")
		return func(e *env) error {
			if err := c.resolveFlags(e); err != nil {
				return err
			}
			return c.printStatus(instances)
		}
	},
}

var ownerCommand = command{
	name:     "owner",
	args:     "SERVICE KEY",
	summary:  "tell who owns a key, since when and why",
	examples: []string{"owner listing lot-4711", "owner -o json claims bale-7"},
	setup: func(f *flags) func(*env) error {
		var service, key string
		c := newClient(f)
		f.positionalVar(&service, "SERVICE")
		f.positionalVar(&key, "KEY")
		return func(e *env) error {
			if err := c.resolveFlags(e); err != nil {
				return err
			}
			return c.printOwner(service, key)
		}
	},
}

var drainCommand = command{
	name:     "drain",
	summary:  "let an instance hand over its keys, finish its work and end",
	examples: []string{"drain --admin 10.1.0.11:7002"},
	setup: func(f *flags) func(*env) error {
		c := newClient(f)
		return func(e *env) error {
			if err := c.resolveFlags(e); err != nil {
				return err
			}
			return c.drain()
		}
	},
}

// Version is the version of the program. The linker sets it.
var Version = "dev"

var versionCommand = command{
	name:     "version",
	summary:  "print the version of the program",
	examples: []string{"version"},
	setup: func(*flags) func(*env) error {
		return func(e *env) error {
			_, err := fmt.Fprintln(e.stdout, "pollenlatch "+versionName())
			return err
		}
	},
}

// versionName returns the version and the source revision of the build.
func versionName() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return Version
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" && len(s.Value) >= 12 {
			return Version + " " + s.Value[:12]
		}
	}
	return Version
}

func (c *client) printStatus(instances bool) error {
	query := url.Values{}
	if instances {
		query.Set("instances", "true")
	}
	var s admin.Status
	resp, err := c.sendWithRetries("GET", "/v1/status", query, nil, &s)
	if err != nil {
		return err
	}
	c.printResponse(resp, func(t *table) {
		processTable(t, s)
		t.line("")
		t.row("SERVICE", "KEYED", "RANGES", "UNOWNED", "MOVING", "HOT KEYS", "ENDPOINTS", "USABLE")
		for _, svc := range s.Services {
			t.row(svc.Name, yesNo(svc.Keyed), svc.Ranges, svc.Unowned, svc.Moving, svc.HotKeys, svc.Endpoints, svc.Usable)
		}
		if instances {
			t.line("")
			instanceTable(t, s)
		}
	})
	return nil
}

func processTable(t *table, s admin.Status) {
	p := s.Process
	t.row("instance", p.Name)
	t.row("data centre", p.DC+" in "+p.Region)
	t.row("group", p.Group)
	t.row("program", p.ProgramVersion)
	t.row("started", p.StartedAt.UTC().Format(time.RFC3339))
	t.row("serving", yesNo(p.Serving))
	t.row("draining", yesNo(p.Draining))
	t.row("role", role(p))
	t.row("leader", orDash(p.Leader))
	t.row("term", p.Term)
	t.row("version", p.Version)
	t.row("next ticket", s.NextTicket)
	t.row("in flight", p.InFlight)
	t.row("queued", p.Queued)
	t.row("evacuated", orDash(strings.Join(s.EvacuatedDCs, ", ")))
	t.row("instances", fmt.Sprintf("%d with a lease, %d without", s.Alive, s.Lost))
}

func role(p admin.ProcessStatus) string {
	switch {
	case p.IsLeader:
		return "leader"
	case p.Voter:
		return "voter"
	default:
		return "daemon"
	}
}

func instanceTable(t *table, s admin.Status) {
	t.row("INSTANCE", "DC", "LEASE", "LINK", "SERVICE", "READY", "DRAINING", "EVACUATED", "FENCED")
	for _, i := range s.Instances {
		service, ready, draining, fenced := "-", "-", "-", "-"
		if e := i.Endpoint; e != nil {
			service, ready, draining, fenced = orDash(e.Service), yesNo(e.Ready), yesNo(e.Draining), yesNo(e.Fenced)
		}
		t.row(i.Name, i.DC, i.Lease, i.Addr, service, ready, draining, yesNo(i.Evacuated), fenced)
	}
}

func (c *client) printOwner(service, key string) error {
	var o admin.KeyOwner
	resp, err := c.sendWithRetries("GET", "/v1/owner", url.Values{"service": {service}, "key": {key}}, nil, &o)
	if err != nil {
		return err
	}
	c.printResponse(resp, func(t *table) { ownerTable(t, o) })
	if o.Instance == nil {
		return exitf(exitFailed, "nobody owns key %q of service %s", key, service)
	}
	return nil
}

func ownerTable(t *table, o admin.KeyOwner) {
	t.row("service", o.Service)
	t.row("key", o.Key)
	t.row("range", o.Range)
	t.row("own record", yesNo(o.HotKey))
	if i := o.Instance; i != nil {
		t.row("owner", i.Name)
		t.row("data centre", i.DC)
		t.row("callers", i.Front)
		t.row("lease", i.Lease)
	} else {
		t.row("owner", "-")
		t.row("last owner", orDash(o.Previous))
	}
	t.row("fence", o.Fence)
	since := "not seen by this instance"
	if o.Since != nil {
		since = o.Since.UTC().Format(time.RFC3339Nano)
	}
	t.row("since", since)
	t.row("why", o.Reason)
	t.row("next owner", orDash(o.Next))
	t.row("version", o.Version)
}

func (c *client) drain() error {
	var p admin.ProcessStatus
	resp, err := c.sendWithRetries("POST", "/v1/drain", nil, nil, &p)
	if err != nil {
		return err
	}
	c.printResponse(resp, func(t *table) { t.line("%s is draining", p.Name) })
	return nil
}
