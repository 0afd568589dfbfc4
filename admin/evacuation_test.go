package admin

import (
	"context"
	"errors"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"pollenlatch"
)

func (f *fakeControl) Evacuate(_ context.Context, e pollenlatch.Evacuate) (pollenlatch.Verdict, error) {
	if f.proposeErr != nil {
		return pollenlatch.Verdict{}, f.proposeErr
	}
	e.Known = f.state.Version()
	return *f.apply(pollenlatch.Command{Evacuate: &e}).Verdict, nil
}

// An operator who is misinformed about an evacuation works on servers that run requests.
func TestEvacuate(t *testing.T) {
	control := &fakeControl{}
	control.inForce.Store(1)
	c := newTestClient(t, control)
	var d Decision
	require.Equal(t, 200, c.call("POST", "/v1/evacuate?dc=howrah&wait=in-force", "", &d))
	require.True(t, d.Verdict.Accepted)
	require.True(t, d.InForce)
	var st Status
	require.Equal(t, 200, c.call("GET", "/v1/status", "", &st))
	require.Equal(t, []string{"howrah"}, st.EvacuatedDCs)
	require.Equal(t, 202, c.call("POST", "/v1/evacuate?dc=howrah&finish=true&wait=in-force&timeout=30ms", "", &d), "not in force yet")
	require.True(t, d.Verdict.Accepted)
	require.Equal(t, 200, c.call("GET", "/v1/status", "", &st))
	require.Empty(t, st.EvacuatedDCs)
	for _, query := range []string{"", "?dc=", "?dc=" + strings.Repeat("x", pollenlatch.MaxDCBytes+1), "?dc=a&wait=x", "?dc=a&timeout=x"} {
		require.Equal(t, 400, c.call("POST", "/v1/evacuate"+query, "", nil), query)
	}
	control.proposeErr = errors.New("no leader")
	require.Equal(t, 503, c.call("POST", "/v1/evacuate?dc=howrah", "", nil))
}
