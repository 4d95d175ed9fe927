package measure

import (
	"errors"
	"fmt"
	"io"
	"math"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/ansel1/merry/v2"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/config"
)

// RequestRow is one line of the experiment on requests.
type RequestRow struct {
	Scenario string  `json:"scenario"`
	Policy   string  `json:"policy"`
	Load     float64 `json:"load"`
	Requests int     `json:"requests"`
	// The percentiles are of the time until a caller has its final answer of any
	// kind: a policy gains nothing by refusing late.
	P50Ms  float64 `json:"p50Ms"`
	P99Ms  float64 `json:"p99Ms"`
	P999Ms float64 `json:"p999Ms"`
	// Goodput counts the whole answers in time a second while requests arrive.
	Goodput float64 `json:"goodput"`
	// Late counts the answers after the deadline.
	Late int `json:"late"`
	// Lost counts the requests without any end.
	Lost int `json:"lost"`
	// Doubled counts the requests that are not idempotent and ran again.
	Doubled int `json:"doubled"`
	// FalseNotRun counts the requests that ran and were said not to have run.
	FalseNotRun        int     `json:"falseNotRun"`
	Unknown            int     `json:"unknown"`
	AttemptsPerRequest float64 `json:"attemptsPerRequest"`
	Overrun            int     `json:"overrun"`
	// RecoverySeconds is the time from the end of the fault to the last tenth of
	// a second in which more than a twentieth of the requests went bad.
	RecoverySeconds float64 `json:"recoverySeconds"`
}

// RequestOptions select what RunRequests measures.
type RequestOptions struct {
	// Document is the deployment; its first service is measured.
	Document *config.Document
	Hosts    int
	Seed     uint64
	// Span is the virtual time of arrivals.
	Span time.Duration
	// Scenarios and Policies are the names to run; empty runs all.
	Scenarios, Policies []string
	// Parallel is the number of runs at the same time; 0 stands for 1.
	Parallel int
}

// The sizes of the experiment.
const (
	requestCallers  = 60
	requestMean     = 20 * time.Millisecond
	requestSigma    = 0.6
	requestDeadline = 500 * time.Millisecond
	postShare       = 0.1
	callerDelay     = time.Millisecond
	nearDelay       = 250 * time.Microsecond
	farDelay        = 1500 * time.Microsecond
	targetBacklog   = 4
	faultAt         = 3 * time.Second
	faultFor        = 5 * time.Second
	drainBound      = 2 * time.Second
	recoveryWindow  = 100 * time.Millisecond
	settleSpan      = 6 * time.Second
	tailSpan        = 3 * time.Second
)

// arrival is one request of a caller; all policies get the same ones.
type arrival struct {
	at     time.Duration
	host   int
	caller int
	post   bool
	demand time.Duration
	path   string
}

// arrivals draws the requests of one run: Poisson arrivals, lognormal demands.
func arrivals(d *Driver, hosts int, rate float64, span time.Duration) []*arrival {
	var out []*arrival
	mu := math.Log(requestMean.Seconds()) - requestSigma*requestSigma/2
	for at := 0.0; ; {
		at += d.Rand.ExpFloat64() / rate
		if at >= span.Seconds() {
			return out
		}
		demand := math.Exp(mu + requestSigma*d.Rand.NormFloat64())
		out = append(out, &arrival{
			at: seconds(at), host: d.Rand.IntN(hosts), caller: d.Rand.IntN(requestCallers),
			post: d.Rand.Float64() < postShare, demand: seconds(demand), path: fmt.Sprint("/", len(out)),
		})
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// ending is what a caller was told in the end.
type ending struct {
	outcome cornelbay.Outcome
	// cut is set when a truncated answer was passed on.
	cut bool
}

// policy takes requests as callers send them; done is called at most once, at
// the time at which the caller has the answer.
type policy interface {
	submit(a *arrival, done func(ending))
	attempts() int
}

// requestRun is one scenario under one policy.
type requestRun struct {
	*Driver
	opts     RequestOptions
	scenario scenario
	targets  []*FakeTarget
	began    time.Time
	bad      map[time.Duration][2]int
	hist     *hdrhistogram.Histogram
	row      RequestRow
}

// requestPolicies are the policies in the order of the rows.
var requestPolicies = []string{"random", "leastInFlight", "central", "cornelbay"}

type requestCase struct {
	scenario scenario
	policy   string
}

// RunRequests runs the experiment and returns its rows.
func RunRequests(o RequestOptions) ([]RequestRow, error) {
	cases, err := requestCases(o)
	if err != nil {
		return nil, err
	}
	rows, errs := make([]RequestRow, len(cases)), make([]error, len(cases))
	free := make(chan struct{}, max(1, o.Parallel))
	var wg sync.WaitGroup
	for i, c := range cases {
		free <- struct{}{}
		wg.Go(func() {
			rows[i], errs[i] = runRequests(o, c.scenario, c.policy)
			<-free
		})
	}
	wg.Wait()
	return rows, errors.Join(errs...)
}

func requestCases(o RequestOptions) ([]requestCase, error) {
	var out []requestCase
	for _, s := range scenarios {
		if len(o.Scenarios) > 0 && !slices.Contains(o.Scenarios, s.name) {
			continue
		}
		for _, p := range requestPolicies {
			if len(o.Policies) == 0 || slices.Contains(o.Policies, p) {
				out = append(out, requestCase{s, p})
			}
		}
	}
	if len(out) == 0 {
		return nil, merry.New("no scenario or policy of that name")
	}
	return out, nil
}

func (r *requestRun) startTargets(s *cornelbay.Service) {
	for _, t := range s.Targets {
		r.targets = append(r.targets, &FakeTarget{
			Driver: r.Driver, Name: t.Name, DataCentre: t.DataCentre,
			Slots: t.SlotCount(), Backlog: targetBacklog, Runs: make(map[string]int),
		})
	}
}

func (r *requestRun) slots() int {
	n := 0
	for _, t := range r.targets {
		n += t.Slots
	}
	return n
}

// arrive submits all arrivals and runs until every deadline is past.
func (r *requestRun) arrive(p policy, list []*arrival) {
	r.began = r.Now
	r.row.Requests, r.row.Lost = len(list), len(list)
	for _, a := range list {
		r.After(a.at, func() {
			p.submit(a, func(e ending) { r.ended(a, e) })
		})
	}
	before := p.attempts()
	r.Run(r.opts.Span + tailSpan)
	r.row.AttemptsPerRequest = float64(p.attempts()-before) / float64(len(list))
}

func (r *requestRun) ended(a *arrival, e ending) {
	r.row.Lost--
	latency := r.Now.Sub(r.began) - a.at
	_ = r.hist.RecordValue(latency.Microseconds()) // below the limit by the deadline
	good := false
	switch e.outcome {
	case cornelbay.Answered:
		good = latency <= requestDeadline && !e.cut
		if latency > requestDeadline {
			r.row.Late++
		}
	case cornelbay.Unknown:
		r.row.Unknown++
	case cornelbay.NotRun:
		if r.runs(a) > 0 {
			r.row.FalseNotRun++
		}
	}
	w := r.bad[a.at/recoveryWindow]
	w[0]++
	if !good {
		w[1]++
	} else if r.Now.Sub(r.began) <= r.opts.Span {
		r.row.Goodput++
	}
	r.bad[a.at/recoveryWindow] = w
}

func (r *requestRun) runs(a *arrival) int {
	n := 0
	for _, t := range r.targets {
		n += t.Runs[a.path]
	}
	return n
}

func (r *requestRun) finishRow(list []*arrival) {
	for _, a := range list {
		if a.post && r.runs(a) > 1 {
			r.row.Doubled++
		}
	}
	for _, t := range r.targets {
		r.row.Overrun += t.Overrun
	}
	r.row.Goodput /= r.opts.Span.Seconds()
	r.row.P50Ms = float64(r.hist.ValueAtQuantile(50)) / 1000
	r.row.P99Ms = float64(r.hist.ValueAtQuantile(99)) / 1000
	r.row.P999Ms = float64(r.hist.ValueAtQuantile(99.9)) / 1000
	for w, n := range r.bad {
		after := (w+1)*recoveryWindow - r.scenario.ends
		if r.scenario.ends > 0 && n[1]*20 > n[0] {
			r.row.RecoverySeconds = max(r.row.RecoverySeconds, after.Seconds())
		}
	}
}

// WriteRequestTable writes the rows as a text table.
func WriteRequestTable(w io.Writer, rows []RequestRow) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "scenario\tpolicy\tload\trequests\tp50Ms\tp99Ms\tp999Ms\tgoodput\tlate\tlost\tdoubled\tfalseNotRun\tunknown\tattempts\toverrun\trecovery\t")
	for _, r := range rows {
		fmt.Fprintf(t, "%s\t%s\t%.2f\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%d\t%d\t%d\t%d\t%d\t%.3f\t%d\t%.1f\t\n",
			r.Scenario, r.Policy, r.Load, r.Requests, r.P50Ms, r.P99Ms, r.P999Ms, r.Goodput, r.Late, r.Lost,
			r.Doubled, r.FalseNotRun, r.Unknown, r.AttemptsPerRequest, r.Overrun, r.RecoverySeconds)
	}
	return t.Flush()
}
