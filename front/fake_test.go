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

// Every test fails when a goroutine of a server or router outlives it.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeView is a state with the services claims (by key) and catalogue.
type fakeView struct {
	pollenlatch.View
	version   pollenlatch.Version
	owner     pollenlatch.Owner
	endpoints []pollenlatch.Instance
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
	return instance(id), true
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

func newControl(owner pollenlatch.InstanceID) *fakeControl {
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

// set changes the view.
func (c *fakeControl) set(f func(v *fakeView)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := *c.view
	f(&v)
	v.version++
	c.view = &v
	close(c.changed)
	c.changed = make(chan struct{})
}

// fakePicker takes the first candidate that was not tried.
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

// fakeForward answers like f and notes the addresses.
type fakeForward struct {
	mu    sync.Mutex
	addrs []string
	f     func(n int, r *pollenlatch.Request) (*pollenlatch.Response, error)
}

func (x *fakeForward) Forward(_ context.Context, addr string, r *pollenlatch.Request) (*pollenlatch.Response, error) {
	x.mu.Lock()
	x.addrs = append(x.addrs, addr)
	n := len(x.addrs)
	x.mu.Unlock()
	return x.f(n, r)
}

func ok(body string) *pollenlatch.Response {
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
