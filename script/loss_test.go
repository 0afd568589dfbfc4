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

// BenchmarkLoss kills the daemon and the server of an instance, and reports the time
// in milliseconds until a key of that instance has another owner and is served again.
// Run it with -benchtime 30x for 30 losses.
func BenchmarkLoss(b *testing.B) {
	program, err := exec.LookPath("pollenlatch")
	require.NoError(b, err)
	d, err := NewDeployment(b.TempDir(), filepath.Dir(program))
	require.NoError(b, err)
	defer d.Close()
	sc := &scenario{deployment: d}
	for i := range 5 {
		require.NoError(b, d.Add(&Instance{
			Name: "i" + strconv.Itoa(i+1), DC: fmt.Sprintf("dc%d", i%3+1), Voter: i < 3, Service: "listing",
		}))
	}
	for _, i := range d.instances {
		require.NoError(b, d.StartDaemon(i))
		require.NoError(b, d.StartServer(i))
	}
	decision, status, err := d.instances[0].applyTicket([]byte(lossTicket), "in-force")
	require.NoError(b, err)
	require.Equal(b, http.StatusOK, status, "%+v", decision)
	awaitCondition(b, sc, usable, "i1", "listing", "5")
	var movedAfter, servedAfter []time.Duration
	for n := range b.N {
		awaitCondition(b, sc, owned, "i1", "listing")
		victim, key := pickVictim(b, sc, n)
		observer := d.instances[(slices.Index(d.instances, victim)+1)%len(d.instances)]
		start := time.Now()
		require.NoError(b, victim.server.signal(syscall.SIGKILL))
		require.NoError(b, victim.daemon.signal(syscall.SIGKILL))
		moved := make(chan time.Duration, 1)
		go func() { moved <- timeUntilMoved(sc, observer.Name, key, victim.Name, start) }()
		servedAfter = append(servedAfter, timeUntilServed(observer, key, start))
		movedAfter = append(movedAfter, <-moved)
		<-victim.daemon.done
		<-victim.server.done
		require.NoError(b, d.StartDaemon(victim))
		require.NoError(b, d.StartServer(victim))
		awaitCondition(b, sc, usable, observer.Name, "listing", "5")
	}
	report := func(name string, all []time.Duration) {
		slices.Sort(all)
		b.ReportMetric(float64(all[len(all)/2].Milliseconds()), name+"-median-ms")
		b.ReportMetric(float64(all[len(all)-1].Milliseconds()), name+"-max-ms")
	}
	report("owned", movedAfter)
	report("served", servedAfter)
}

// awaitCondition waits until a condition of the command expect holds.
func awaitCondition(b *testing.B, sc *scenario, c condition, args ...string) {
	b.Helper()
	var seen string
	for end := time.Now().Add(hangTimeout); time.Now().Before(end); <-time.After(pollInterval) {
		var ok bool
		if ok, seen = c(sc, args); ok {
			return
		}
	}
	require.Fail(b, "condition not met", "%v: %s", args, seen)
}

// pickVictim returns the owner of some key. In every third loss it is the leader, if
// that owns one of the keys tried.
func pickVictim(b *testing.B, sc *scenario, n int) (victim *Instance, key string) {
	b.Helper()
	status, err := sc.status(sc.deployment.instances[n%2].Name)
	require.NoError(b, err)
	for k := range 500 {
		o, err := sc.owner("i1", "listing", fmt.Sprintf("lot-%d", n*7+k))
		require.NoError(b, err)
		if o.Instance == nil {
			continue
		}
		victim, err = sc.deployment.Find(o.Instance.Name)
		require.NoError(b, err)
		key = o.Key
		if n%3 != 0 || o.Instance.Name == status.Process.Leader {
			break
		}
	}
	require.NotNil(b, victim)
	return victim, key
}

// timeUntilMoved polls an instance until a key has another owner than the victim, and
// returns the time since start.
func timeUntilMoved(sc *scenario, observer, key, victim string, start time.Time) time.Duration {
	for time.Since(start) < hangTimeout {
		o, err := sc.owner(observer, "listing", key)
		if err == nil && o.Instance != nil && o.Instance.Name != victim {
			break
		}
		<-time.After(time.Millisecond)
	}
	return time.Since(start)
}

// timeUntilServed sends requests for a key until one succeeds, and returns the time
// since start.
func timeUntilServed(i *Instance, key string, start time.Time) time.Duration {
	for time.Since(start) < hangTimeout {
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
