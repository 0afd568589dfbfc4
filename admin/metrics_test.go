package admin

import (
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp/fasthttputil"
)

// The metrics of the set and of the process must be served: an investigation of a
// failure has only them and the logs.
func TestMetricsServer(t *testing.T) {
	set := metrics.NewSet()
	set.GetOrCreateCounter("pollenlatch_test_total").Add(3)
	l := fasthttputil.NewInmemoryListener()
	defer func() { _ = l.Close() }()
	go func() { _ = MetricsServer{Set: set}.Serve(l) }()
	c := http.Client{Transport: &http.Transport{Dial: func(string, string) (net.Conn, error) { return l.Dial() }}}
	defer c.CloseIdleConnections()
	for path, status := range map[string]int{"/metrics": http.StatusOK, "/": http.StatusNotFound} {
		t.Run(path, func(t *testing.T) {
			resp, err := c.Get("http://x" + path)
			require.NoError(t, err)
			defer func() { _ = resp.Body.Close() }()
			b, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			require.Equal(t, status, resp.StatusCode)
			if status == http.StatusOK {
				require.Contains(t, string(b), "pollenlatch_test_total 3\n")
				require.Contains(t, string(b), "process_resident_memory_bytes")
			}
		})
	}
}
