package admit

import (
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
	"pollenlatch/intake"
)

// offered is a request of the load test, with what became of it.
type offered struct {
	waited time.Duration // until it was admitted or refused
	took   time.Duration // until its response; 0 when it was refused
	again  time.Duration // Retry-After of a refusal
}

// play offers requests at a rate until the end of the load, and returns them.
func play(wg *sync.WaitGroup, r *rand.Rand, perSecond float64, d time.Duration, run func(*offered)) *[]*offered {
	all := new([]*offered)
	wg.Go(func() {
		for start := time.Now(); time.Since(start) < d; {
			<-time.After(time.Duration(r.ExpFloat64() / perSecond * float64(time.Second)))
			o := new(offered)
			*all = append(*all, o)
			wg.Go(func() { run(o) })
		}
	})
	return all
}

// Guards against uploads that occupy the slots of a server while their bodies wait for
// the network link, so that nested calls are refused, and against uploads that are held
// until their deadline, or accepted and late, because nobody forecasts the transfer. The
// load is that of one of the 9 servers of deployment N that receive uploads, and 1.5 times
// that.
func TestUploadsBesideNestedCalls(t *testing.T) {
	const linkRate, slots, d = 0.9 * 6e6 / 8, 9, 60 * time.Second
	for load, minShare := range map[float64]float64{1: 0.8, 1.5: 0.65} { // of the uploads on time
		synctest.Test(t, func(t *testing.T) {
			s, link := NewScheduler(), intake.NewLink(linkRate)
			link.OnFree(s.StartWaiting)
			s.SetSlots(slots)
			admit := func(o *offered, ar pollenlatch.AdmitRequest) func() {
				start := time.Now()
				release, err := s.Admit(t.Context(), ar)
				o.waited = time.Since(start)
				if err != nil {
					o.again = err.(*pollenlatch.Failure).RetryAfter //nolint:errorlint // Admit returns no other error
				}
				return release
			}
			var wg sync.WaitGroup
			sizes := rand.New(rand.NewPCG(3, 1))
			var sizesMu sync.Mutex
			uploads := play(&wg, rand.New(rand.NewPCG(1, 1)), load*120/9, d, func(o *offered) {
				sizesMu.Lock()
				size := int(min(360e3, max(1e3, sizes.ExpFloat64()*60e3)))
				run := time.Duration((0.5 + sizes.Float64()) * float64(200*time.Millisecond))
				sizesMu.Unlock()
				start := time.Now()
				ar := pollenlatch.AdmitRequest{Route: "upload", Class: 1, SoftDeadline: start.Add(1200 * time.Millisecond), Deadline: start.Add(8 * time.Second)}
				ar.Body = link.Begin("upload", int64(size), ar.SoftDeadline, ar.Deadline)
				defer ar.Body.End(false)
				release := admit(o, ar)
				if release == nil {
					return
				}
				defer release()
				for left := size; left > 0; left -= 16 << 10 {
					n := min(left, 16<<10)
					require.NoError(t, ar.Body.Wait(t.Context(), n))
					<-time.After(5*time.Millisecond + time.Duration(float64(n)/linkRate*float64(time.Second)))
					ar.Body.Arrived(n)
				}
				ar.Body.End(true)
				<-time.After(run)
				o.took = time.Since(start)
			})
			nested := play(&wg, rand.New(rand.NewPCG(2, 1)), 37, d, func(o *offered) {
				start := time.Now()
				ar := pollenlatch.AdmitRequest{Route: "call", Nested: true, SoftDeadline: start.Add(200 * time.Millisecond), Deadline: start.Add(600 * time.Millisecond)}
				if release := admit(o, ar); release != nil {
					defer release()
					<-time.After(48 * time.Millisecond)
					o.took = time.Since(start)
				}
			})
			wg.Wait()
			onTime, refused, late := 0, 0, 0
			var held []time.Duration
			for _, o := range *uploads {
				switch {
				case o.took == 0:
					refused++
					held = append(held, o.waited)
					require.GreaterOrEqual(t, o.again, minRetryAfter)
				case o.took <= 1200*time.Millisecond:
					onTime++
				default:
					late++
				}
			}
			nestedOnTime := 0
			for _, o := range *nested {
				if o.took > 0 && o.took <= 200*time.Millisecond {
					nestedOnTime++
				}
			}
			slices.Sort(held)
			t.Logf("load %.1f: %d uploads, %d on time, %d late, %d refused (90%% after %v); %d of %d nested calls on time",
				load, len(*uploads), onTime, late, refused, held[len(held)*9/10], nestedOnTime, len(*nested))
			require.GreaterOrEqual(t, nestedOnTime, len(*nested)*99/100)
			require.GreaterOrEqual(t, onTime, int(minShare*float64(len(*uploads))))
			require.LessOrEqual(t, late, len(*uploads)/10)
			require.Less(t, held[len(held)*9/10], 100*time.Millisecond, "uploads are held although they cannot be served")
		})
	}
}
