package lint

import (
	"fmt"
	"net"
	"strings"
	"time"

	"pollenlatch"
)

func (r *Result) checkItem(i *pollenlatch.ConfigItem) {
	name := itemName(i)
	switch i.Kind {
	case pollenlatch.ItemRoute:
		r.checkMatch(name, i.Route)
		r.checkSplit(name, i.Route)
		r.checkTimes(name, i.Route)
	case pollenlatch.ItemService:
		r.checkCold(name, i.Service)
	case pollenlatch.ItemLimits:
		r.checkLimits(name, i.Limits)
	}
}

// checkMatch reports routes that no request reaches. Longer prefixes never cover a
// shorter one: the path that equals the shorter prefix remains. The group refuses
// equal prefixes.
func (r *Result) checkMatch(name string, route *pollenlatch.Route) {
	_, _, err := net.SplitHostPort(route.Host)
	switch {
	case strings.ContainsAny(route.Host, "/?#@") || hasSpace(route.Host):
		r.add(SeverityWarning, name, fmt.Sprintf("never matches: %q is not the name of a host", route.Host))
	case err == nil:
		r.add(SeverityWarning, name, fmt.Sprintf("never matches: host %q has a port, and hosts are compared without one", route.Host))
	case strings.Contains(route.Host, "*"):
		r.add(SeverityWarning, name, fmt.Sprintf("host %q has a wildcard, but hosts are compared literally", route.Host))
	}
	switch {
	case strings.ContainsAny(route.Prefix, "?#"):
		r.add(SeverityWarning, name, fmt.Sprintf("never matches: prefix %q has a query or a fragment, which no path has", route.Prefix))
	case hasSpace(route.Prefix):
		r.add(SeverityWarning, name, fmt.Sprintf("never matches: prefix %q has a space or control character, and paths are compared as sent", route.Prefix))
	case hasInvalidEscape(route.Prefix):
		r.add(SeverityWarning, name, fmt.Sprintf("never matches: prefix %q has an invalid percent escape", route.Prefix))
	case !strings.HasSuffix(route.Prefix, "/"):
		r.add(SeverityWarning, name, fmt.Sprintf("prefix %q does not end with a slash and also matches longer names, such as %q", route.Prefix, route.Prefix+"x"))
	}
}

// hasSpace reports whether s has a character that ends a request target or makes it
// invalid.
func hasSpace(s string) bool {
	return strings.ContainsFunc(s, func(c rune) bool { return c <= ' ' || c == 0x7f })
}

// hasInvalidEscape reports whether no path that begins with s has valid escapes. An
// escape that is cut off at the end may be completed by the path.
func hasInvalidEscape(s string) bool {
	for n := range len(s) {
		if s[n] == '%' && strings.Trim(s[n+1:min(n+3, len(s))], "0123456789abcdefABCDEF") != "" {
			return true
		}
	}
	return false
}

func (r *Result) checkSplit(name string, route *pollenlatch.Route) {
	seen := make(map[string]bool)
	for _, s := range route.Services {
		if s.Weight == 0 {
			r.add(SeverityWarning, name, fmt.Sprintf("service %q has weight 0 and gets no requests", s.Service))
		}
		if seen[s.Service] {
			r.add(SeverityWarning, name, fmt.Sprintf("service %q is listed more than once, and its weights add up", s.Service))
		}
		seen[s.Service] = true
	}
}

func (r *Result) checkTimes(name string, route *pollenlatch.Route) {
	switch {
	case route.LatencyTarget < 0:
		r.add(SeverityWarning, name, fmt.Sprintf("latency target %v is negative and is not used", route.LatencyTarget))
	case route.LatencyTarget > route.Timeout:
		r.add(SeverityWarning, name, fmt.Sprintf("latency target %v is above the timeout %v: no response in time misses it", route.LatencyTarget, route.Timeout))
	}
	if route.MaxAttempts > 1 && !route.Idempotent {
		r.add(SeverityNote, name, fmt.Sprintf("requests are not repeatable: of %d attempts, those after the first follow only a refusal", route.MaxAttempts))
	}
}

func (r *Result) checkCold(name string, s *pollenlatch.Service) {
	if s.ColdRate > 0 && s.ColdTime <= 0 {
		r.add(SeverityWarning, name, "has a request rate for cold servers, but no time for which they are cold: there is no slow start")
	}
	if s.ColdRate > 0 && s.HealthPath == "" {
		r.add(SeverityNote, name, "has a request rate for cold servers, but no health path: a server that becomes cold again is not noticed by a health check")
	}
}

func (r *Result) checkLimits(name string, l *pollenlatch.Limits) {
	for _, n := range []int64{l.MaxHeaderBytes, l.MaxBodyBytes} {
		if n < 0 {
			r.add(SeverityWarning, name, fmt.Sprintf("size %d is negative and is not used", n))
		}
	}
	for _, d := range []time.Duration{l.HeaderTimeout, l.IdleTimeout} {
		if d < 0 {
			r.add(SeverityWarning, name, fmt.Sprintf("timeout %v is negative and is not used", d))
		}
	}
}

// checkServices reports services of the change to which no route leads, and routes of
// the change whose timeout exceeds the run time of a service.
func (r *Result) checkServices(set map[key]bool, items map[key]pollenlatch.ConfigItem) {
	used := make(map[string]bool)
	for k, i := range items {
		if k.kind != pollenlatch.ItemRoute {
			continue
		}
		for _, s := range i.Route.Services {
			used[s.Service] = true
			svc := items[key{pollenlatch.ItemService, s.Service}].Service
			if set[k] && svc != nil && svc.MaxRun > 0 && i.Route.Timeout > svc.MaxRun {
				r.add(SeverityNote, itemName(&i), fmt.Sprintf("timeout %v is above the %v that a request to service %q may run", i.Route.Timeout, svc.MaxRun, s.Service))
			}
		}
	}
	for k, i := range items {
		if k.kind == pollenlatch.ItemService && set[k] && !used[k.name] {
			r.add(SeverityNote, itemName(&i), "no route leads to it")
		}
	}
}
