package daemon

import (
	"io"

	"pollenlatch"
)

// passBody ends a request's pass with its answer.
type passBody struct {
	io.ReadCloser
	pass pollenlatch.Pass
}

// Close closes the answer and ends the pass.
func (b *passBody) Close() error {
	defer b.pass.Exit()
	return b.ReadCloser.Close()
}
