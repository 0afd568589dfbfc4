package pollenlatch

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A decoder that accepts a damaged message would hand wrong data to a reducer.
func TestDecodeRefuses(t *testing.T) {
	b, err := Encode(&Message{Renew: &Renew{Seq: 1, Name: "a", Incarnation: 7}})
	require.NoError(t, err)

	t.Run("whole message", func(t *testing.T) {
		var m Message
		require.NoError(t, Decode(b, &m))
		require.Equal(t, "a", m.Renew.Name)
	})
	t.Run("truncated message", func(t *testing.T) {
		var m Message
		require.Error(t, Decode(b[:len(b)-1], &m))
	})
	t.Run("empty message", func(t *testing.T) {
		var m Message
		require.Error(t, Decode(nil, &m))
	})
}

// Two processes that hash a key differently would route it to two owners.
func TestRangeOfIsFixed(t *testing.T) {
	for _, c := range []struct {
		service, key string
		bits         uint32
		want         Range
	}{
		{"listing", "lot-1", 0, 0},
		{"listing", "lot-1", 10, 844},
		{"listing", "lot-2", 10, 894},
	} {
		t.Run(c.key, func(t *testing.T) {
			require.Equal(t, c.want, RangeOf(c.service, c.key, c.bits))
		})
	}
}
