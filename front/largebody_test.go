package front

import (
	"testing"

	"github.com/stretchr/testify/require"

	"pollenlatch"
)

// Guards against large bodies that cross the network a second time although the own
// server is free, and against requests for a server that is not.
func TestLargeBodyPrefersOwnServer(t *testing.T) {
	for _, c := range []struct {
		name      string
		change    func(fx *routerFixture, r *pollenlatch.Request)
		wantLocal bool
	}{
		{"own server is free", func(*routerFixture, *pollenlatch.Request) {}, true},
		{"own server is not free", func(fx *routerFixture, _ *pollenlatch.Request) {
			fx.router.cfg.OwnServerFree = func() bool { return false }
		}, false},
		{"small body", func(_ *routerFixture, r *pollenlatch.Request) { r.LargeBody = false }, false},
		{"own server is of another service", func(fx *routerFixture, _ *pollenlatch.Request) {
			fx.control.view.endpoints = []pollenlatch.Instance{instance(2), instance(3)}
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			fx := newRouterFixture(0, respondRemote(t))
			fx.control.view.endpoints = []pollenlatch.Instance{instance(2), instance(3), instance(1)}
			fx.router.cfg.OwnServerFree = func() bool { return true }
			r := newPost("catalogue", "")
			r.LargeBody = true
			c.change(fx, r)
			resp, err := fx.router.Handle(t.Context(), r)
			require.NoError(t, err)
			require.NoError(t, resp.Body.Close())
			require.Equal(t, c.wantLocal, fx.localRequests == 1)
			require.Equal(t, c.wantLocal, len(fx.forwarder.addrs) == 0)
			if c.wantLocal {
				require.Equal(t, []pollenlatch.Outcome{pollenlatch.OutcomeNotRun, pollenlatch.OutcomeUnknown}, fx.picker.done, "the picked endpoint still counts the request")
			}
		})
	}
	t.Run("own server has refused it", func(t *testing.T) {
		fx := newRouterFixture(0, respondRemote(t))
		p := &pendingRequest{Router: fx.router, request: newPost("catalogue", ""), tried: pollenlatch.SetOf(pollenlatch.InstanceID(1))}
		p.request.LargeBody, fx.router.cfg.OwnServerFree = true, func() bool { return true }
		got, _ := p.preferOwnServer([]pollenlatch.Instance{instance(1), instance(2)}, instance(2), nil)
		require.Equal(t, instance(2).ID, got.ID)
	})
}
