package measure

import (
	"container/heap"
	"time"

	"github.com/cornelbay/cornelbay"
)

// The habits of the baselines.
const (
	blindRetries   = 3
	attemptTimeout = requestDeadline / (blindRetries + 1)
)

type pair struct {
	host, target int
}

// baseline is a set of hosts that retry blindly and know only their own load.
type baseline struct {
	*requestRun
	// least picks the target with the fewest own attempts, otherwise any.
	least    bool
	inFlight map[pair]int
	silent   map[pair]int
	count    int
	dead     int
	lossy    bool
	drained  map[int]bool
	broken   []func()
}

func newBaseline(r *requestRun, least bool) *baseline {
	return &baseline{
		requestRun: r, least: least, dead: -1,
		inFlight: make(map[pair]int), silent: make(map[pair]int), drained: make(map[int]bool),
	}
}

func (b *baseline) attempts() int { return b.count }

// submit sends a request and, when its host dies or its answer is lost or cut,
// sends it again.
func (b *baseline) submit(a *arrival, done func(ending)) {
	ended := false
	end := func(e ending) {
		if !ended {
			ended = true
			done(e)
		}
	}
	b.After(requestDeadline, func() { end(ending{outcome: cornelbay.Unknown}) })
	lose := b.lossy && a.post && b.Rand.IntN(2) == 0
	b.send(a, a.host, func(e ending) {
		switch {
		case lose:
			b.After(resubmitAfter, func() { b.send(a, (a.host+1)%b.opts.Hosts, end) })
		case e.cut:
			b.send(a, (a.host+1)%b.opts.Hosts, end)
		default:
			end(e)
		}
	})
}

func (b *baseline) send(a *arrival, host int, done func(ending)) {
	if host == b.dead {
		host = (host + 1) % b.opts.Hosts
	}
	b.After(callerDelay, func() {
		back := func(e ending) { b.After(callerDelay, func() { done(e) }) }
		if host == b.dead {
			b.send(a, (host+1)%b.opts.Hosts, done)
			return
		}
		answered := false
		b.broken = append(b.broken, func() {
			if !answered && host == b.dead {
				answered = true
				b.send(a, (host+1)%b.opts.Hosts, done)
			}
		})
		b.try(a, host, 0, func(e ending) {
			if !answered && host != b.dead {
				answered = true
				back(e)
			}
		})
	})
}

// try makes one attempt and retries it, whatever became of it.
func (b *baseline) try(a *arrival, host, tries int, done func(ending)) {
	if tries > blindRetries {
		done(ending{outcome: cornelbay.NotRun})
		return
	}
	b.count++
	i := b.choose(host)
	p, t := pair{host, i}, b.targets[i]
	b.inFlight[p]++
	over := false
	end := func(ok bool, e ending) {
		if over {
			return
		}
		over = true
		b.inFlight[p]--
		if ok {
			done(e)
			return
		}
		b.try(a, host, tries+1, done)
	}
	b.After(attemptTimeout, func() { end(false, ending{}) })
	if b.silent[p] > 0 {
		b.silent[p]--
		return
	}
	delay := b.toTarget(host, t)
	b.After(delay, func() {
		t.Submit(&Work{Path: a.path, Demand: a.demand, Deadline: b.began.Add(a.at + requestDeadline), Done: func(r WorkResult) {
			b.After(delay, func() { end(!r.Refused, ending{cornelbay.Answered, r.Cut}) })
		}})
	})
}

func (b *baseline) choose(host int) int {
	n := len(b.targets)
	best := b.Rand.IntN(n)
	for b.drained[best] {
		best = b.Rand.IntN(n)
	}
	if !b.least {
		return best
	}
	for k, at := 0, best; k < n; k++ {
		i := (at + k) % n
		if !b.drained[i] && b.inFlight[pair{host, i}] < b.inFlight[pair{host, best}] {
			best = i
		}
	}
	return best
}

func (b *baseline) killHost() {
	b.dead = 0
	for _, f := range b.broken {
		b.After(callerDelay, f)
	}
}

// stopHost is harmless to a baseline that is told in time.
func (b *baseline) stopHost() {}

func (b *baseline) drain(t *FakeTarget) {
	b.After(drainBound/2, func() {
		for i, other := range b.targets {
			if other == t {
				b.drained[i] = true
			}
		}
	})
}

func (b *baseline) silence() {
	for h := range b.opts.Hosts {
		for i := range b.targets {
			if b.Rand.IntN(2) == 0 {
				b.silent[pair{h, i}] = 2
			}
		}
	}
}

func (b *baseline) loseAnswers()  { b.lossy = true }
func (b *baseline) lieAboutLoad() {}

// toTarget returns the one-way delay from a host to a target.
func (r *requestRun) toTarget(host int, t *FakeTarget) time.Duration {
	if r.opts.Document.DataCentres[host%len(r.opts.Document.DataCentres)].Name == t.DataCentre {
		return nearDelay
	}
	return farDelay
}

// central is one ideal queue in order of deadline that knows the state of every
// target and loses no time between them. Like everybody else it does not know
// how long a request will take, only how long requests usually take.
type central struct {
	*requestRun
	queue   centralQueue
	drained map[*FakeTarget]bool
	count   int
}

func (c *central) attempts() int { return c.count }

// centralReserve is the time to the deadline that central wants for a request:
// about the 99th percentile of demands.
const centralReserve = 7 * requestMean / 2

type centralJob struct {
	*arrival
	deadline time.Time
	done     func(ending)
	over     bool
}

type centralQueue []*centralJob

func (q centralQueue) Len() int           { return len(q) }
func (q centralQueue) Less(i, j int) bool { return q[i].deadline.Before(q[j].deadline) }
func (q centralQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *centralQueue) Push(x any)        { *q = append(*q, x.(*centralJob)) }
func (q *centralQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func (c *central) submit(a *arrival, done func(ending)) {
	j := &centralJob{arrival: a, deadline: c.Now.Add(requestDeadline), done: done}
	c.After(requestDeadline, func() { c.end(j, ending{outcome: cornelbay.Unknown}) })
	c.After(callerDelay+nearDelay, func() {
		heap.Push(&c.queue, j)
		c.pump()
	})
}

func (c *central) end(j *centralJob, e ending) {
	if !j.over {
		j.over = true
		j.done(e)
	}
}

func (c *central) pump() {
	for len(c.queue) > 0 {
		t := c.best()
		if t == nil {
			return
		}
		j := heap.Pop(&c.queue).(*centralJob)
		speed := t.Speed
		if speed == 0 {
			speed = 1
		}
		need := time.Duration(float64(centralReserve)/speed) + nearDelay + callerDelay
		if j.over || c.Now.Add(need).After(j.deadline) {
			c.end(j, ending{outcome: cornelbay.NotRun})
			continue
		}
		c.run(j, t)
	}
}

func (c *central) run(j *centralJob, t *FakeTarget) {
	c.count++
	t.Submit(&Work{Path: j.path, Demand: j.demand, Deadline: j.deadline, Done: func(r WorkResult) {
		switch {
		case !r.Cut:
			c.After(nearDelay+callerDelay, func() { c.end(j, ending{outcome: cornelbay.Answered}) })
		case j.post:
			c.end(j, ending{outcome: cornelbay.Unknown})
		default:
			heap.Push(&c.queue, j)
		}
		c.After(0, c.pump)
	}})
}

// best returns a target with a free slot; slow ones only when all are slow.
func (c *central) best() *FakeTarget {
	quick := false
	for _, t := range c.targets {
		quick = quick || t.Speed == 0 || t.Speed == 1
	}
	for _, t := range c.targets {
		slow := t.Speed != 0 && t.Speed != 1
		if t.Load() < t.Slots && !t.Sheds && !c.drained[t] && (!slow || !quick) {
			return t
		}
	}
	return nil
}

func (c *central) killHost()           {}
func (c *central) stopHost()           {}
func (c *central) drain(t *FakeTarget) { c.drained[t] = true }
func (c *central) silence()            {}
func (c *central) loseAnswers()        {}
func (c *central) lieAboutLoad()       {}
