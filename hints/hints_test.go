package hints

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
)

// fakeView is a View with services, and perhaps with large request bodies.
type fakeView struct {
	pollenlatch.View
	version  pollenlatch.Version
	services []pollenlatch.Service
	large    bool
}

func (v fakeView) Version() pollenlatch.Version    { return v.version }
func (v fakeView) Services() []pollenlatch.Service { return v.services }
func (v fakeView) HasLargeBodies() bool            { return v.large }

// A deployment that does not ask for the parts for overload is served as before.
func TestCondition(t *testing.T) {
	var c Condition
	plain := fakeView{version: 1, services: []pollenlatch.Service{{Name: "a"}}}
	require.False(t, c.Applies(plain))
	require.True(t, c.Applies(fakeView{version: 2, services: []pollenlatch.Service{{Name: "a"}, {Name: "b", ColdTime: time.Second}}}))
	require.False(t, c.Applies(plain), "the configuration was taken back")
	require.True(t, c.Applies(fakeView{version: 3, large: true}))
	c.RecordLoad(nil)
	c.RecordLoad(&pollenlatch.ServerLoad{Running: 1, Slots: 2})
	require.False(t, c.Applies(plain), "servers that report three figures")
	c.RecordLoad(&pollenlatch.ServerLoad{Slowness: 100})
	require.True(t, c.Applies(plain))
}
