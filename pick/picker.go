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
	// rampStart is the share of its traffic that a cold endpoint gets first.
	rampStart = 0.1
	// latencySpan is the time over which an endpoint's latency is averaged.
	latencySpan  = time.Second
	latencyShare = 0.02
	latencyMost  = 0.2
	// forgiveSpan is the time after which an endpoint without requests is held
	// to be twice as fast as it was.
	forgiveSpan = 10 * time.Second
	// firstLatency stands for the latency of endpoints nobody has answered from yet.
	firstLatency = time.Millisecond

	// An endpoint is ejected when this share of its recent answers are
	// failures. failSpan is the number of answers that count as recent.
	failShare = 0.5
	failSpan  = 10
	// ejectedShare bounds the endpoints that are ejected at a time. When more
	// seem to fail, the fault is more likely elsewhere.
	ejectedShare = 3

	// spill is how many times worse than a remote endpoint the local one must
	// look before the request leaves the data centre.
	spill = 2
	// closeEnough is how many times slower than the best other one the endpoint
	// beside this daemon may be: the hop that it saves costs both daemons processor
	// time, and long answers the network link of this instance.
	closeEnough  = 1.5
	defaultSlots = 10 // of an endpoint that states none
	// refusal is how long an endpoint that refuses for overload counts as full.
	refusal = 100 * time.Millisecond
	// impatient is the time to its deadline below which a request that ran into
	// it says nothing about the endpoint.
	impatient = 250 * time.Millisecond
	// forget is how long the figures of an endpoint that is no candidate are kept.
	forget = time.Minute
)

// Config is what a Picker is made of. Zero values stand for the defaults.
type Config struct {
	Clock            pollenlatch.Clock
	Seed             uint64        // of the random choices; 0 takes one from the system
	WarmUp           time.Duration // until a cold endpoint gets its full share
	BaseEjectionTime time.Duration // first ejection; doubles with each further one
	MaxEjectionTime  time.Duration // longest ejection
	// LocalServer returns the instance of this daemon and how many slots of the server
	// beside it are free; nil where there is none.
	LocalServer func() (id pollenlatch.InstanceID, free int)
}

// Picker implements pollenlatch.Picker from what this daemon itself sees: it
// compares two random endpoints by their latency times the requests on their
// way to them. It is safe for concurrent use.
type Picker struct {
	cfg   Config
	weigh weigher

	mu     sync.Mutex
	rand   *rand.Rand
	known  map[pollenlatch.InstanceID]*endpoint
	swept  pollenlatch.MonoTime
	near   []*endpoint // scratch space of Pick
	far    []*endpoint
	warmed bool // endpoints that appear from now on are cold
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
		cfg:   cfg,
		weigh: (*endpoint).weigh,
		rand:  rand.New(rand.NewPCG(cfg.Seed, 1)),
		known: make(map[pollenlatch.InstanceID]*endpoint),
	}
}

// weigher returns what is known of an endpoint's latency, in seconds, and of
// the requests ahead of the next one.
type weigher func(e *endpoint, now pollenlatch.MonoTime) (latency, ahead float64)

// endpoint is what the picker knows of one endpoint.
type endpoint struct {
	instance pollenlatch.Instance
	seen     pollenlatch.MonoTime // last time that it was a candidate

	inflight int
	latency  float64              // seconds, average; 0 before the first answer
	measured pollenlatch.MonoTime // of latency
	moved    pollenlatch.MonoTime // last answer, or start of the first request in flight
	fails    float64              // share of recent answers
	answers  int                  // counted up to failSpan
	fullTill pollenlatch.MonoTime // refused for overload
	warmAt   pollenlatch.MonoTime // has its full share from then on
	ejected  pollenlatch.MonoTime // until then
	ejects   int                  // in a row
}

// Pick implements pollenlatch.Picker.
func (p *Picker) Pick(candidates []pollenlatch.Instance, dc string, tried pollenlatch.Set[pollenlatch.InstanceID]) (pollenlatch.Instance, func(pollenlatch.Outcome, pollenlatch.Reason, time.Duration), bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.cfg.Clock.Now()
	p.sweep(now)
	e := p.choose(candidates, dc, tried, now)
	if e == nil {
		return pollenlatch.Instance{}, nil, false
	}
	if e.inflight == 0 {
		e.moved = now
	}
	e.inflight++
	var once sync.Once
	done := func(o pollenlatch.Outcome, r pollenlatch.Reason, took time.Duration) {
		once.Do(func() { p.done(e, o, r, took) })
	}
	return e.instance, done, true
}

// choose takes the endpoint beside this daemon while it has room. Otherwise it
// compares the better of two local endpoints with the better of two remote ones.
// An ejected endpoint is chosen only when there is no other.
func (p *Picker) choose(candidates []pollenlatch.Instance, dc string, tried pollenlatch.Set[pollenlatch.InstanceID], now pollenlatch.MonoTime) *endpoint {
	p.near, p.far = p.near[:0], p.far[:0]
	self := p.beside()
	var spare, own *endpoint
	for _, c := range candidates {
		e := p.endpoint(c, now)
		if c.ID == self && e.ejected <= now && e.warmAt <= now && !tried.Has(c.ID) {
			own = e
		}
		switch {
		case tried.Has(c.ID):
		case e.ejected > now:
			if spare == nil || e.ejected < spare.ejected {
				spare = e
			}
		case c.DC == dc:
			p.near = append(p.near, e)
		default:
			p.far = append(p.far, e)
		}
	}
	p.warmed = true
	n, f := p.better(p.near, now), p.better(p.far, now)
	best := n
	switch {
	case n == nil && f == nil:
		return spare
	case n == nil || (f != nil && p.spills(n, f, now)):
		best = f
	}
	if own != nil && p.asFast(own, best, now) {
		return own
	}
	return best
}

// beside returns the instance of this daemon if the server beside it has a free
// slot, or else 0.
func (p *Picker) beside() pollenlatch.InstanceID {
	if p.cfg.LocalServer == nil {
		return 0
	}
	id, free := p.cfg.LocalServer()
	if free <= 0 {
		return 0
	}
	return id
}

// asFast reports whether the endpoint beside this daemon is about as fast as
// another one. With a free slot, requests in flight do not count.
func (p *Picker) asFast(own, other *endpoint, now pollenlatch.MonoTime) bool {
	if own == other {
		return true
	}
	ol, _ := p.weigh(own, now)
	l, _ := p.weigh(other, now)
	return now >= own.fullTill && ol <= closeEnough*l
}

// cost is how long a further request is likely to take.
func (p *Picker) cost(e *endpoint, now pollenlatch.MonoTime) float64 {
	latency, ahead := p.weigh(e, now)
	return latency * (ahead + 1)
}

// spills reports whether a local endpoint is so much worse than a remote one
// that the request leaves the data centre. Half of an endpoint's slots are
// added to the requests ahead, so that one or two of them decide nothing.
func (p *Picker) spills(near, far *endpoint, now pollenlatch.MonoTime) bool {
	nl, na := p.weigh(near, now)
	fl, fa := p.weigh(far, now)
	return nl*(na+near.base()) > spill*fl*(fa+far.base())
}

// base is half of an endpoint's slots.
func (e *endpoint) base() float64 {
	if e.instance.Endpoint == nil || e.instance.Endpoint.Slots == 0 {
		return defaultSlots / 2
	}
	return float64(e.instance.Endpoint.Slots) / 2
}

// endpoint returns what is known of a candidate. Another incarnation of its
// server is cold and has no history.
func (p *Picker) endpoint(c pollenlatch.Instance, now pollenlatch.MonoTime) *endpoint {
	e := p.known[c.ID]
	if e == nil || incarnation(e.instance) != incarnation(c) {
		e = &endpoint{warmAt: now}
		if p.warmed {
			e.warmAt = now.Add(p.cfg.WarmUp)
		}
		p.known[c.ID] = e
	}
	e.instance, e.seen = c, now
	return e
}

func incarnation(i pollenlatch.Instance) pollenlatch.Incarnation {
	if i.Endpoint == nil {
		return 0
	}
	return i.Endpoint.Incarnation
}

// better returns the cheaper of two endpoints drawn at random.
func (p *Picker) better(from []*endpoint, now pollenlatch.MonoTime) *endpoint {
	a := p.draw(from, nil, now)
	b := p.draw(from, a, now)
	if b == nil || p.cost(a, now) <= p.cost(b, now) {
		return a
	}
	return b
}

// draw returns a random endpoint other than not. A cold one comes up less often.
func (p *Picker) draw(from []*endpoint, not *endpoint, now pollenlatch.MonoTime) *endpoint {
	var total float64
	for _, e := range from {
		if e != not {
			total += p.share(e, now)
		}
	}
	at := p.rand.Float64() * total
	var last *endpoint
	for _, e := range from {
		if e == not {
			continue
		}
		last = e
		if at -= p.share(e, now); at < 0 {
			return e
		}
	}
	return last
}

// share returns the part of its traffic that an endpoint gets, from rampStart to 1.
func (p *Picker) share(e *endpoint, now pollenlatch.MonoTime) float64 {
	left := e.warmAt.Sub(now)
	if left <= 0 {
		return 1
	}
	return max(rampStart, 1-left.Seconds()/p.cfg.WarmUp.Seconds())
}

// weigh takes the latency and the requests in flight that this daemon has seen.
// An endpoint that has been silent with requests in flight for longer than its
// latency is as slow as that silence; one without requests is forgiven over
// forgiveSpan, so that it is tried again.
func (e *endpoint) weigh(now pollenlatch.MonoTime) (latency, ahead float64) {
	l := e.latency
	if l == 0 {
		l = firstLatency.Seconds()
	}
	if e.inflight > 0 {
		l = max(l, now.Sub(e.moved).Seconds())
	} else {
		l /= 1 + now.Sub(e.measured).Seconds()/forgiveSpan.Seconds()
	}
	if now < e.fullTill {
		l += refusal.Seconds()
	}
	return l, float64(e.inflight)
}

// done takes the result of a request.
func (p *Picker) done(e *endpoint, o pollenlatch.Outcome, r pollenlatch.Reason, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.cfg.Clock.Now()
	e.inflight--
	switch judge(o, r, took) {
	case good:
		e.moved = now
		e.observe(took, now)
		e.count(0)
		if e.answers == failSpan && e.fails < failShare/2 {
			e.ejects = 0
		}
	case overloaded:
		e.fullTill = now.Add(refusal)
	case bad:
		e.count(1)
		if e.answers >= failSpan/2 && e.fails >= failShare && e.ejected <= now {
			p.eject(e, now)
		}
	case neither:
	}
}

// observe adds an answer to the average latency. Each counts for at least one
// in fifty and at most for one in five, more when answers are rare.
func (e *endpoint) observe(took time.Duration, now pollenlatch.MonoTime) {
	s := took.Seconds()
	if e.latency == 0 {
		e.latency = s
	}
	w := min(latencyMost, max(latencyShare, now.Sub(e.measured).Seconds()/latencySpan.Seconds()))
	e.latency += w * (s - e.latency)
	e.measured = now
}

// count adds an answer to the share of failures.
func (e *endpoint) count(fail float64) {
	e.answers = min(e.answers+1, failSpan)
	e.fails += (fail - e.fails) / float64(e.answers)
}

// eject lets the endpoint have no requests for a while, unless too many are
// ejected. It returns as a cold one without its history of failures.
func (p *Picker) eject(e *endpoint, now pollenlatch.MonoTime) {
	out, all := 0, 0
	for _, o := range p.known {
		if o.seen < now.Add(-forget) || o.instance.Endpoint == nil || !sameService(o, e) {
			continue
		}
		all++
		if o.ejected > now {
			out++
		}
	}
	if (out+1)*ejectedShare > all {
		return
	}
	d := min(p.cfg.MaxEjectionTime, p.cfg.BaseEjectionTime<<min(e.ejects, 16))
	e.ejects++
	e.ejected = now.Add(d)
	e.warmAt = e.ejected.Add(p.cfg.WarmUp)
	e.answers, e.fails = 0, 0
}

func sameService(a, b *endpoint) bool {
	return b.instance.Endpoint != nil && a.instance.Endpoint.Service == b.instance.Endpoint.Service
}

// sweep forgets endpoints that are no candidates any more.
func (p *Picker) sweep(now pollenlatch.MonoTime) {
	if now.Sub(p.swept) < forget {
		return
	}
	p.swept = now
	for id, e := range p.known {
		if now.Sub(e.seen) > forget && e.inflight == 0 {
			delete(p.known, id)
		}
	}
}

// verdict is what a result says of an endpoint.
type verdict int

const (
	neither    verdict = iota // the caller's doing
	good                      // it works
	overloaded                // it works, and has too much work
	bad                       // it fails
)

func judge(o pollenlatch.Outcome, r pollenlatch.Reason, took time.Duration) verdict {
	switch r {
	case pollenlatch.ReasonQueueFull, pollenlatch.ReasonDraining, pollenlatch.ReasonOverloaded:
		return overloaded
	case pollenlatch.ReasonDeadlineExceeded:
		switch {
		case o == pollenlatch.OutcomeNotRun:
			return overloaded
		case took < impatient:
			return neither
		default:
			return bad
		}
	case pollenlatch.ReasonUnreachable, pollenlatch.ReasonNoLease, pollenlatch.ReasonNoEndpoint, pollenlatch.ReasonConnectionLost,
		pollenlatch.ReasonServerRefused, pollenlatch.ReasonServerError:
		return bad
	default:
	}
	if o == pollenlatch.OutcomeRan {
		return good
	}
	return neither
}
