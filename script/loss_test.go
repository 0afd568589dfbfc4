package script

import (
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const lossTicket = `number: 1
services:
  - {name: listing, keyed: true, ranges: 64, maxrun: 1s}
`

// BenchmarkLoss kills real processes, a daemon with the server beside it, and
// reports how long a key of theirs was without service, in milliseconds. Run
// it with -benchtime 30x for 30 losses.
func BenchmarkLoss(b *testing.B) {
	program, err := exec.LookPath("pollenlatch")
	require.NoError(b, err)
	d, err := NewDeployment(b.TempDir(), filepath.Dir(program))
	require.NoError(b, err)
	defer d.Close()
	w := &world{d: d}
	for i := range 5 {
		require.NoError(b, d.Add(&Instance{
			Name: "i" + strconv.Itoa(i+1), DC: fmt.Sprintf("dc%d", i%3+1), Voter: i < 3, Service: "listing",
		}))
	}
	for _, i := range d.instances {
		require.NoError(b, d.StartDaemon(i))
		require.NoError(b, d.StartServer(i))
	}
	decision, status, err := d.instances[0].apply([]byte(lossTicket), "in-force")
	require.NoError(b, err)
	require.Equal(b, http.StatusOK, status, "%+v", decision)
	await(b, w, usable, "i1", "listing", "5")
	var committed, answered []time.Duration
	for n := range b.N {
		await(b, w, owned, "i1", "listing")
		victim, key := victimOf(b, w, n)
		seen := d.instances[(slices.Index(d.instances, victim)+1)%len(d.instances)]
		start := time.Now()
		require.NoError(b, victim.server.signal(syscall.SIGKILL))
		require.NoError(b, victim.daemon.signal(syscall.SIGKILL))
		known := make(chan time.Duration, 1)
		go func() { known <- untilMoved(w, seen.Name, key, victim.Name, start) }()
		answered = append(answered, untilAnswered(seen, key, start))
		committed = append(committed, <-known)
		<-victim.daemon.done
		<-victim.server.done
		require.NoError(b, d.StartDaemon(victim))
		require.NoError(b, d.StartServer(victim))
		await(b, w, usable, seen.Name, "listing", "5")
	}
	report := func(name string, all []time.Duration) {
		slices.Sort(all)
		b.ReportMetric(float64(all[len(all)/2].Milliseconds()), name+"-median-ms")
		b.ReportMetric(float64(all[len(all)-1].Milliseconds()), name+"-max-ms")
	}
	report("owned", committed)
	report("served", answered)
}

// await waits until a condition of the scenarios holds.
func await(b *testing.B, w *world, c condition, args ...string) {
	b.Helper()
	var seen string
	for end := time.Now().Add(hangLimit); time.Now().Before(end); <-time.After(pollInterval) {
		var ok bool
		if ok, seen = c(w, args); ok {
			return
		}
	}
	require.Fail(b, "the condition does not hold", "%v: %s", args, seen)
}

// victimOf returns the owner of some key, the leader in every third loss if it
// owns one.
func victimOf(b *testing.B, w *world, n int) (victim *Instance, key string) {
	b.Helper()
	status, err := w.status(w.d.instances[n%2].Name)
	require.NoError(b, err)
	for k := range 500 {
		o, err := w.owner("i1", "listing", fmt.Sprintf("lot-%d", n*7+k))
		require.NoError(b, err)
		if o.Instance == nil {
			continue
		}
		victim, err = w.d.Find(o.Instance.Name)
		require.NoError(b, err)
		key = o.Key
		if n%3 != 0 || o.Instance.Name == status.Process.Leader {
			break
		}
	}
	require.NotNil(b, victim)
	return victim, key
}

// untilMoved asks an instance until a key has another owner.
func untilMoved(w *world, seen, key, victim string, start time.Time) time.Duration {
	for time.Since(start) < hangLimit {
		o, err := w.owner(seen, "listing", key)
		if err == nil && o.Instance != nil && o.Instance.Name != victim {
			break
		}
		<-time.After(time.Millisecond)
	}
	return time.Since(start)
}

// untilAnswered asks for a key until it is answered well.
func untilAnswered(i *Instance, key string, start time.Time) time.Duration {
	for time.Since(start) < hangLimit {
		resp, err := http.Get("http://" + i.addr(frontPort) + "/s/listing/" + key + "/")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			break
		}
	}
	return time.Since(start)
}
