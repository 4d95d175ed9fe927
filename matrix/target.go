package matrix

import (
	"time"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/measure"
	"github.com/cornelbay/cornelbay/request"
	"github.com/cornelbay/cornelbay/warmth"
)

// What targets do and bear.
const (
	coldFor        = 5 * time.Second
	coldFlows      = 5
	coldRefusals   = 5
	coldWindow     = time.Second
	surpriseGrace  = 3 * time.Second
	warmService    = 20 * time.Millisecond
	coldService    = 100 * time.Millisecond
	dialTimeout    = 250 * time.Millisecond
	probeTime      = 2 * time.Millisecond
	coldSlots      = 1
	truncatedOneIn = 4
	travel         = time.Millisecond
	serviceJitter  = 30 * time.Millisecond
	untoldAfter    = 400 * time.Millisecond
	requestTimeout = 1500 * time.Millisecond
)

// target is a back end as the world keeps it.
type target struct {
	cornelbay.Target
	service cornelbay.ServiceName
	// coldAt is when the target turned cold; zero when it is warm.
	coldAt time.Time
	// surprise targets turned cold without a restart; their probes say all is well.
	surprise bool
	running  int
	// flows and refusals hold the times of the last new flows and refusals.
	flows, refusals []time.Time
	overrun         bool
}

func (w *World) addTarget(s cornelbay.ServiceName, t cornelbay.Target, coldAt time.Time) {
	w.targets[t.Name] = &target{Target: t, service: s, coldAt: coldAt}
	w.names = append(w.names, t.Name)
}

// cold reports whether the target bears little now.
func (t *target) cold(now time.Time) bool {
	return !t.coldAt.IsZero() && (t.surprise || now.Sub(t.coldAt) < coldFor)
}

// judged reports whether more load than a cold target bears breaks the promise.
func (t *target) judged(now time.Time) bool {
	return t.cold(now) && (!t.surprise || now.Sub(t.coldAt) > surpriseGrace)
}

func recent(times []time.Time, now time.Time) []time.Time {
	for len(times) > 0 && now.Sub(times[0]) > coldWindow {
		times = times[1:]
	}
	return append(times, now)
}

func (w *World) overrun(t *target, format string, args ...any) {
	if !t.overrun && t.judged(w.Now) {
		t.overrun = true // one violation a target
		w.Ledger.Break(ColdSpared, format, args...)
	}
}

func (w *World) newFlow(t *target) {
	t.flows = recent(t.flows, w.Now)
	if len(t.flows) > coldFlows {
		w.overrun(t, "cold %s got %d flows in %s", t.Name, len(t.flows), coldWindow)
	}
}

// probe answers a health probe; it misleads while a target is cold by surprise.
func (w *World) probe(n *measure.Node, p warmth.Probe) {
	t := w.targets[p.Target]
	w.sentTo(n, t)
	s := warmth.Signal{Target: p.Target, Kind: warmth.ProbeOK}
	wait := probeTime
	if !w.reaches(n.Self.Name, t.DataCentre) {
		s.Kind, wait = warmth.ProbeFailed, dialTimeout
	}
	w.After(wait, func() {
		if n.Alive() {
			n.Observe(w.Now, s)
		}
	})
}

// attemptKey names an attempt of one start of a host.
type attemptKey struct {
	host        cornelbay.HostName
	incarnation cornelbay.Incarnation
	id          request.AttemptID
}

// attempt is a request on its way to a target.
type attempt struct {
	request.Attempt
	node              *measure.Node
	silent, cancelled bool
}

func keyOf(n *measure.Node, id request.AttemptID) attemptKey {
	return attemptKey{n.Self.Name, n.Self.Incarnation, id}
}

// attempt carries a request to its target.
func (w *World) attempt(n *measure.Node, a request.Attempt) {
	t := w.targets[a.Target]
	w.sentTo(n, t)
	at := &attempt{Attempt: a, node: n, silent: w.silent && w.Rand.IntN(2) == 0}
	w.attempts[keyOf(n, a.ID)] = at
	w.newWork(n, t)
	if !w.reaches(n.Self.Name, t.DataCentre) {
		w.After(dialTimeout, func() { w.ended(at, request.AttemptResult{Proof: request.NeverSent}) })
		return
	}
	w.After(travel, func() { w.serve(t, at) })
	if w.mutation == doubleSend && a.Request.Ticket != "" {
		w.After(2*travel, func() { w.serve(t, at) })
	}
	w.After(a.Deadline.Sub(w.Now), func() { w.ended(at, request.AttemptResult{Silent: at.silent}) })
}

func (w *World) cancel(n *measure.Node, c request.Cancel) {
	if at, ok := w.attempts[keyOf(n, c.ID)]; ok {
		at.cancelled = true
	}
}

// serve runs a request at its target, or refuses it when all slots are taken.
func (w *World) serve(t *target, at *attempt) {
	if at.cancelled {
		return
	}
	slots, service := t.SlotCount(), warmService
	if t.cold(w.Now) {
		slots, service = coldSlots, coldService
	}
	if t.running >= slots {
		t.refusals = recent(t.refusals, w.Now)
		if len(t.refusals) > coldRefusals {
			w.overrun(t, "cold %s refused %d requests in %s", t.Name, len(t.refusals), coldWindow)
		}
		w.After(travel, func() { w.ended(at, request.AttemptResult{Proof: request.Refused}) })
		return
	}
	t.running++
	w.Ledger.Ran(at.Request.Path, t.Name)
	service += time.Duration(w.Rand.Int64N(int64(serviceJitter)))
	w.After(service, func() {
		t.running--
		if at.silent || !w.reaches(at.node.Self.Name, t.DataCentre) {
			return
		}
		res := request.AttemptResult{Complete: true, Response: request.Response{Status: 200, Body: []byte(answerTo(at.Request.Path))}}
		if w.silent && w.Rand.IntN(truncatedOneIn) == 0 {
			res.Response.Body = res.Response.Body[:len(res.Response.Body)/2]
			res.Complete = w.mutation == trustTruncated
		}
		w.After(travel, func() { w.ended(at, res) })
	})
}

func answerTo(path string) string { return "answer to " + path }

// ended gives a host the result of an attempt, once.
func (w *World) ended(at *attempt, res request.AttemptResult) {
	key := keyOf(at.node, at.ID)
	if w.attempts[key] != at || !at.node.Alive() {
		return
	}
	delete(w.attempts, key)
	if at.cancelled {
		return
	}
	res.ID = at.ID
	if res.Complete && at.Request.Ticket != "" {
		w.reached("answered", at.node.Self.Name)
	}
	if !at.node.Alive() {
		return
	}
	w.CarryOut(at.node, at.node.Requests.AttemptEnded(w.Now, res))
}
