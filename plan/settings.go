package plan

import (
	"math"
	"time"

	"pollenlatch"
)

// Settings bounds what a plan may do. A zero field takes its default.
type Settings struct {
	BalanceInterval   time.Duration // least time between two balancing rounds of a service; default 1 s
	MaxMovesPerRound  int           // most balancing moves of a service in one round; default 64
	MaxHandOvers      int           // hand-overs in progress of an owner that balancing may fill; default 8
	MaxDrainHandOvers int           // hand-overs in progress of a leaving owner; default 64
	SettleTime        time.Duration // how long a new endpoint must be usable before balancing uses it, times churn over imbalance weight; default 5 s
	MoveBudget        float64       // share of a service's load that balancing may move in a minute; default 0.3
	ReportLag         time.Duration // how long load reports lag behind a move; default 3 s
	RestartTime       time.Duration // time of a graceful restart, until one is seen; default 5 s
	MaxRestartWait    time.Duration // longest wait for the owner after a graceful stop; default 15 s
	HotKeyShare       float64       // rate of a hot key relative to the mean endpoint's; default 0.1
	MaxHotKeys        int           // most hot keys of a service with a record of their own; default 256
}

// Defaults of Settings, and the constants of the cost model.
const (
	defaultBalanceInterval   = time.Second
	defaultMaxMovesPerRound  = 64
	defaultMaxHandOvers      = 8
	defaultMaxDrainHandOvers = 64
	defaultSettleTime        = 5 * time.Second
	maxSettleTime            = time.Minute
	defaultMoveBudget        = 0.3
	defaultReportLag         = 3 * time.Second
	defaultRestartTime       = 5 * time.Second
	defaultMaxRestartWait    = 15 * time.Second
	defaultHotKeyShare       = 0.1
	defaultMaxHotKeys        = 256

	// countShare is the part of an endpoint's load that its number of shards
	// stands for, so that unreported shards are spread too.
	countWeight = 0.15
	// horizon is how often an imbalance is paid for until the load changes
	// again, in units of one move's churn.
	horizon = 20
	// minStart and maxStart bound the excess over the mean that starts
	// balancing; stopShare of it ends balancing. A target stays below nearShare
	// of it.
	minThreshold   = 0.05
	maxThreshold   = 0.25
	stopFraction   = 0.6
	targetFraction = 0.9
	// Below quietRate requests a second for the mean endpoint a rate says
	// nothing and only the shards are counted, with quietStart as the excess.
	// Above it an excess counts from noiseSigmas standard deviations of a rate
	// that is averaged over the noiseSeconds of package sketch (5 s decay).
	minSignificantRate = 2
	lowRateThreshold   = 0.5
	noiseSigmas        = 3
	averagingSeconds   = 10
	// quietAfter is the time after a new leader's first plan in which it
	// doesn't balance, because not all endpoints have reported their load.
	startupDelay = 5 * time.Second
	// homeSlack is how much more load, relative to the mean, a target in the
	// shard's data centre may have than the best target elsewhere.
	localSlack = 0.10
	// flapHalf is the half-life of the penalty of an endpoint that became
	// unusable; flapLimit is the penalty from which it gets no shards while
	// other endpoints are usable.
	flapHalfLife = 60 * time.Second
	flapLimit    = 1.5
	// maxSuspects is the share of endpoints that may be kept from new shards
	// because they answer badly; more is not the endpoints' fault.
	// suspectLoad is what such an endpoint seems to have on top of its load.
	maxSuspectShare  = 1.0 / 3
	suspectExtraLoad = 0.5
	// handover is the time for which a planned move makes a shard wait.
	handOverTime = 30 * time.Millisecond
	// away is the number of moves that waiting for a restarted owner saves:
	// one to another endpoint and one back. A move of some load costs as much
	// as churnTime of its unavailability at equal weights.
	savedMoves = 2
	churnTime  = 200 * time.Millisecond
	// learnShare is the weight of the newest restart in the expected time.
	restartWeight = 0.5
	// A report is of another scale than the one before when the rates of its
	// ranges changed together by more than scaleStep while those of the other
	// endpoints did not: load changes by key, not by server. It is judged only
	// with scaleRanges ranges in both reports, scaleOthers endpoints, and once
	// the endpoint has been usable for scaleAfter. The correction fades with
	// the half-life scaleHalf. Quartiles of the changes further apart than
	// scaleSpread are a change of the load and not of the scale.
	minScaleStep      = 1.5
	maxScaleSpread    = 1.25
	minScaleRanges    = 4
	minScaleEndpoints = 3
	minScaleAge       = 20 * time.Second
	scaleHalfLife     = 10 * time.Minute
	// safeUse is the utilisation of an endpoint's slots up to which lost
	// shards are given to it at once. Every second the bound grows by
	// waveGrowth until all have an owner: 4 times the safe rate in 4 s.
	safeUtilisation = 0.8
	rampGrowth      = 1.5
	rampInterval    = time.Second
)

func orDefault[T comparable](v, d T) T {
	var zero T
	if v == zero {
		return d
	}
	return v
}

func (s Settings) withDefaults() Settings {
	s.BalanceInterval = orDefault(s.BalanceInterval, defaultBalanceInterval)
	s.MaxMovesPerRound = orDefault(s.MaxMovesPerRound, defaultMaxMovesPerRound)
	s.MaxHandOvers = orDefault(s.MaxHandOvers, defaultMaxHandOvers)
	s.MaxDrainHandOvers = orDefault(s.MaxDrainHandOvers, defaultMaxDrainHandOvers)
	s.SettleTime = orDefault(s.SettleTime, defaultSettleTime)
	s.MoveBudget = orDefault(s.MoveBudget, defaultMoveBudget)
	s.ReportLag = orDefault(s.ReportLag, defaultReportLag)
	s.RestartTime = orDefault(s.RestartTime, defaultRestartTime)
	s.MaxRestartWait = orDefault(s.MaxRestartWait, defaultMaxRestartWait)
	s.HotKeyShare = orDefault(s.HotKeyShare, defaultHotKeyShare)
	s.MaxHotKeys = orDefault(s.MaxHotKeys, defaultMaxHotKeys)
	return s
}

// weights returns the service's weights, or 1 each when it has none.
func weightsOf(s pollenlatch.Service) pollenlatch.Weights {
	w := s.Weights
	if w.Imbalance <= 0 && w.Churn <= 0 && w.Unavailable <= 0 {
		return pollenlatch.Weights{Imbalance: 1, Churn: 1, Unavailable: 1}
	}
	return w
}

// startExcess returns the excess over the mean load from which a move gains
// more than it costs.
func costThreshold(w pollenlatch.Weights) float64 {
	if w.Imbalance <= 0 {
		return maxThreshold
	}
	return min(max(w.Churn/(w.Imbalance*horizon), minThreshold), maxThreshold)
}

// noisyStart returns the excess that starts balancing at a mean rate in
// requests a second: not less than what chance explains.
func balanceThreshold(w pollenlatch.Weights, mean float64) float64 {
	if mean < minSignificantRate {
		return lowRateThreshold
	}
	noise := noiseSigmas / math.Sqrt(averagingSeconds*mean)
	return min(max(costThreshold(w), noise), lowRateThreshold)
}

// settle returns how long balancing leaves a new endpoint alone. In a rolling
// restart the next endpoint's shards then go to it, and each moves once.
func (s Settings) settleTime(w pollenlatch.Weights) time.Duration {
	if w.Imbalance <= 0 {
		return maxSettleTime
	}
	return min(time.Duration(float64(s.SettleTime)*w.Churn/w.Imbalance), maxSettleTime)
}

// restartWait returns how long shards wait for an owner that stopped
// gracefully: not at all unless the expected restart costs less than the
// churn, and then until the wait has cost as much as the churn.
func (s Settings) restartWait(w pollenlatch.Weights, expected time.Duration) time.Duration {
	wait := s.MaxRestartWait
	if w.Unavailable > 0 {
		wait = min(wait, time.Duration(savedMoves*w.Churn/w.Unavailable*float64(churnTime)))
	}
	if wait < expected {
		return 0
	}
	return wait
}
