package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/caller"
	"github.com/cornelbay/cornelbay/request"
	"github.com/cornelbay/cornelbay/standin"
)

// The parameters of the request load.
const (
	callerCount   = 16
	reportShare   = 0.3                   // share of requests that are reports, which are not idempotent
	thinkTime     = 60 * time.Millisecond // mean of a caller's pauses, which are uniform from 0 to twice this
	serviceTime   = 4 * time.Millisecond
	lateShare     = 0.02                   // share of requests that a target answers late
	lateTime      = 150 * time.Millisecond // added to serviceTime in a late answer
	ticketBatch   = 8
	clientTimeout = 3 * time.Second
)

// RequestStats holds the counters of the request load.
type RequestStats struct {
	// Answered, NotRun and Unknown count requests with a complete response by their
	// outcome, Failed those without one. Answered does not include ErrorAnswers.
	Answered, NotRun, Unknown, Failed int
	// ErrorAnswers counts answers of targets with a status other than 200 OK.
	ErrorAnswers int
	// WrongAnswers counts answers that were incomplete or belong to another request.
	WrongAnswers int
	// FailedDuringStop counts requests without a complete response, timeouts included,
	// at a host that was in a planned stop.
	FailedDuringStop int
	// LastRequest is the time of the last request at each target.
	LastRequest map[cornelbay.TargetName]time.Time
}

// Requests sends lookups (GET) and reports (POST with a ticket), and checks their
// outcomes.
type Requests struct {
	Services []cornelbay.Service
	// Ready returns the HTTP addresses of the hosts that are ready.
	Ready func() []netip.AddrPort

	seed uint64
	http http.Client

	mu sync.Mutex
	// runs counts, by path, how often targets ran each report.
	runs map[string]int
	// outcomes holds, by path, the outcome that the caller got for each report, except
	// for those that a target answered with a status other than 200 OK.
	outcomes map[string]cornelbay.Outcome
	stopping netip.AddrPort
	RequestStats
}

// NewRequests returns a request load whose random choices are seeded with seed.
func NewRequests(seed uint64, services []cornelbay.Service) *Requests {
	l := &Requests{
		Services: services, seed: seed, runs: make(map[string]int), outcomes: make(map[string]cornelbay.Outcome),
		RequestStats: RequestStats{LastRequest: make(map[cornelbay.TargetName]time.Time)},
	}
	l.http.Transport = &http.Transport{MaxIdleConnsPerHost: callerCount}
	l.http.Timeout = clientTimeout
	return l
}

// Run sends requests until ctx is done and waits for those in flight.
func (l *Requests) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for i := range callerCount {
		c := &simulatedCaller{load: l, id: i, rand: rand.New(rand.NewPCG(l.seed, uint64(i)+2))}
		wg.Go(func() { c.run(ctx) })
	}
	wg.Wait()
	l.http.CloseIdleConnections()
}

// RequestArrived counts a request that a target starts to run, and blocks for its
// service time.
func (l *Requests) RequestArrived(p ServiceTarget, r *http.Request) {
	l.mu.Lock()
	l.LastRequest[p.Name] = time.Now()
	if r.Method == http.MethodPost {
		l.runs[r.URL.Path]++
	}
	l.mu.Unlock()
	took := serviceTime
	if rand.Float64() < lateShare {
		took += lateTime
	}
	wait(r.Context(), took) // a cancelled request ends at once
}

// simulatedCaller sends the requests of one caller and holds its unused tickets.
type simulatedCaller struct {
	load    *Requests
	id      int
	count   int
	rand    *rand.Rand
	tickets map[cornelbay.ServiceName][]string
}

func (c *simulatedCaller) run(ctx context.Context) {
	c.tickets = make(map[cornelbay.ServiceName][]string)
	for wait(ctx, time.Duration(c.rand.Int64N(int64(2*thinkTime)))) {
		hosts := c.load.Ready()
		if len(hosts) == 0 {
			continue
		}
		c.sendNext(hosts[c.rand.IntN(len(hosts))])
	}
}

// sendNext sends one lookup or report through a host.
func (c *simulatedCaller) sendNext(at netip.AddrPort) {
	services := c.load.Services
	svc := services[c.rand.IntN(len(services))].Name
	base := "http://" + at.String()
	c.count++
	path := fmt.Sprintf("/lookups/%d-%d", c.id, c.count)
	if c.rand.Float64() >= reportShare {
		c.send(at, base, svc, http.MethodGet, path, "")
		return
	}
	if ticket, ok := c.ticket(base, svc); ok {
		path = fmt.Sprintf("/reports/%d-%d", c.id, c.count)
		c.send(at, base, svc, http.MethodPost, path, ticket)
	}
}

// ticket returns a ticket for a service, and fetches a new batch if none is left.
func (c *simulatedCaller) ticket(base string, svc cornelbay.ServiceName) (string, bool) {
	if len(c.tickets[svc]) == 0 {
		c.tickets[svc] = c.fetchTickets(base, svc)
	}
	t := c.tickets[svc]
	if len(t) == 0 {
		return "", false
	}
	c.tickets[svc] = t[1:]
	return t[0], true
}

func (c *simulatedCaller) fetchTickets(base string, svc cornelbay.ServiceName) []string {
	res, err := c.load.http.Get(base + caller.TicketsPath + "?service=" + string(svc) + "&count=" + strconv.Itoa(ticketBatch))
	if err != nil {
		return nil
	}
	defer res.Body.Close()
	var out request.TicketList
	if res.StatusCode != http.StatusOK || json.NewDecoder(res.Body).Decode(&out) != nil {
		return nil
	}
	return out.Tickets
}

// send sends one request and records its outcome.
func (c *simulatedCaller) send(at netip.AddrPort, base string, svc cornelbay.ServiceName, method, path, ticket string) {
	r, err := http.NewRequest(method, base+"/services/"+string(svc)+path, nil)
	if err != nil {
		panic(err) // the load built the URL itself
	}
	if ticket != "" {
		r.Header.Set(request.TicketHeader, ticket)
	}
	res, err := c.load.http.Do(r)
	outcome, body := cornelbay.Unknown, []byte(nil)
	if err == nil {
		body, err = io.ReadAll(res.Body)
		_ = res.Body.Close() // already read to the end
	}
	if err == nil {
		outcome = cornelbay.ParseOutcome(res.Header.Get(cornelbay.OutcomeHeader))
	}
	if outcome == cornelbay.Answered && res.StatusCode != http.StatusOK {
		c.load.countFault()
		return
	}
	c.load.recordOutcome(at, method, path, outcome, string(body), err)
}

// countFault counts an answer of a target with a status other than 200 OK.
func (l *Requests) countFault() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ErrorAnswers++
}

func (l *Requests) recordOutcome(at netip.AddrPort, method, path string, outcome cornelbay.Outcome, body string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err != nil:
		l.Failed++
	case outcome == cornelbay.Answered:
		l.Answered++
		if !l.isValidAnswer(path, body) {
			l.WrongAnswers++
		}
	case outcome == cornelbay.NotRun:
		l.NotRun++
	default:
		l.Unknown++
	}
	if method == http.MethodPost {
		l.outcomes[path] = outcome
	}
	// An unknown outcome alone doesn't count: a target may truncate its answer to a
	// lookup, and a report whose answer was truncated has the outcome unknown whatever
	// the host does. Only requests that failed at the stopping host count.
	if at == l.stopping && err != nil {
		l.FailedDuringStop++
	}
}

// isValidAnswer reports whether body is a target's complete answer to path.
func (l *Requests) isValidAnswer(path, body string) bool {
	name, _, ok := strings.Cut(strings.TrimPrefix(body, "answer of "), " to ")
	return ok && body == standin.ResponseBody(cornelbay.TargetName(name), path)
}

// SetStopping sets the address of the host that is in a planned stop; the zero value
// means none.
func (l *Requests) SetStopping(at netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopping = at
}

// Stats returns a copy of the counters.
func (l *Requests) Stats() RequestStats {
	l.mu.Lock()
	defer l.mu.Unlock()
	f := l.RequestStats
	f.LastRequest = maps.Clone(f.LastRequest)
	return f
}

// Reports returns how many reports ran more than once, ran although the caller was told
// that they did not, and did not run although the caller got an answer.
func (l *Requests) Reports() (doubled, falselyRefused, lost int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for path, n := range l.runs {
		if n > 1 {
			doubled++
		}
		if n > 0 && l.outcomes[path] == cornelbay.NotRun {
			falselyRefused++
		}
	}
	for path, o := range l.outcomes {
		if o == cornelbay.Answered && l.runs[path] == 0 {
			lost++
		}
	}
	return doubled, falselyRefused, lost
}

// ReportCount returns the number of reports whose outcome was recorded. Reports that a
// target answered with a status other than 200 OK are not among them.
func (l *Requests) ReportCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.outcomes)
}
