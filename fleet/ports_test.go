package fleet

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// A port that another process takes between its reservation and serving makes the
// start of the deployment fail.
func TestPortsStayReserved(t *testing.T) {
	var p reservedPorts
	defer p.close()
	addr, err := p.reserve()
	require.NoError(t, err)
	_, err = net.Listen("tcp", addr)
	require.Error(t, err, "another process can take the reserved port")

	ln, err := p.listen(addr)
	require.NoError(t, err)
	_, err = net.Listen("tcp", addr)
	require.Error(t, err, "another process can take the port while it is served")

	require.NoError(t, ln.Close())
	ln, err = p.listen(addr)
	require.NoError(t, err, "a restarted instance can't listen on its port")
	require.NoError(t, ln.Close())

	unused, err := p.reserve()
	require.NoError(t, err)
	p.close()
	ln, err = net.Listen("tcp", unused)
	require.NoError(t, err, "a port that was not served is still reserved after close")
	require.NoError(t, ln.Close())
}
