package pick

import (
	"math/rand/v2"
	"sync"
	"time"

	"pollenlatch"
)

// Defaults of Config.
const (
	DefaultWarmUp           = 10 * time.Second
	DefaultBaseEjectionTime = time.Second
	DefaultMaxEjectionTime  = 30 * time.Second
)

const (
	// coldShare is the share of its full traffic that an endpoint gets at the
	// beginning of its warm-up.
	coldShare = 0.1
	// minLimitedShare is the minimum share of its full traffic that an endpoint gets
	// whose server is cold, and limitedLatency is the latency that is assumed for it
	// before its first response.
	minLimitedShare = 0.02
	limitedLatency  = 100 * time.Millisecond
	// latencyWindow is the time over which the latency of an endpoint is
	// averaged. minLatencyWeight and maxLatencyWeight limit the weight of one
	// response in the average.
	latencyWindow    = time.Second
	minLatencyWeight = 0.02
	maxLatencyWeight = 0.2
	// latencyDecay is the time without requests after which the latency of an
	// endpoint is assumed to have halved.
	latencyDecay = 10 * time.Second
	// initialLatency is assumed for endpoints without a response yet.
	initialLatency = time.Millisecond

	// An endpoint is ejected when the share of failures in its recent results
	// reaches ejectFailureShare. recentResults is the number of results that
	// count as recent.
	ejectFailureShare = 0.5
	recentResults     = 10
	// maxEjectedDivisor limits the ejected endpoints to one in
	// maxEjectedDivisor. When more seem to fail, the cause is more likely
	// elsewhere.
	maxEjectedDivisor = 3

	// spilloverFactor is how many times more expensive than in another data
	// centre an endpoint in this data centre must look before the request
	// leaves the data centre.
	spilloverFactor = 2
	// localServerFactor is how many times slower than the best other endpoint
	// the local server may be and still be preferred. The hop that it saves
	// costs processor time in both daemons, and large responses take capacity
	// of the network link.
	localServerFactor = 1.5
	defaultSlots      = 10 // of an endpoint that does not state them
	// overloadPenalty is how long an endpoint counts as overloaded after it
	// refused a request for that reason, and how much is added to its latency
	// during that time.
	overloadPenalty = 100 * time.Millisecond
	// minSignificantTimeout is the minimum time after which a request that
	// exceeded its deadline counts as a failure of the endpoint.
	minSignificantTimeout = 250 * time.Millisecond
	// endpointExpiry is how long the statistics of an endpoint are kept after
	// it was last a candidate.
	endpointExpiry = time.Minute
)

// Config is the configuration of a Picker. Zero values stand for the defaults.
type Config struct {
	Clock            pollenlatch.Clock
	Seed             uint64        // for the random choices; 0 takes a random one
	WarmUp           time.Duration // time until a cold endpoint gets its full traffic
	BaseEjectionTime time.Duration // length of the first ejection; doubles with each further one in a row
	MaxEjectionTime  time.Duration // maximum length of an ejection
	// LocalServer returns the ID of this instance and the number of free slots
	// of its local server; nil means that there is no local server.
	LocalServer func() (id pollenlatch.InstanceID, free int)
	// ColdRate returns how many requests a second a cold server of a service gets; 0
	// is no limit. nil: no service has a limit.
	ColdRate func(service string) float64
	// Paced reports whether the daemons beside the servers of a service keep their pace
	// after a start or recovery. They have no warm-up by time then. nil: none do.
	Paced func(service string) bool
	// EjectedByHint is called when an endpoint is ejected because the daemon beside it says
	// which percentage of its requests fails. It must not block. nil: nothing is called.
	EjectedByHint func(i pollenlatch.Instance, failing uint32)
}

// Picker implements pollenlatch.Picker with statistics of this daemon alone. It
// uses the power of two choices: of two random endpoints it picks the one with
// the lower product of latency and requests in flight. It is safe for
// concurrent use.
type Picker struct {
	cfg      Config
	estimate estimator

	mu         sync.Mutex
	rand       *rand.Rand
	endpoints  map[pollenlatch.InstanceID]*endpoint
	index      []*endpoint // of endpoints, by instance
	lastSweep  pollenlatch.MonoTime
	sameDC     candidateSet // scratch space of Pick
	otherDC    candidateSet
	newAreCold bool // endpoints that appear are cold; false until the first Pick
}

// New returns a picker.
func New(cfg Config) *Picker {
	if cfg.Clock == nil {
		cfg.Clock = pollenlatch.SystemClock{}
	}
	if cfg.Seed == 0 {
		cfg.Seed = rand.Uint64()
	}
	if cfg.WarmUp == 0 {
		cfg.WarmUp = DefaultWarmUp
	}
	if cfg.BaseEjectionTime == 0 {
		cfg.BaseEjectionTime = DefaultBaseEjectionTime
	}
	if cfg.MaxEjectionTime == 0 {
		cfg.MaxEjectionTime = DefaultMaxEjectionTime
	}
	return &Picker{
		cfg:       cfg,
		estimate:  (*endpoint).estimate,
		rand:      rand.New(rand.NewPCG(cfg.Seed, 1)),
		endpoints: make(map[pollenlatch.InstanceID]*endpoint),
	}
}

// estimator returns the estimated latency of an endpoint in seconds, and the
// number of requests ahead of a new one.
type estimator func(e *endpoint, now pollenlatch.MonoTime) (latency, ahead float64)

// endpoint holds the statistics of one endpoint.
type endpoint struct {
	instance      pollenlatch.Instance  // as it was when it was picked last; its Endpoint is the newest
	candidate     *pollenlatch.Instance // in the present Pick
	lastCandidate pollenlatch.MonoTime  // when it was last a candidate

	inflight        int
	latency         float64              // moving average in seconds; 0 before the first response
	latencyAt       pollenlatch.MonoTime // when latency was last updated
	lastProgress    pollenlatch.MonoTime // last response, or start of the first request in flight
	failureShare    float64              // share of failures in the recent results
	results         int                  // number of results, up to recentResults
	overloadedUntil pollenlatch.MonoTime // it refused a request because of overload
	coldUntil       pollenlatch.MonoTime // end of the warm-up
	ejectedUntil    pollenlatch.MonoTime
	ejectedByHint   bool    // and not because of this daemon's own results
	ejections       int     // ejections in a row
	coldRate        float64 // requests a second that the server gets while it is cold; 0 when it is not
	hint            hint
	share           float64 // of its full traffic, in the present Pick
}

// Pick implements pollenlatch.Picker.
func (p *Picker) Pick(candidates []pollenlatch.Instance, dc string, tried pollenlatch.Set[pollenlatch.InstanceID]) (pollenlatch.Instance, func(pollenlatch.Outcome, pollenlatch.Reason, time.Duration), bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.cfg.Clock.Now()
	p.sweep(now)
	return p.begin(p.choose(candidates, dc, tried, now), now)
}

// choose picks the local server while it has a free slot and is fast enough.
// Otherwise it compares the better of two random endpoints in this data centre
// with the better of two in the others. An ejected endpoint is picked only when
// there is no other.
func (p *Picker) choose(candidates []pollenlatch.Instance, dc string, tried pollenlatch.Set[pollenlatch.InstanceID], now pollenlatch.MonoTime) *endpoint {
	p.sameDC.reset()
	p.otherDC.reset()
	self := p.freeLocalInstance()
	var earliestReturn, local *endpoint
	for n := range candidates {
		c := &candidates[n]
		e := p.endpointOf(c, now)
		if c.ID == self && e.ejectedUntil <= now && e.coldUntil <= now && e.coldRate == 0 && !tried.Has(c.ID) {
			local = e
		}
		switch {
		case len(tried) > 0 && tried.Has(c.ID):
		case e.ejectedUntil > now:
			if earliestReturn == nil || e.ejectedUntil < earliestReturn.ejectedUntil {
				earliestReturn = e
			}
		case c.DC == dc:
			p.sameDC.add(e, p.trafficShare(e, now))
		default:
			p.otherDC.add(e, p.trafficShare(e, now))
		}
	}
	p.newAreCold = true
	near, far := p.bestOfTwo(&p.sameDC, now), p.bestOfTwo(&p.otherDC, now)
	best := near
	switch {
	case near == nil && far == nil:
		return earliestReturn
	case near == nil || (far != nil && p.shouldSpill(near, far, now)):
		best = far
	}
	if local != nil && p.localIsFastEnough(local, best, now) {
		return local
	}
	return best
}

// freeLocalInstance returns the ID of this instance if the local server has a
// free slot, or else 0.
func (p *Picker) freeLocalInstance() pollenlatch.InstanceID {
	if p.cfg.LocalServer == nil {
		return 0
	}
	id, free := p.cfg.LocalServer()
	if free <= 0 {
		return 0
	}
	return id
}

// localIsFastEnough reports whether the local server is about as fast as
// another endpoint. Since it has a free slot, its requests in flight do not
// count.
func (p *Picker) localIsFastEnough(local, other *endpoint, now pollenlatch.MonoTime) bool {
	if local == other {
		return true
	}
	localLatency, _ := p.estimate(local, now)
	otherLatency, _ := p.estimate(other, now)
	localLatency *= local.hint.attempts(now)
	otherLatency *= other.hint.attempts(now)
	return now >= local.overloadedUntil && localLatency <= localServerFactor*otherLatency
}

// cost returns the estimated time in seconds that a further request takes.
func (p *Picker) cost(e *endpoint, now pollenlatch.MonoTime) float64 {
	latency, ahead := p.estimate(e, now)
	cost := latency * (ahead + 1)
	if w := e.hint.weight(now); w > 0 {
		cost += w * (e.hintedCost(latency) - cost)
	}
	return cost * e.hint.attempts(now)
}

// shouldSpill reports whether an endpoint in this data centre is so much more
// expensive than one in another that the request leaves the data centre. Half
// of the slots of an endpoint is added to the requests ahead, so that a few
// requests do not tip the balance.
func (p *Picker) shouldSpill(near, far *endpoint, now pollenlatch.MonoTime) bool {
	if near.hint.attempts(now) > spilloverFactor*far.hint.attempts(now) {
		return true
	}
	if spill, known := p.spillByHint(near, far, now); known {
		return spill
	}
	nearLatency, nearAhead := p.estimate(near, now)
	farLatency, farAhead := p.estimate(far, now)
	return nearLatency*(nearAhead+near.halfSlots()) > spilloverFactor*farLatency*(farAhead+far.halfSlots())
}

func (e *endpoint) halfSlots() float64 {
	if e.instance.Endpoint == nil || e.instance.Endpoint.Slots == 0 {
		return defaultSlots / 2
	}
	return float64(e.instance.Endpoint.Slots) / 2
}

// endpointOf returns the statistics of a candidate. Another incarnation of its
// server is cold and starts without statistics.
func (p *Picker) endpointOf(c *pollenlatch.Instance, now pollenlatch.MonoTime) *endpoint {
	e := p.find(c.ID)
	if e == nil || (e.instance.Endpoint != c.Endpoint && incarnation(&e.instance) != incarnation(c)) {
		e = &endpoint{instance: *c, coldUntil: now}
		if p.newAreCold {
			e.coldUntil = now.Add(p.warmUp(c))
		}
		p.add(c.ID, e)
	}
	e.instance.Endpoint, e.candidate, e.lastCandidate, e.coldRate = c.Endpoint, c, now, 0
	if c.Endpoint != nil && c.Endpoint.Cold && p.cfg.ColdRate != nil {
		e.coldRate = p.cfg.ColdRate(c.Endpoint.Service)
	}
	return e
}

// warmUp returns the time until an endpoint that has just started or returned gets its
// full traffic.
func (p *Picker) warmUp(i *pollenlatch.Instance) time.Duration {
	if p.cfg.Paced != nil && i.Endpoint != nil && p.cfg.Paced(i.Endpoint.Service) {
		return 0
	}
	return p.cfg.WarmUp
}

// maxIndexed limits the IDs of the endpoints that are also found by an index.
const maxIndexed = 1 << 12

// find returns the statistics of an endpoint, or nil. The index saves a look-up in the map
// for each of the candidates.
func (p *Picker) find(id pollenlatch.InstanceID) *endpoint {
	if int(id) < len(p.index) {
		return p.index[id]
	}
	return p.endpoints[id]
}

func (p *Picker) add(id pollenlatch.InstanceID, e *endpoint) {
	p.endpoints[id] = e
	if id >= maxIndexed {
		return
	}
	if n := int(id) + 1; n > len(p.index) {
		p.index = append(p.index, make([]*endpoint, n-len(p.index))...)
	}
	p.index[id] = e
}

func (p *Picker) remove(id pollenlatch.InstanceID) {
	delete(p.endpoints, id)
	if int(id) < len(p.index) {
		p.index[id] = nil
	}
}

func incarnation(i *pollenlatch.Instance) pollenlatch.Incarnation {
	if i.Endpoint == nil {
		return 0
	}
	return i.Endpoint.Incarnation
}

// bestOfTwo returns the cheaper of two random endpoints.
func (p *Picker) bestOfTwo(from *candidateSet, now pollenlatch.MonoTime) *endpoint {
	a := p.randomEndpoint(from, nil)
	b := p.randomEndpoint(from, a)
	if b == nil || p.cost(a, now) <= p.cost(b, now) {
		return a
	}
	return b
}

// randomEndpoint returns a random endpoint other than except. Cold endpoints
// are less likely.
func (p *Picker) randomEndpoint(from *candidateSet, except *endpoint) *endpoint {
	n, total := len(from.endpoints), from.total
	if except != nil {
		n--
		total -= except.share
	}
	if n <= 0 {
		return nil
	}
	if from.uniform {
		e := from.endpoints[p.rand.IntN(n)]
		if e == except {
			return from.endpoints[n] // the last one, which was left out
		}
		return e
	}
	at := p.rand.Float64() * total
	var last *endpoint
	for _, e := range from.endpoints {
		if e == except {
			continue
		}
		last = e
		if at -= e.share; at < 0 {
			return e
		}
	}
	return last
}

// candidateSet holds the endpoints of which one is picked at random.
type candidateSet struct {
	endpoints []*endpoint
	total     float64 // of their shares
	uniform   bool    // all shares are 1
}

func (s *candidateSet) reset() { s.endpoints, s.total, s.uniform = s.endpoints[:0], 0, true }

func (s *candidateSet) add(e *endpoint, share float64) {
	e.share = share
	s.endpoints = append(s.endpoints, e)
	s.total += share
	s.uniform = s.uniform && share == 1
}

// trafficShare returns the share of its full traffic that an endpoint gets,
// from coldShare to 1. A server that is cold gets the share that its ColdRate is of the
// requests that it can run when it is warm.
func (p *Picker) trafficShare(e *endpoint, now pollenlatch.MonoTime) float64 {
	if e.coldRate > 0 {
		latency := e.latency
		if latency == 0 {
			latency = limitedLatency.Seconds()
		}
		return min(1, max(minLimitedShare, e.coldRate*latency/(2*e.halfSlots())))
	}
	left := e.coldUntil.Sub(now)
	if left <= 0 {
		return 1
	}
	return max(coldShare, 1-left.Seconds()/p.cfg.WarmUp.Seconds())
}

// estimate is the default estimator. It uses the latency and the requests in
// flight that this daemon has observed. While an endpoint with requests in
// flight makes no progress, its latency is at least the time since the last
// progress. The latency of an endpoint without requests decays, so that it is
// tried again.
func (e *endpoint) estimate(now pollenlatch.MonoTime) (latency, ahead float64) {
	l := e.latency
	if l == 0 {
		l = initialLatency.Seconds()
	}
	if e.inflight > 0 {
		l = max(l, now.Sub(e.lastProgress).Seconds())
	} else {
		l /= 1 + now.Sub(e.latencyAt).Seconds()/latencyDecay.Seconds()
	}
	if now < e.overloadedUntil {
		l += overloadPenalty.Seconds()
	}
	return l, float64(e.inflight)
}

// done records the result of a request.
func (p *Picker) done(e *endpoint, o pollenlatch.Outcome, r pollenlatch.Reason, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.cfg.Clock.Now()
	e.inflight--
	switch classify(o, r, took) {
	case signalGood:
		e.lastProgress = now
		e.observe(took, now)
		e.countResult(0)
		if e.results == recentResults && e.failureShare < ejectFailureShare/2 {
			e.ejections = 0
		}
	case signalOverloaded:
		e.overloadedUntil = now.Add(overloadPenalty)
	case signalBad:
		e.countResult(1)
		if e.results >= recentResults/2 && e.failureShare >= ejectFailureShare && (e.ejectedUntil <= now || e.ejectedByHint) {
			p.eject(e, now)
		}
	case signalNone:
	}
}

// observe adds a response to the average latency. The weight of the response is
// larger the longer ago the previous one was, within minLatencyWeight and
// maxLatencyWeight.
func (e *endpoint) observe(took time.Duration, now pollenlatch.MonoTime) {
	seconds := took.Seconds()
	if e.latency == 0 {
		e.latency = seconds
	}
	weight := min(maxLatencyWeight, max(minLatencyWeight, now.Sub(e.latencyAt).Seconds()/latencyWindow.Seconds()))
	e.latency += weight * (seconds - e.latency)
	e.latencyAt = now
}

// countResult adds a result to the share of failures: 0 for a success, 1 for a
// failure.
func (e *endpoint) countResult(failure float64) {
	e.results = min(e.results+1, recentResults)
	e.failureShare += (failure - e.failureShare) / float64(e.results)
}

// eject excludes the endpoint for a while, unless too many are ejected already.
// When it returns it is cold, and its results are reset.
func (p *Picker) eject(e *endpoint, now pollenlatch.MonoTime) {
	ejected, all := 0, 0
	for _, o := range p.endpoints {
		if o.lastCandidate < now.Add(-endpointExpiry) || o.instance.Endpoint == nil || !sameService(o, e) {
			continue
		}
		all++
		if o.ejectedUntil > now {
			ejected++
		}
	}
	if (ejected+1)*maxEjectedDivisor > all {
		return
	}
	d := min(p.cfg.MaxEjectionTime, p.cfg.BaseEjectionTime<<min(e.ejections, 16))
	e.ejections++
	e.ejectedUntil, e.ejectedByHint = now.Add(d), false
	e.coldUntil = e.ejectedUntil.Add(p.warmUp(&e.instance))
	e.results, e.failureShare = 0, 0
}

func sameService(a, b *endpoint) bool {
	return b.instance.Endpoint != nil && a.instance.Endpoint.Service == b.instance.Endpoint.Service
}

// sweep removes endpoints that have not been candidates for endpointExpiry.
func (p *Picker) sweep(now pollenlatch.MonoTime) {
	if now.Sub(p.lastSweep) < endpointExpiry {
		return
	}
	p.lastSweep = now
	for id, e := range p.endpoints {
		if now.Sub(e.lastCandidate) > endpointExpiry && e.inflight == 0 {
			p.remove(id)
		}
	}
}

// signal is what a result says about an endpoint.
type signal int

const (
	signalNone       signal = iota // nothing, such as a request that the caller cancelled
	signalGood                     // it works
	signalOverloaded               // it works but is overloaded
	signalBad                      // it fails
)

func classify(o pollenlatch.Outcome, r pollenlatch.Reason, took time.Duration) signal {
	switch r {
	case pollenlatch.ReasonQueueFull, pollenlatch.ReasonDraining, pollenlatch.ReasonOverloaded:
		return signalOverloaded
	case pollenlatch.ReasonDeadlineExceeded:
		switch {
		case o == pollenlatch.OutcomeNotRun:
			return signalOverloaded
		case took < minSignificantTimeout:
			return signalNone
		default:
			return signalBad
		}
	case pollenlatch.ReasonUnreachable, pollenlatch.ReasonNoLease, pollenlatch.ReasonNoEndpoint, pollenlatch.ReasonConnectionLost,
		pollenlatch.ReasonServerRefused, pollenlatch.ReasonServerError:
		return signalBad
	default:
	}
	if o == pollenlatch.OutcomeRan {
		return signalGood
	}
	return signalNone
}
