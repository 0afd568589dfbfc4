package plan

import (
	"math"
	"time"

	"pollenlatch"
)

// Settings limits the moves of a plan. A zero field has its default.
type Settings struct {
	BalanceInterval   time.Duration // minimum time between two balancing rounds of a service; default 1 s
	MaxMovesPerRound  int           // maximum number of balancing moves of a service in one round; default 64
	MaxHandOvers      int           // maximum number of hand-overs of an owner in progress, for balancing; default 8
	MaxDrainHandOvers int           // maximum number of hand-overs of a leaving owner in progress; default 64
	// SettleTime is the time that an endpoint must be usable before balancing moves
	// shards to it, at equal weights of churn and imbalance. It is multiplied by the
	// churn weight over the imbalance weight. Default 5 s.
	SettleTime     time.Duration
	MoveBudget     float64       // share of a service's load that balancing may move in a minute; default 0.3
	ReportLag      time.Duration // time until load reports include a move; default 3 s
	RestartTime    time.Duration // expected time of a graceful restart until one was observed; default 5 s
	MaxRestartWait time.Duration // maximum wait of shards for a gracefully stopped owner; default 15 s
	HotKeyShare    float64       // minimum rate of a hot key, relative to the mean endpoint's; default 0.1
	MaxHotKeys     int           // maximum number of hot keys of a service with an owner record; default 256
}

// Defaults of Settings, and constants of the cost model.
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

	// countWeight is the weight of an endpoint's number of shards in its load, so
	// that shards without a reported rate are spread too.
	countWeight = 0.15
	// horizon is the weight of an imbalance that lasts until the load changes
	// again, relative to the churn of one move.
	horizon = 20
	// minThreshold and maxThreshold limit the threshold: the excess over the mean
	// load that starts balancing. Balancing ends below stopFraction of the
	// threshold. A target stays below targetFraction of it.
	minThreshold   = 0.05
	maxThreshold   = 0.25
	stopFraction   = 0.6
	targetFraction = 0.9
	// Below a mean rate of minSignificantRate requests a second for an endpoint,
	// rates are not significant: the load is the number of shards, and the
	// threshold is lowRateThreshold. Above it the threshold is at least
	// noiseSigmas standard deviations of a rate that is averaged over
	// averagingSeconds, as package sketch does (5 s decay).
	minSignificantRate = 2
	lowRateThreshold   = 0.5
	noiseSigmas        = 3
	averagingSeconds   = 10
	// startupDelay is the time after a new leader's first plan in which it does
	// not balance, because not all endpoints have reported their load.
	startupDelay = 5 * time.Second
	// localSlack is how much more load, relative to the mean, a target in the
	// shard's data centre may have than the best target elsewhere.
	localSlack = 0.10
	// flapHalfLife is the half-life of the penalty of an endpoint that became
	// unusable. From a penalty of flapLimit it gets no new shards while other
	// endpoints are fit.
	flapHalfLife = 60 * time.Second
	flapLimit    = 1.5
	// maxSuspectShare is the maximum share of endpoints that are treated as
	// suspect; if there are more, the fault is not in the endpoints.
	// suspectExtraLoad is added to the load of a suspect endpoint.
	maxSuspectShare  = 1.0 / 3
	suspectExtraLoad = 0.5
	// handOverTime is the time for which requests of a shard wait during its
	// hand-over.
	handOverTime = 30 * time.Millisecond
	// savedMoves is the number of moves that waiting for the restart of an owner
	// saves: one to another endpoint and one back. At equal weights the move of a
	// shard costs as much as churnTime of its unavailability.
	savedMoves = 2
	churnTime  = 200 * time.Millisecond
	// restartWeight is the weight of the newest restart in the exponentially
	// weighted moving average of restart times.
	restartWeight = 0.5
	// A report has another scale than the one before when the rates of all its
	// ranges changed by a factor of at least minScaleStep while those of the other
	// endpoints did not: real load changes by key, not by server. This is checked
	// only with at least minScaleRanges ranges in both reports and
	// minScaleEndpoints endpoints, and once the endpoint has been usable for
	// minScaleAge. When the quartiles of the changes differ by more than a factor
	// of maxScaleSpread, the load has changed and not the scale. The correction
	// decays with the half-life scaleHalfLife.
	minScaleStep      = 1.5
	maxScaleSpread    = 1.25
	minScaleRanges    = 4
	minScaleEndpoints = 3
	minScaleAge       = 20 * time.Second
	scaleHalfLife     = 10 * time.Minute
	// safeUtilisation is the utilisation of an endpoint's slots up to which it
	// takes unowned shards at once. The limit is multiplied by rampGrowth every
	// rampInterval until all shards have an owner: it reaches 4 times the safe
	// rate within 4 s.
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

// weightsOf returns the service's weights, or 1 each when it has none.
func weightsOf(s pollenlatch.Service) pollenlatch.Weights {
	w := s.Weights
	if w.Imbalance <= 0 && w.Churn <= 0 && w.Unavailable <= 0 {
		return pollenlatch.Weights{Imbalance: 1, Churn: 1, Unavailable: 1}
	}
	return w
}

// costThreshold returns the excess over the mean load above which the gain of a
// move exceeds its cost.
func costThreshold(w pollenlatch.Weights) float64 {
	if w.Imbalance <= 0 {
		return maxThreshold
	}
	return min(max(w.Churn/(w.Imbalance*horizon), minThreshold), maxThreshold)
}

// balanceThreshold returns the excess over the mean load that starts balancing. It
// is not below the random variation at the mean rate, in requests a second.
func balanceThreshold(w pollenlatch.Weights, mean float64) float64 {
	if mean < minSignificantRate {
		return lowRateThreshold
	}
	noise := noiseSigmas / math.Sqrt(averagingSeconds*mean)
	return min(max(costThreshold(w), noise), lowRateThreshold)
}

// settleTime returns how long an endpoint must be usable before balancing moves
// shards to it. In a rolling restart it then has capacity for the shards of the
// next endpoint to restart, and each shard moves once.
func (s Settings) settleTime(w pollenlatch.Weights) time.Duration {
	if w.Imbalance <= 0 {
		return maxSettleTime
	}
	return min(time.Duration(float64(s.SettleTime)*w.Churn/w.Imbalance), maxSettleTime)
}

// restartWait returns how long shards wait for a gracefully stopped owner: until
// the unavailability has cost as much as the churn. It is 0 when the expected
// restart takes longer than that.
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
