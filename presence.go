package pollenlatch

import "context"

// Presence tells whether the caller of a request still waits for the response.
type Presence interface {
	// Left reports whether the caller has disconnected. It asks the connection, so it
	// knows earlier than the context of the request, which ends only once the process
	// has read the end of the connection.
	Left() bool
}

type presenceKey struct{}

// WithPresence returns a context for the requests of the caller p.
func WithPresence(ctx context.Context, p Presence) context.Context {
	return context.WithValue(ctx, presenceKey{}, p)
}

// CallerLeft reports whether the caller of the request with the context ctx no longer
// waits for the response. Work for a request must not be started then.
func CallerLeft(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	p, ok := ctx.Value(presenceKey{}).(Presence)
	return ok && p.Left()
}
