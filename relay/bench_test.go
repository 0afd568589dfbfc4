package relay

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"pollenlatch"
	"pollenlatch/sample"
)

// serveRaw responds to every request with the same bytes at almost no cost, so that
// the benchmark measures the client.
func serveRaw(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			br := bufio.NewReader(c)
			for {
				line, err := br.ReadSlice('\n')
				if err != nil {
					return
				}
				if len(line) > 2 {
					continue
				}
				if _, err := c.Write([]byte(okResponse)); err != nil {
					return
				}
			}
		}()
	}
}

// BenchmarkExchange compares the relay with other HTTP clients of the same server.
// The results with the sample server include the server's time and allocations;
// those of the raw server are negligible.
func BenchmarkExchange(b *testing.B) {
	servers := map[string]func(ln net.Listener){
		"raw": serveRaw,
		"sample": func(ln net.Listener) {
			s, err := sample.New(sample.Config{Endpoint: pollenlatch.Endpoint{Service: "listing", Slots: 1000, MaxConns: 1000}})
			require.NoError(b, err)
			_ = s.Serve(ln)
		},
	}
	for _, name := range []string{"raw", "sample"} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(b, err)
		go servers[name](ln)
		addr := ln.Addr().String()
		b.Run(name+"/relay", func(b *testing.B) { benchRelay(b, addr) })
		b.Run(name+"/fasthttp", func(b *testing.B) { benchFast(b, addr) })
		b.Run(name+"/nethttp", func(b *testing.B) { benchNet(b, addr) })
		require.NoError(b, ln.Close())
	}
}

func benchRelay(b *testing.B, addr string) {
	b.Helper()
	relay := New(Config{})
	relay.SetEndpoint(pollenlatch.Endpoint{Addr: addr, MaxConns: 100})
	defer relay.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			r := getRequest()
			r.Deadline = time.Now().Add(time.Second)
			resp, err := relay.Exchange(ctx, r, checkPasses)
			if err != nil {
				b.Error(err)
				return
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "req/s")
}

func benchFast(b *testing.B, addr string) {
	b.Helper()
	c := &fasthttp.HostClient{Addr: addr, MaxConns: 100}
	defer c.CloseIdleConnections()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
			req.SetRequestURI("http://" + addr + "/lot/1")
			if err := c.DoDeadline(req, resp, time.Now().Add(time.Second)); err != nil {
				b.Error(err)
				return
			}
			fasthttp.ReleaseRequest(req)
			fasthttp.ReleaseResponse(resp)
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "req/s")
}

func benchNet(b *testing.B, addr string) {
	b.Helper()
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
	defer c.CloseIdleConnections()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			resp, err := c.Get("http://" + addr + "/lot/1")
			if err != nil {
				b.Error(err)
				return
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "req/s")
}
