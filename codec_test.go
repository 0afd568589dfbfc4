package pollenlatch

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a crash of an earlier codec, which panicked when a repeated field
// grew beyond 10 elements, at the top level or in a nested message.
func TestDecodeManyElements(t *testing.T) {
	for _, n := range []int{0, 1, 10, 11, 1000} {
		m := Message{Delta: &Delta{From: 7, Commands: []Command{{Noop: &Noop{Term: 1}}}}}
		for i := range n {
			item := AssignItem{Shard: Shard{Service: "s", Range: Range(i)}, To: 2}
			a := &Assign{Items: []AssignItem{item}}
			for range i % 30 {
				a.Items = append(a.Items, item)
			}
			m.Delta.Commands = append(m.Delta.Commands, Command{Assign: a})
			m.Delta.Commands = append(m.Delta.Commands, Command{Ticket: &Ticket{Spec: Spec{Remove: make([]string, i%30)}}})
		}
		b, err := Encode(&m)
		require.NoError(t, err)
		var got Message
		require.NoError(t, Decode(b, &got))
		require.Equal(t, m.Delta.From, got.Delta.From)
		require.Len(t, got.Delta.Commands, len(m.Delta.Commands))
		for i, c := range m.Delta.Commands {
			if c.Assign != nil {
				require.Equal(t, c.Assign.Items, got.Delta.Commands[i].Assign.Items)
			}
			if c.Ticket != nil {
				require.Len(t, got.Delta.Commands[i].Ticket.Spec.Remove, len(c.Ticket.Spec.Remove))
			}
		}
		// When a singular message field occurs twice, its values are merged.
		require.NoError(t, Decode(append(b, b...), &got))
		for cut := range b[:min(len(b), 500)] {
			var part Message
			_ = Decode(b[:cut], &part)
		}
	}
}
