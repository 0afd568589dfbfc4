package local_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp/fasthttputil"

	"pollenlatch/local"
)

// Guards against a health response with an invalid status that counts as a success: the
// HTTP library returns 200 for 000.
func TestInvalidHealthStatus(t *testing.T) {
	for status, valid := range map[string]bool{
		"HTTP/1.1 200 OK": true, "HTTP/1.1 201 X": true, "HTTP/1.1 000 OK": false, "HTTP/1.1 099 OK": false, "HTTP/1.1 600 X": false, "HTTP/1.1 999 X": false,
		"HTTP/1.1  000 OK": false, "\r\nHTTP/1.1 000 OK": false, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 OK": false,
	} {
		for name, write := range map[string]func(io.Writer, string){
			"at once": func(w io.Writer, s string) { _, _ = io.WriteString(w, s) },
			"in single bytes": func(w io.Writer, s string) {
				for n := range len(s) {
					_, _ = io.WriteString(w, s[n:n+1])
				}
			},
		} {
			t.Run(strings.TrimSpace(status)+" "+name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					var probes atomic.Int64
					toDaemon := fasthttputil.NewInmemoryListener()
					o := &observer{}
					m := local.New(local.Config{Observer: o, Dial: func(string) (net.Conn, error) {
						client, server := net.Pipe()
						go func() {
							defer func() { _ = server.Close() }()
							br := bufio.NewReader(server)
							for {
								if _, err := http.ReadRequest(br); err != nil {
									return
								}
								probes.Add(1)
								write(server, status+"\r\nContent-Length: 31\r\n\r\n"+`{"incarnation":7,"ready":true} `)
							}
						}()
						return client, nil
					}})
					go func() { _ = m.Serve(toDaemon) }()
					client := &http.Client{Transport: &http.Transport{Dial: func(string, string) (net.Conn, error) { return toDaemon.Dial() }}}
					body := `{"service":"listing","addr":"server:80","incarnation":7,"slots":2,"max_conns":2,"conns":2,"ready":true}`
					resp, err := client.Post("http://daemon"+local.PathAnnounce, "application/json", strings.NewReader(body))
					require.NoError(t, err)
					require.NoError(t, resp.Body.Close())
					require.Equal(t, http.StatusOK, resp.StatusCode)
					advance(500 * time.Millisecond)
					e, ok := m.Endpoint()
					require.True(t, ok)
					require.Equal(t, valid, e.Ready)
					require.Equal(t, valid, len(o.recorded()) > 0)
					require.Greater(t, probes.Load(), int64(1))
					client.CloseIdleConnections()
					require.NoError(t, m.Close())
					<-m.Done()
					advance(time.Minute)
				})
			})
		}
	}
}
