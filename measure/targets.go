package measure

import (
	"slices"
	"time"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/request"
)

// FakeTarget is a target on the virtual clock with slots, a short queue and
// faults that can be switched.
type FakeTarget struct {
	*Driver
	Name       cornelbay.TargetName
	DataCentre cornelbay.DataCentreName
	Slots      int
	// Backlog is how many requests wait beyond the slots before it refuses.
	Backlog int
	// Speed divides the time that a request takes; 0 stands for 1.
	Speed float64
	// Sheds makes it refuse every request.
	Sheds bool
	// Bears is the number of requests at once that it can bear, from BearsFrom on.
	Bears     int
	BearsFrom time.Time
	// Closed is when it should get nothing new any more; zero is never.
	Closed time.Time
	// LateShare and CutShare are the shares of answers that come after the
	// deadline and that are truncated.
	LateShare, CutShare float64

	// Overrun counts the requests beyond what it can bear, or after Closed.
	Overrun int
	// Runs counts the runs of each request by path.
	Runs map[string]int

	running int
	waiting []*Work
}

// Work is one request at a fake target.
type Work struct {
	// Path names the request.
	Path string
	// Demand is the time that it takes at full speed.
	Demand   time.Duration
	Deadline time.Time
	// Done takes what became of it, when the answer leaves the target.
	Done func(WorkResult)

	started, ended bool
}

// WorkResult is what leaves a fake target.
type WorkResult struct {
	Refused, Cut bool
	// Load is the number of requests that the target says it runs.
	Load int
}

// Proof returns what the result proves when it is no whole answer.
func (r WorkResult) Proof() request.Proof {
	if r.Refused {
		return request.Refused
	}
	return request.NoProof
}

// Submit hands a request to the target.
func (t *FakeTarget) Submit(w *Work) {
	t.countOverrun()
	switch {
	case t.Sheds || (t.running >= t.Slots && len(t.waiting) >= t.Backlog):
		w.ended = true
		w.Done(WorkResult{Refused: true})
	case t.running >= t.Slots:
		t.waiting = append(t.waiting, w)
	default:
		t.start(w)
	}
}

func (t *FakeTarget) countOverrun() {
	if t.Bears > 0 && !t.Now.Before(t.BearsFrom) && t.running+len(t.waiting) >= t.Bears {
		t.Overrun++
	}
	if !t.Closed.IsZero() && t.Now.After(t.Closed) {
		t.Overrun++
	}
}

// Load returns the requests that run or wait.
func (t *FakeTarget) Load() int { return t.running + len(t.waiting) }

func (t *FakeTarget) start(w *Work) {
	w.started = true
	t.running++
	t.Runs[w.Path]++
	speed := t.Speed
	if speed == 0 {
		speed = 1
	}
	t.After(time.Duration(float64(w.Demand)/speed), func() { t.finish(w) })
}

func (t *FakeTarget) finish(w *Work) {
	if w.ended {
		return
	}
	w.ended = true
	t.running--
	r := WorkResult{Cut: t.Rand.Float64() < t.CutShare}
	if t.Rand.Float64() < t.LateShare {
		t.After(w.Deadline.Sub(t.Now)+time.Duration(t.Rand.Int64N(int64(time.Second))), func() { w.Done(r) })
	} else {
		w.Done(r)
	}
	t.next()
}

func (t *FakeTarget) next() {
	for t.running < t.Slots && len(t.waiting) > 0 {
		w := t.waiting[0]
		t.waiting = t.waiting[1:]
		if w.Deadline.Before(t.Now) {
			w.ended = true
			w.Done(WorkResult{Refused: true})
			continue
		}
		t.start(w)
	}
}

// Cancel ends a request whose answer nobody waits for.
func (t *FakeTarget) Cancel(w *Work) {
	if w.ended {
		return
	}
	w.ended = true
	if w.started {
		t.running--
		t.next()
		return
	}
	if i := slices.Index(t.waiting, w); i >= 0 {
		t.waiting = slices.Delete(t.waiting, i, i+1)
	}
}
