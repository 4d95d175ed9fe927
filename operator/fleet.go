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

// Timing of requests to hosts.
const (
	// hostTimeout is the timeout of one request to a host.
	hostTimeout = 2 * time.Second
	// waitInterval is the time between two surveys of Wait.
	waitInterval = 200 * time.Millisecond
)

// maxStatusBytes is the maximum size of a host's status response.
const maxStatusBytes = 64 << 20

// surveyWorkers is the number of hosts that are queried concurrently.
const surveyWorkers = 64

// HostStatus is a host's response to GET /status on its admin address.
type HostStatus struct {
	Host     cornelbay.Host          `json:"host"`
	Head     config.Head             `json:"head"`
	Ready    bool                    `json:"ready"`
	Stopping bool                    `json:"stopping"`
	Live     []cornelbay.Host        `json:"live"`
	Missing  []cornelbay.Host        `json:"missing"`
	Targets  []cornelbay.TargetState `json:"targets"`
}

// ErrNotEverywhere is returned when a generation is not in force at every host.
var ErrNotEverywhere = merry.New("the generation is not in force everywhere")

// ErrHost is returned for a host that is unknown, does not answer, or answers with an
// error status or with invalid JSON.
var ErrHost = merry.New("host does not answer")

// Fleet queries and stops hosts through their admin addresses.
type Fleet struct {
	// Hosts are the admin addresses to start from; further hosts are discovered from
	// the member lists in their status.
	Hosts []netip.AddrPort
	// HTTP is the client for requests; nil means http.DefaultClient.
	HTTP *http.Client
	// TLS selects HTTPS for the admin addresses.
	TLS bool
}

// HostReport is the result of querying one host.
type HostReport struct {
	Name       cornelbay.HostName       `json:"name"`
	DataCentre cornelbay.DataCentreName `json:"dataCentre"`
	Admin      netip.AddrPort           `json:"admin"`
	Generation uint64                   `json:"generation"`
	Ready      bool                     `json:"ready"`
	Stopping   bool                     `json:"stopping"`
	// Error is why the host's status could not be read.
	Error string `json:"error,omitempty"`
}

// TargetReport is the state of a target as reported by the hosts.
type TargetReport struct {
	Service    cornelbay.ServiceName    `json:"service"`
	Target     cornelbay.TargetName     `json:"target"`
	DataCentre cornelbay.DataCentreName `json:"dataCentre"`
	// State is the phase (cold, warming, warm, draining or gone), or out or unknown. out
	// takes precedence over draining, and the document's drain over the reported phase.
	State string `json:"state"`
	// Permille is the lowest share of its full weight that any host gives the target.
	Permille uint16 `json:"permille"`
	// Disagree is true when hosts report different states.
	Disagree bool `json:"disagree,omitempty"`
}

// Report describes which configuration is in force at which hosts. Survey leaves
// Committed and Targets to be filled in by the caller.
type Report struct {
	// Committed is the head in the platform's object store; its Generation is 0 when it
	// could not be read.
	Committed config.Head    `json:"committed"`
	Hosts     []HostReport   `json:"hosts"`
	Targets   []TargetReport `json:"targets"`
	// Everywhere is true when at least one host is known and all known hosts have in force
	// the generation that Survey compared with.
	Everywhere bool `json:"everywhere"`
	// Lagging names the hosts that have a lower generation in force or do not answer.
	Lagging []cornelbay.HostName `json:"lagging"`
}

// Survey queries the status of all hosts that can be discovered and compares the
// generations in force with the given one, or with a higher one if a host has it. 0
// compares with the highest one that a host has.
func (f *Fleet) Survey(ctx context.Context, generation uint64) (*Report, []HostStatus) {
	s := survey{fleet: f, queried: make(map[netip.AddrPort]bool)}
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
	return r, s.statuses
}

// survey collects the statuses of hosts. queried holds the admin addresses queried so
// far.
type survey struct {
	fleet    *Fleet
	queried  map[netip.AddrPort]bool
	hosts    []HostReport
	statuses []HostStatus
}

// round queries those of the hosts that were not queried yet, and returns the hosts in
// their member lists.
func (s *survey) round(ctx context.Context, hosts []cornelbay.Host) []cornelbay.Host {
	var ask []cornelbay.Host
	for _, h := range hosts {
		if !s.queried[h.Admin] {
			s.queried[h.Admin] = true
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
		s.statuses = append(s.statuses, st)
		s.hosts = append(s.hosts, HostReport{
			Name: st.Host.Name, DataCentre: st.Host.DataCentre, Admin: st.Host.Admin,
			Generation: st.Head.Generation, Ready: st.Ready, Stopping: st.Stopping,
		})
		s.queried[st.Host.Admin] = true
		found = append(append(found, st.Live...), st.Missing...)
	}
	return found
}

// Status returns the status of one host.
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

// Stop starts the planned stop of one host.
func (f *Fleet) Stop(ctx context.Context, at netip.AddrPort) error {
	_, err := f.do(ctx, http.MethodPost, at, "/stop")
	return err
}

// Find returns the host with the given name or admin address.
func (f *Fleet) Find(ctx context.Context, name string) (cornelbay.Host, error) {
	_, statuses := f.Survey(ctx, 0)
	for _, s := range statuses {
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

// Wait surveys the hosts until the generation is in force at all of them or ctx ends.
// In the latter case it returns ErrNotEverywhere with the names of the lagging hosts.
func (f *Fleet) Wait(ctx context.Context, generation uint64) (*Report, error) {
	for {
		// A survey that is running when ctx ends is completed, and its result counts.
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

// TargetReports combines the target states reported by hosts with the document.
func TargetReports(doc *config.Document, statuses []HostStatus) []TargetReport {
	reported := make(map[cornelbay.TargetName][]cornelbay.TargetState)
	for _, a := range statuses {
		for _, s := range a.Targets {
			reported[s.Target] = append(reported[s.Target], s)
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
			r.join(reported[t.Name])
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

// join sets the state with the lowest share of the weight among those reported.
func (r *TargetReport) join(states []cornelbay.TargetState) {
	for i, s := range states {
		if i == 0 || s.Permille < r.Permille {
			r.State, r.Permille = s.Phase.String(), s.Permille
		}
		r.Disagree = r.Disagree || s.Phase != states[0].Phase
	}
}
