package admit

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
)

func simulation(d Discipline, load float64, queueLimit int) Simulation {
	return Simulation{
		Discipline: d, Seed: 1, Slots: 10, QueueLimit: queueLimit, MeanServiceTime: 5 * time.Millisecond,
		Timeout: 100 * time.Millisecond, LoadFactor: load, UrgentShare: 0.2, Duration: 60 * time.Second,
	}
}

// BenchmarkDisciplines prints the table of docs/admit.md.
func BenchmarkDisciplines(b *testing.B) {
	for _, queue := range []int{100, 1000} {
		for _, load := range []float64{0.5, 0.9, 1.5, 3} {
			for _, d := range []Discipline{FIFO, AdaptiveLIFO, CoDel, AdaptiveLIFOCoDel} {
				b.Run(fmt.Sprintf("queue=%d/load=%v/%v", queue, load, d), func(b *testing.B) {
					var r map[pollenlatch.Class]ClassResult
					for b.Loop() {
						r = Simulate(simulation(d, load, queue))
					}
					for _, c := range []pollenlatch.Class{pollenlatch.ClassUrgent, pollenlatch.ClassRoutine} {
						name := c.String()
						b.ReportMetric(100*r[c].Goodput(), name+"-good-%")
						b.ReportMetric(float64(r[c].Late), name+"-late")
						b.ReportMetric(float64(r[c].DropWaitP99)/1e6, name+"-refusal-ms")
						b.ReportMetric(float64(r[c].P50)/1e6, name+"-p50-ms")
						b.ReportMetric(float64(r[c].P99)/1e6, name+"-p99-ms")
						b.ReportMetric(float64(r[c].P999)/1e6, name+"-p99.9-ms")
					}
				})
			}
		}
	}
}

// A simulation whose results differ from run to run would not support the choice of
// the discipline.
func TestSimulateIsDeterministic(t *testing.T) {
	s := simulation(AdaptiveLIFO, 1.5, 100)
	s.Duration = 2 * time.Second
	require.Equal(t, Simulate(s), Simulate(s))
	for _, r := range Simulate(s) {
		require.Equal(t, r.Arrived, r.Good+r.Late+r.Dropped)
	}
}

// Under overload, the chosen discipline must complete all urgent requests, waste
// fewer runs than FIFO, and drop requests before their timeout.
func TestChosenDiscipline(t *testing.T) {
	for _, load := range []float64{1.5, 3} {
		s := simulation(AdaptiveLIFOCoDel, load, 1000)
		s.Duration = 5 * time.Second
		chosen := Simulate(s)
		s.Discipline = FIFO
		fifo := Simulate(s)
		require.Equal(t, 1.0, chosen[pollenlatch.ClassUrgent].Goodput())
		routine := chosen[pollenlatch.ClassRoutine]
		require.Greater(t, routine.Goodput(), fifo[pollenlatch.ClassRoutine].Goodput())
		require.Less(t, routine.Late, fifo[pollenlatch.ClassRoutine].Late)
		require.Less(t, routine.DropWaitP99, s.Timeout)
	}
}
