package operator

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/config"
)

// The times of questions to hosts.
const (
	hostTimeout  = 2 * time.Second
	waitInterval = 200 * time.Millisecond
)

// maxStatusBytes bounds what is read of one host's status.
const maxStatusBytes = 64 << 20

// surveyWorkers is the number of hosts that are asked at once.
const surveyWorkers = 64

// HostStatus is what a host tells operators of itself at GET /status.
type HostStatus struct {
	Host     cornelbay.Host          `json:"host"`
	Head     config.Head             `json:"head"`
	Ready    bool                    `json:"ready"`
	Stopping bool                    `json:"stopping"`
	Live     []cornelbay.Host        `json:"live"`
	Missing  []cornelbay.Host        `json:"missing"`
	Targets  []cornelbay.TargetState `json:"targets"`
}

// ErrNotEverywhere tells that a generation is not in force at every host.
var ErrNotEverywhere = merry.New("the generation is not in force everywhere")

// ErrHost is the error of a host that does not answer as it should.
var ErrHost = merry.New("host does not answer")

// Fleet reads and stops hosts at their admin addresses.
type Fleet struct {
	// Hosts are the addresses to start from; the hosts that they hear are found.
	Hosts []netip.AddrPort
	// HTTP does the requests; nil stands for http.DefaultClient.
	HTTP *http.Client
	// TLS is true when the hosts serve their admin addresses over TLS.
	TLS bool
}

// HostReport is what was learnt of one host.
type HostReport struct {
	Name       cornelbay.HostName       `json:"name"`
	DataCentre cornelbay.DataCentreName `json:"dataCentre"`
	Admin      netip.AddrPort           `json:"admin"`
	Generation uint64                   `json:"generation"`
	Ready      bool                     `json:"ready"`
	Stopping   bool                     `json:"stopping"`
	// Error tells why the host is not known to have a generation in force.
	Error string `json:"error,omitempty"`
}

// TargetReport is the state of a target as the hosts see it.
type TargetReport struct {
	Service    cornelbay.ServiceName    `json:"service"`
	Target     cornelbay.TargetName     `json:"target"`
	DataCentre cornelbay.DataCentreName `json:"dataCentre"`
	// State is one of cold, warming, warm, draining, gone, out and unknown.
	State string `json:"state"`
	// Permille is the least share of the full weight that a host gives it.
	Permille uint16 `json:"permille"`
	// Disagree is true when hosts tell of different states.
	Disagree bool `json:"disagree,omitempty"`
}

// Report is what is in force where.
type Report struct {
	// Committed is the head in the platform's service; its Generation is 0 when it
	// could not be read.
	Committed config.Head    `json:"committed"`
	Hosts     []HostReport   `json:"hosts"`
	Targets   []TargetReport `json:"targets"`
	// Everywhere is true when every known host has the committed generation.
	Everywhere bool `json:"everywhere"`
	// Lagging names the hosts that do not, or do not answer.
	Lagging []cornelbay.HostName `json:"lagging"`
}

// Survey asks all hosts that can be found what they have in force. A generation
// of 0 stands for the highest that a host has.
func (f *Fleet) Survey(ctx context.Context, generation uint64) (*Report, []HostStatus) {
	s := survey{fleet: f, asked: make(map[netip.AddrPort]bool)}
	var next []cornelbay.Host
	for _, at := range f.Hosts {
		next = append(next, cornelbay.Host{Name: cornelbay.HostName(at.String()), Admin: at})
	}
	for len(next) > 0 {
		next = s.round(ctx, next)
	}
	r := &Report{Hosts: s.hosts, Targets: []TargetReport{}, Lagging: []cornelbay.HostName{}}
	slices.SortFunc(r.Hosts, func(a, b HostReport) int { return strings.Compare(string(a.Name), string(b.Name)) })
	for _, h := range r.Hosts {
		generation = max(generation, h.Generation)
	}
	for _, h := range r.Hosts {
		if h.Error != "" || h.Generation < generation {
			r.Lagging = append(r.Lagging, h.Name)
		}
	}
	r.Everywhere = len(r.Lagging) == 0 && len(r.Hosts) > 0 && generation > 0
	return r, s.answers
}

// survey collects the answers of hosts.
type survey struct {
	fleet   *Fleet
	asked   map[netip.AddrPort]bool
	hosts   []HostReport
	answers []HostStatus
}

// round asks some hosts and returns those that they tell of and were not asked.
func (s *survey) round(ctx context.Context, hosts []cornelbay.Host) []cornelbay.Host {
	var ask []cornelbay.Host
	for _, h := range hosts {
		if !s.asked[h.Admin] {
			s.asked[h.Admin] = true
			ask = append(ask, h)
		}
	}
	statuses, errs := make([]HostStatus, len(ask)), make([]error, len(ask))
	var wg sync.WaitGroup
	free := make(chan struct{}, surveyWorkers)
	for i, h := range ask {
		free <- struct{}{}
		wg.Go(func() {
			statuses[i], errs[i] = s.fleet.Status(ctx, h.Admin)
			<-free
		})
	}
	wg.Wait()
	var found []cornelbay.Host
	for i, st := range statuses {
		if errs[i] != nil {
			s.hosts = append(s.hosts, HostReport{
				Name: ask[i].Name, DataCentre: ask[i].DataCentre, Admin: ask[i].Admin, Error: errs[i].Error(),
			})
			continue
		}
		s.answers = append(s.answers, st)
		s.hosts = append(s.hosts, HostReport{
			Name: st.Host.Name, DataCentre: st.Host.DataCentre, Admin: st.Host.Admin,
			Generation: st.Head.Generation, Ready: st.Ready, Stopping: st.Stopping,
		})
		s.asked[st.Host.Admin] = true
		found = append(append(found, st.Live...), st.Missing...)
	}
	return found
}

// Status asks one host for its status.
func (f *Fleet) Status(ctx context.Context, at netip.AddrPort) (HostStatus, error) {
	var s HostStatus
	b, err := f.do(ctx, http.MethodGet, at, "/status")
	if err != nil {
		return s, err
	}
	if err := json.Unmarshal(b, &s); err != nil {
		return s, merry.Wrap(ErrHost, merry.AppendMessagef("%s: %v", at, err))
	}
	return s, nil
}

// Stop begins the planned stop of one host.
func (f *Fleet) Stop(ctx context.Context, at netip.AddrPort) error {
	_, err := f.do(ctx, http.MethodPost, at, "/stop")
	return err
}

// Find returns the named host, or the one whose admin address is given.
func (f *Fleet) Find(ctx context.Context, name string) (cornelbay.Host, error) {
	_, answers := f.Survey(ctx, 0)
	for _, s := range answers {
		if string(s.Host.Name) == name || s.Host.Admin.String() == name {
			return s.Host, nil
		}
	}
	return cornelbay.Host{}, merry.Wrap(ErrHost, merry.AppendMessage(name))
}

func (f *Fleet) do(ctx context.Context, method string, at netip.AddrPort, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, hostTimeout)
	defer cancel()
	scheme := "http://"
	if f.TLS {
		scheme = "https://"
	}
	r, err := http.NewRequestWithContext(ctx, method, scheme+at.String()+path, nil)
	if err != nil {
		return nil, merry.Prepend(err, "host request")
	}
	hc := f.HTTP
	if hc == nil {
		hc = http.DefaultClient
	}
	res, err := hc.Do(r)
	if err != nil {
		return nil, merry.Wrap(ErrHost, merry.WithCause(err), merry.AppendMessage(at.String()))
	}
	defer res.Body.Close()
	b, err := io.ReadAll(io.LimitReader(res.Body, maxStatusBytes))
	if err != nil || res.StatusCode >= 300 {
		return nil, merry.Wrap(ErrHost, merry.AppendMessagef("%s: status %d", at, res.StatusCode))
	}
	return b, nil
}

// Wait surveys the hosts until the generation is in force at all of them or ctx
// ends; then the error is ErrNotEverywhere and names who lags.
func (f *Fleet) Wait(ctx context.Context, generation uint64) (*Report, error) {
	for {
		// A survey may take longer than ctx lasts: it is still the last word.
		r, _ := f.Survey(context.WithoutCancel(ctx), generation)
		if r.Everywhere {
			return r, nil
		}
		select {
		case <-ctx.Done():
			return r, merry.Wrap(ErrNotEverywhere, merry.AppendMessagef("generation %d lacks at %s", generation, joinNames(r.Lagging)))
		case <-time.After(waitInterval):
		}
	}
}

func joinNames(names []cornelbay.HostName) string {
	if len(names) == 0 {
		return "every host: none was found"
	}
	out := make([]string, len(names))
	for i := range names {
		out[i] = string(names[i])
	}
	return strings.Join(out, ", ")
}

// TargetReports joins the states that hosts tell with the document.
func TargetReports(doc *config.Document, answers []HostStatus) []TargetReport {
	told := make(map[cornelbay.TargetName][]cornelbay.TargetState)
	for _, a := range answers {
		for _, s := range a.Targets {
			told[s.Target] = append(told[s.Target], s)
		}
	}
	out := make(map[cornelbay.DataCentreName]bool)
	for _, dc := range doc.DataCentres {
		out[dc.Name] = dc.Out
	}
	reports := []TargetReport{}
	for _, s := range doc.Services {
		for _, t := range s.Targets {
			r := TargetReport{Service: s.Name, Target: t.Name, DataCentre: t.DataCentre, State: "unknown"}
			r.join(told[t.Name])
			switch {
			case out[t.DataCentre]:
				r.State = "out"
			case t.Drain:
				r.State = cornelbay.Draining.String()
			}
			reports = append(reports, r)
		}
	}
	return reports
}

// join takes the state that bears least of those that hosts tell.
func (r *TargetReport) join(states []cornelbay.TargetState) {
	for i, s := range states {
		if i == 0 || s.Permille < r.Permille {
			r.State, r.Permille = s.Phase.String(), s.Permille
		}
		r.Disagree = r.Disagree || s.Phase != states[0].Phase
	}
}
