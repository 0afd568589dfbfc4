package fleet

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"pollenlatch"
	"pollenlatch/ctrl"
)

// BenchmarkPath compares requests that are sent directly to the sample server,
// through the owner's daemon, and through another daemon. It reports the median
// and the 99th percentile of the latency in microseconds.
func BenchmarkPath(b *testing.B) {
	cfg := boardConfig()
	cfg.Dir = b.TempDir()
	// Callers, daemons and servers share one process. With the default timing the
	// leader is lost during a run when the processors are saturated.
	cfg.Timing = ctrl.Timing{
		Lease: 5 * time.Second, Renew: time.Second, Heartbeat: 400 * time.Millisecond,
		Election: 1200 * time.Millisecond, Grace: 20 * time.Second, Drain: time.Second,
	}
	for i := range cfg.Instances {
		cfg.Instances[i].Endpoint.Slots, cfg.Instances[i].Endpoint.MaxConns = 100, 200
	}
	f, err := Start(cfg)
	require.NoError(b, err)
	defer f.Close()
	ctx, cancel := context.WithTimeout(b.Context(), testTimeout)
	defer cancel()
	_, err = f.Submit(ctx, pollenlatch.Ticket{Number: 1, Text: listingTicket, Sender: "bench"})
	require.NoError(b, err)
	var owner pollenlatch.Owner
	require.NoError(b, f.Wait(ctx, func(a *ctrl.Access) bool {
		o, ok := a.View.Owner("listing", "lot-1")
		owner = o
		return ok && o.Instance != 0
	}))
	var ownerNode, otherNode *Node
	for _, name := range f.Names() {
		if n := f.Node(name); n.Daemon.Access().Self == owner.Instance {
			ownerNode = n
		} else {
			otherNode = n
		}
	}
	for _, conns := range []int{1, 16, 64} {
		for _, target := range []struct{ name, addr string }{
			{"direct", ownerNode.Addrs.Server}, {"owner", ownerNode.Addrs.Front}, {"forward", otherNode.Addrs.Front},
		} {
			b.Run(fmt.Sprintf("%s/%d", target.name, conns), func(b *testing.B) {
				benchPath(b, target.addr, conns, owner.Fence, owner.Range)
			})
		}
	}
}

func benchPath(b *testing.B, addr string, conns int, fence pollenlatch.Fence, shardRange pollenlatch.Range) {
	b.Helper()
	client := &fasthttp.HostClient{Addr: addr, MaxConns: conns, Dial: func(a string) (net.Conn, error) { return net.Dial("tcp", a) }}
	latencies := make([][]time.Duration, conns)
	requests := make(chan struct{}, b.N)
	for range b.N {
		requests <- struct{}{}
	}
	close(requests)
	b.ResetTimer()
	var wg sync.WaitGroup
	for conn := range conns {
		wg.Go(func() {
			req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
			req.SetRequestURI("http://" + addr + "/s/listing/lot-1/view")
			req.Header.Set("Pollen-Service", "listing")
			req.Header.Set("Pollen-Key", "lot-1")
			req.Header.Set("Pollen-Fence", fmt.Sprint(fence))
			req.Header.Set("Pollen-Range", fmt.Sprintf("%d", shardRange))
			for range requests {
				start := time.Now()
				if err := client.Do(req, resp); err != nil || resp.StatusCode() != fasthttp.StatusOK {
					b.Errorf("status %d: %v %s", resp.StatusCode(), err, resp.Body())
					return
				}
				latencies[conn] = append(latencies[conn], time.Since(start))
			}
		})
	}
	wg.Wait()
	b.StopTimer()
	client.CloseIdleConnections()
	all := slices.Concat(latencies...)
	slices.Sort(all)
	if len(all) > 0 {
		b.ReportMetric(float64(all[len(all)/2].Microseconds()), "p50-us")
		b.ReportMetric(float64(all[len(all)*99/100].Microseconds()), "p99-us")
	}
}
