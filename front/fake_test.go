package front

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"pollenlatch"
)

// The tests fail if a goroutine of a server or router is left running.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeView is a view with the services claims (keyed), listing (numeric keys)
// and catalogue (not keyed).
type fakeView struct {
	pollenlatch.View
	version   pollenlatch.Version
	owner     pollenlatch.Owner
	endpoints []pollenlatch.Instance
	server    *pollenlatch.Endpoint // of all instances; nil is one that is ready
	evacuated bool                  // all instances are in an evacuated data centre
}

func (v *fakeView) Version() pollenlatch.Version { return v.version }

func (v *fakeView) Service(name string) (pollenlatch.Service, bool) {
	switch name {
	case "claims":
		return pollenlatch.Service{
			Name: name, Keyed: true, Idempotent: []string{"poll"}, NonIdempotent: []string{"charge"},
			Rules: []pollenlatch.ClassRule{{Kind: "dispatch", Class: pollenlatch.ClassUrgent}},
		}, true
	case "listing":
		return pollenlatch.Service{Name: name, Keyed: true, NumericKeys: true, Heartbeats: true}, true
	case "catalogue":
		return pollenlatch.Service{Name: name, DCs: []string{"nadia", "hooghly"}}, true
	default:
		return pollenlatch.Service{}, false
	}
}

func (v *fakeView) Owner(service, _ string) (pollenlatch.Owner, bool) {
	o := v.owner
	o.Shard = pollenlatch.Shard{Service: service, Range: 3}
	return o, true
}

func (v *fakeView) ShardOwner(s pollenlatch.Shard) (pollenlatch.Owner, bool) {
	return v.Owner(s.Service, "")
}

func (v *fakeView) Instance(id pollenlatch.InstanceID) (pollenlatch.Instance, bool) {
	i := instance(id)
	if v.server != nil {
		i.Endpoint = v.server
	}
	i.Evacuated = v.evacuated
	return i, true
}

func (v *fakeView) Endpoints(string) []pollenlatch.Instance { return v.endpoints }

func instance(id pollenlatch.InstanceID) pollenlatch.Instance {
	name := string(rune('a' + id))
	return pollenlatch.Instance{
		ID: id, Name: name, Addr: "link-" + name, Front: "front-" + name, DC: "nadia", Lease: 1,
		Endpoint: &pollenlatch.Endpoint{Ready: true},
	}
}

// fakeControl is the control state of instance 1.
type fakeControl struct {
	pollenlatch.Control
	mu      sync.Mutex
	view    *fakeView
	serving error
	changed chan struct{}
}

func newFakeControl(owner pollenlatch.InstanceID) *fakeControl {
	return &fakeControl{
		view:    &fakeView{version: 1, owner: pollenlatch.Owner{Instance: owner, Fence: 1}},
		changed: make(chan struct{}),
	}
}

func (c *fakeControl) Self() pollenlatch.InstanceID { return 1 }

func (c *fakeControl) View() pollenlatch.View {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view
}

func (c *fakeControl) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

func (c *fakeControl) Serving() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.serving
}

// updateView changes the view and reports the change.
func (c *fakeControl) updateView(f func(v *fakeView)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := *c.view
	f(&v)
	v.version++
	c.view = &v
	close(c.changed)
	c.changed = make(chan struct{})
}

// fakePicker picks the first candidate that was not tried.
type fakePicker struct {
	mu   sync.Mutex
	done []pollenlatch.Outcome
}

func (p *fakePicker) Pick(c []pollenlatch.Instance, _ string, tried pollenlatch.Set[pollenlatch.InstanceID]) (pollenlatch.Instance, func(pollenlatch.Outcome, pollenlatch.Reason, time.Duration), bool) {
	for _, i := range c {
		if !tried.Has(i.ID) {
			return i, func(o pollenlatch.Outcome, _ pollenlatch.Reason, _ time.Duration) {
				p.mu.Lock()
				defer p.mu.Unlock()
				p.done = append(p.done, o)
			}, true
		}
	}
	return pollenlatch.Instance{}, nil, false
}

// fakeForwarder responds by calling respond with the number of the attempt, and
// records the addresses.
type fakeForwarder struct {
	mu      sync.Mutex
	addrs   []string
	respond func(n int, r *pollenlatch.Request) (*pollenlatch.Response, error)
}

func (f *fakeForwarder) Forward(_ context.Context, addr string, r *pollenlatch.Request) (*pollenlatch.Response, error) {
	f.mu.Lock()
	f.addrs = append(f.addrs, addr)
	n := len(f.addrs)
	f.mu.Unlock()
	return f.respond(n, r)
}

func okResponse(body string) *pollenlatch.Response {
	return &pollenlatch.Response{
		ResponseHead: pollenlatch.ResponseHead{Status: http.StatusOK, Length: int64(len(body))},
		Body:         io.NopCloser(strings.NewReader(body)),
	}
}

func failure(o pollenlatch.Outcome, r pollenlatch.Reason, status int) *pollenlatch.Failure {
	return &pollenlatch.Failure{Outcome: o, Reason: r, Status: status, Detail: "detail"}
}

func requireFailure(t *testing.T, err error, o pollenlatch.Outcome, r pollenlatch.Reason, status int) {
	t.Helper()
	var f *pollenlatch.Failure
	require.ErrorAs(t, err, &f)
	require.Equal(t, o, f.Outcome, f.Error())
	require.Equal(t, r, f.Reason, f.Error())
	require.Equal(t, status, f.Status, f.Error())
}
