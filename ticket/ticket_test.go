package ticket

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
	"pollenlatch/yamlx"
)

const fullTicket = `number: 7
services:
  - name: listing
    keyed: true
    ranges: 2048
    maxrun: 500ms
    queue: 20
    weights: {imbalance: 1, churn: 2, unavailable: 3.5}
    objectives:
      - {class: urgent, availability: 0.999, latency: 50ms, fast: 0.99}
    rules:
      - {caller: mender, kind: claim, class: urgent}
      - {kind: view, class: normal}
    dcs: [howrah, nadia]
    idempotent: [view]
    recordttl: 1m
callers:
  - name: mender
    rate: 2.5
voters:
  - {name: a, incarnation: 18446744073709551615, addr: "127.0.0.1:1"}
remove: [depot]
`

// Every field must be parsed correctly: an error changes the configuration of every
// daemon.
func TestParse(t *testing.T) {
	number, got, err := Parse(fullTicket)
	require.NoError(t, err)
	require.EqualValues(t, 7, number)
	require.Equal(t, pollenlatch.Spec{
		Services: []pollenlatch.Service{{
			Name:       "listing",
			Keyed:      true,
			RangeBits:  11,
			MaxRun:     500 * time.Millisecond,
			QueueLimit: 20,
			Weights:    pollenlatch.Weights{Imbalance: 1, Churn: 2, Unavailable: 3.5},
			Objectives: []pollenlatch.Objective{{Class: pollenlatch.ClassUrgent, Availability: 0.999, Latency: 50 * time.Millisecond, FastShare: 0.99}},
			Rules: []pollenlatch.ClassRule{
				{Caller: "mender", Kind: "claim", Class: pollenlatch.ClassUrgent},
				{Kind: "view", Class: pollenlatch.ClassNormal},
			},
			DCs:        []string{"howrah", "nadia"},
			Idempotent: []string{"view"},
			RecordTTL:  time.Minute,
		}},
		Callers: []pollenlatch.Caller{{Name: "mender", Rate: 2.5, Burst: 3}},
		Voters:  []pollenlatch.Member{{Name: "a", Incarnation: 1<<64 - 1, Addr: "127.0.0.1:1"}},
		Remove:  []string{"depot"},
	}, got)
}

func TestDefaults(t *testing.T) {
	_, got, err := Parse("number: 1\nservices:\n  - name: depot\n")
	require.NoError(t, err)
	require.Equal(t, pollenlatch.Service{
		Name:       "depot",
		RangeBits:  10,
		MaxRun:     DefaultMaxRun,
		QueueLimit: DefaultQueueLimit,
		Weights:    DefaultWeights,
		RecordTTL:  DefaultRecordTTL,
	}, got.Services[0])
}

// Every fault must name its line and path, so that the operator can find it.
func TestFaultsNameLineAndPath(t *testing.T) {
	serviceWith := func(fields string) string { return "number: 1\nservices:\n  - name: s\n    " + fields }
	for _, tc := range []struct{ name, text, want string }{
		{"empty", "", "the document is empty"},
		{"syntax", "number: 1\nservices: [\n", "YAML syntax"},
		{"two documents", "number: 1\n---\nnumber: 2\n", "one document"},
		{"nested brackets", strings.Repeat("[", 1<<18), "nested more than"},
		{"nested lists", strings.Repeat("- ", 1<<17), "nested more than"},
		{"no mapping", "- 1\n", "must be a mapping, not a list"},
		{"no number", "remove: [a]\n", "number: is missing"},
		{"negative number", "number: -1\nremove: [a]\n", "line 1: number: must not be below 0"},
		{"nothing", "number: 1\n", "changes nothing"},
		{"unknown field", serviceWith("rangs: 4"), "line 4: services[0].rangs: unknown field; known fields: name, keyed, ranges"},
		{"unknown top field", "number: 1\nvoter: []\nremove: [a]\n", "line 2: voter: unknown field"},
		{"duplicate field", serviceWith("ranges: 4\n    ranges: 8"), "YAML syntax: mapping key \"ranges\" already defined"},
		{"ranges", serviceWith("ranges: 1000"), "line 4: services[0].ranges: 1000 is not a power of two"},
		{"too many ranges", serviceWith("ranges: 2097152"), "line 4: services[0].ranges: 2097152 is not"},
		{"no unit", serviceWith("maxrun: 2"), "line 4: services[0].maxrun: must be a time with a unit"},
		{"bad unit", serviceWith("maxrun: 2 hours"), "line 4: services[0].maxrun: \"2 hours\" is not a time"},
		{"maxrun", serviceWith("maxrun: 2m"), "line 4: services[0].maxrun: 2m0s is not between"},
		{"record", serviceWith("recordttl: 1s"), "line 4: services[0].recordttl: 1s is shorter"},
		{"class", serviceWith("rules:\n      - {class: fast}"), "line 5: services[0].rules[0].class: \"fast\" is not a class"},
		{"no class", serviceWith("rules:\n      - kind: view"), "line 5: services[0].rules[0].class: is missing"},
		{"shadowed rule", serviceWith("rules:\n      - {class: normal}\n      - {kind: a, class: urgent}"), "line 6: services[0].rules[1]: never matches"},
		{"objective", serviceWith("objectives:\n      - {class: urgent, availability: 99.9, latency: 1s, fast: 0.9}"), "line 5: services[0].objectives[0].availability: 99.9"},
		{"weights", serviceWith("weights: {churn: -1}"), "line 4: services[0].weights: weights must not"},
		{"text", serviceWith("dcs: [1]"), "line 4: services[0].dcs[0]: must be text, not 1"},
		{"list", serviceWith("dcs: nadia"), "line 4: services[0].dcs: must be a list, not the text \"nadia\""},
		{"null", serviceWith("queue:"), "line 4: services[0].queue: has no value"},
		{"alias", serviceWith("dcs: &a [x]"), "line 4: services[0].dcs: anchors"},
		{"service name", "number: 1\nservices: [{name: A/b}]", "services[0].name: \"A/b\" is not a service name"},
		{"service named twice", "number: 1\nremove: [s]\nservices: [{name: s}]", "line 2: remove[0]: \"s\" is already named at services[0].name"},
		{"rate", "number: 1\ncallers:\n  - {name: c, burst: 3}", "line 3: callers[0].burst: has no effect"},
		{"voters", "number: 1\nvoters:\n  - {name: a, incarnation: 1, addr: x}\n  - {name: b}", "line 4: voters[1].incarnation: is missing"},
		{"even voters", "number: 1\nvoters:\n  - {name: a, incarnation: 1, addr: x}\n  - {name: b, incarnation: 1, addr: x}", "line 2: voters: 2 voters"},
		{"too large", "number: 1\ncallers: [{name: c, rate: 1, burst: 4294967296}]", "callers[0].burst: is too large"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, _, err := Parse(tc.text)
			var e *yamlx.Error
			require.ErrorAs(t, err, &e)
			require.Len(t, Faults(err), len(e.Faults))
			require.Contains(t, err.Error(), tc.want)
		})
	}
	t.Run("all faults at once", func(t *testing.T) {
		_, _, err := Parse("number: x\nservices:\n  - name: s\n    queue: no\n    nme: t\n")
		require.Equal(t, 3, strings.Count(err.Error(), "line "))
	})
}

// A document from the network must never crash the process that parses it.
func FuzzParse(f *testing.F) {
	f.Add(fullTicket)
	f.Add("a: &a [*a]")
	f.Add("? {}\n: ")
	f.Fuzz(func(t *testing.T, text string) {
		number, _, err := Parse(text)
		if err == nil {
			require.NotZero(t, number)
			return
		}
		require.NotEmpty(t, err.Error())
	})
}

// The diff must be right: the operator relies on it to decide whether to send the
// ticket.
func TestDiff(t *testing.T) {
	_, current, err := Parse(fullTicket)
	require.NoError(t, err)
	_, update, err := Parse(strings.NewReplacer("500ms", "700ms", "class: normal", "class: routine", "remove: [depot]", "remove: [old]").Replace(fullTicket))
	require.NoError(t, err)
	current.Services = append(current.Services, pollenlatch.Service{Name: "old"})
	got := Diff(current, Merge(current, update))
	require.Equal(t, Change{"services[listing].maxrun", "500ms", "700ms"}, got[0])
	require.Equal(t, Change{"services[listing].rules[1].class", "normal", "routine"}, got[1])
	require.Equal(t, Change{Path: "services[old].name", Old: `"old"`}, got[2])
	require.Empty(t, Diff(current, current))
	require.Contains(t, Diff(pollenlatch.Spec{}, update), Change{Path: "services[listing].ranges", New: "2048"})
}
