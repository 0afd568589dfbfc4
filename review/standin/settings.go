package main

import (
	"encoding/json"
	"fmt"
	"os"
	"regexp"
	"strings"
)

// render fills in the template of the deploy file, as far as the template uses the
// platform's placeholders: values, and sections for a list or a value.
func render(template string, fields map[string]any) string {
	section := regexp.MustCompile(`(?s)\{\{#([a-z_.0-9]+)\}\}`)
	for {
		m := section.FindStringSubmatchIndex(template)
		if m == nil {
			break
		}
		name := template[m[2]:m[3]]
		end := "{{/" + name + "}}"
		n := strings.Index(template[m[1]:], end)
		if n < 0 {
			panic("section " + name + " has no end")
		}
		inner := template[m[1] : m[1]+n]
		out := ""
		switch v := fields[name].(type) {
		case nil:
		case []string:
			for _, e := range v {
				out += strings.ReplaceAll(inner, "{{.}}", e)
			}
		default:
			out = strings.ReplaceAll(inner, "{{.}}", text(v))
		}
		template = template[:m[0]] + out + template[m[1]+n+len(end):]
	}
	value := regexp.MustCompile(`\{\{([a-z_.0-9]+)\}\}`)
	return value.ReplaceAllStringFunc(template, func(s string) string { return text(fields[s[2:len(s)-2]]) })
}

func text(v any) string {
	switch v := v.(type) {
	case nil:
		return ""
	case string:
		return v
	default:
		b, err := json.Marshal(v)
		if err != nil {
			panic(err)
		}
		return string(b)
	}
}

// writeSettings writes the settings of a machine.
func (d *deployment) writeSettings(m *machine) error {
	b, err := os.ReadFile("deploy/settings.yaml")
	if err != nil {
		return err
	}
	var seeds []string
	for _, c := range d.cores[:3] {
		seeds = append(seeds, c.addr(portControl))
	}
	f := map[string]any{
		"ip": m.ip, names["place"]: m.place, "region": "east",
		"internal_port_range.0": portInternal, "internal_port_range.1": portInternal + 15,
		"listen.control": m.addr(portControl), "seeds": seeds, "heartbeat_ms": int(heartbeat.Milliseconds()),
		"fault_tolerance.machines": 2, "bounds.hold_max_ms": 10000, "bounds.drain_ms": int(drainTime.Milliseconds()), "bounds.grace_s": 6,
		"bounds.budget_window_s": 10, "bounds.retry_budget_ratio": 0.2, "bounds.budget_slack": 56,
		"limits.cpu_share": 0.96, "limits.memory_mb": 284, "limits.link_mbps": 1000.0,
	}
	if m.service != "" {
		f["listen.outbound"], f["listen.ready"] = m.addr(portOutbound), m.addr(portReady)
		f["service"], f["app_addr"] = m.service, m.addr(portApp)
	} else {
		f["data_dir"], f["bootstrap"] = m.dataDir(), !m.startedBefore
	}
	return os.WriteFile(m.settingsFile(), []byte(render(string(b), f)), 0o600)
}

func (m *machine) addr(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }
