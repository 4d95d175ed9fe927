package measure

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/config"
	"github.com/cornelbay/cornelbay/entry"
	"github.com/cornelbay/cornelbay/objectstore"
	"github.com/cornelbay/cornelbay/operator"
)

// The policies by which hosts learn of a change.
const (
	PolicyWatch = "watch"
	PolicyPoll  = "poll"
)

// The times of the experiment.
const (
	configPoll    = 2 * time.Second
	configWarmUp  = 5 * time.Second
	configSettle  = 10 * time.Second
	configSample  = 10 * time.Millisecond
	configHistory = 1000
)

// ConfigSettings are the inputs of the experiment on changes of configuration.
type ConfigSettings struct {
	Document *config.Document
	// Hosts is the number of hosts; they are dealt out to the data centres in turn.
	Hosts int
	Seed  uint64
}

// ConfigResult is how changes came into force in one scenario. Times are those
// from the commit to a host that can hear the platform or a peer that does; for
// a host that could not, they run from the moment it could.
type ConfigResult struct {
	Scenario                  string  `json:"scenario"`
	Policy                    string  `json:"policy"`
	Changes                   int     `json:"changes"`
	P50Seconds                float64 `json:"p50Seconds"`
	P99Seconds                float64 `json:"p99Seconds"`
	MaxSeconds                float64 `json:"maxSeconds"`
	Reverted                  int     `json:"reverted"`
	LostChanges               int     `json:"lostChanges"`
	DoubledChanges            int     `json:"doubledChanges"`
	PlatformReadsPerSecond    float64 `json:"platformReadsPerSecond"`
	PlatformWritesPerSecond   float64 `json:"platformWritesPerSecond"`
	ControlBytesPerHostSecond float64 `json:"controlBytesPerHostSecond"`
}

// ConfigExperiment runs every scenario under both policies.
func ConfigExperiment(s ConfigSettings) ([]ConfigResult, error) {
	var out []ConfigResult
	for _, sc := range configScenarios {
		for _, policy := range []string{PolicyWatch, PolicyPoll} {
			r, err := runConfig(s, sc, policy)
			if err != nil {
				return nil, fmt.Errorf("scenario %s, policy %s: %w", sc.name, policy, err)
			}
			out = append(out, r)
		}
	}
	return out, nil
}

// WriteConfigTable writes the results as a table.
func WriteConfigTable(w io.Writer, results []ConfigResult) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "scenario\tpolicy\tchanges\tp50 s\tp99 s\tmax s\treverted\tlost\tdoubled\treads/s\twrites/s\tcontrol B/s a host\t")
	for _, r := range results {
		fmt.Fprintf(t, "%s\t%s\t%d\t%.3f\t%.3f\t%.3f\t%d\t%d\t%d\t%.1f\t%.1f\t%.0f\t\n",
			r.Scenario, r.Policy, r.Changes, r.P50Seconds, r.P99Seconds, r.MaxSeconds,
			r.Reverted, r.LostChanges, r.DoubledChanges,
			r.PlatformReadsPerSecond, r.PlatformWritesPerSecond, r.ControlBytesPerHostSecond)
	}
	return t.Flush()
}

// configRun is one scenario under one policy while it runs.
type configRun struct {
	*Group
	settings ConfigSettings
	poll     time.Duration
	hosts    []cornelbay.Host
	operator operator.Client
	// deaf reports whether a host can hear neither the platform nor a peer that
	// does; nil: none.
	deaf func(cornelbay.HostName) bool

	// committed holds the time of each generation's commit.
	committed map[uint64]time.Time
	// able is since when a host can learn, and highest what it had in force.
	able     map[cornelbay.HostName]time.Time
	highest  map[cornelbay.HostName]uint64
	accepted map[string]bool
	times    []time.Duration
	changes  int
	reverted int
	// gone counts the bytes of hosts that were replaced.
	gone int
}

func runConfig(s ConfigSettings, sc configScenario, policy string) (ConfigResult, error) {
	c := &configRun{
		Group: NewGroup(s.Seed), settings: s, accepted: make(map[string]bool),
		committed: make(map[uint64]time.Time), able: make(map[cornelbay.HostName]time.Time),
		highest: make(map[cornelbay.HostName]uint64),
	}
	if policy == PolicyPoll {
		c.poll = configPoll
	}
	c.operator = operator.Client{Service: commitClock{c}, Rand: c.Rand, Sleep: c.sleep, Now: func() time.Time { return c.Now }}
	for i := range s.Hosts {
		c.startHost(fmt.Sprintf("host-%03d", i), i, 1)
	}
	if err := c.apply("first", func(*config.Document) error { return nil }); err != nil {
		return ConfigResult{}, err
	}
	c.Run(configWarmUp)
	c.watchHosts()
	c.times, c.changes = nil, 0
	start, reads, writes := c.Now, c.Store.Reads, c.Store.Writes
	bytes := c.bytes()
	if err := sc.run(c); err != nil {
		return ConfigResult{}, err
	}
	c.Run(configSettle)
	span := c.Now.Sub(start).Seconds()
	r := ConfigResult{
		Scenario: sc.name, Policy: policy, Changes: c.changes,
		PlatformReadsPerSecond:    float64(c.Store.Reads-reads) / span,
		PlatformWritesPerSecond:   float64(c.Store.Writes-writes) / span,
		ControlBytesPerHostSecond: float64(c.bytes()-bytes) / span / float64(s.Hosts),
	}
	c.Store.LoseAnswer, c.Store.Latency = nil, 0
	return r, c.judge(&r)
}

// startHost starts a host in the data centre of its turn.
func (c *configRun) startHost(name string, turn int, incarnation cornelbay.Incarnation) {
	dcs := c.settings.Document.DataCentres
	h := cornelbay.Host{
		Name: cornelbay.HostName(name), DataCentre: dcs[turn%len(dcs)].Name, Incarnation: incarnation,
		Datagram: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(incarnation), byte(turn >> 8), byte(turn)}), 7000),
	}
	c.StartHost(entry.Settings{Self: h, InitialHosts: slices.Clone(c.hosts), PollInterval: c.poll, Seed: c.settings.Seed})
	c.hosts = append(c.hosts, h)
	c.able[h.Name] = c.Now
	delete(c.highest, h.Name)
}

func (c *configRun) sleep(_ context.Context, d time.Duration) error {
	c.Run(d)
	return nil
}

func (c *configRun) bytes() int {
	n := c.gone
	for _, node := range c.Nodes {
		n += node.SentBytes + node.RPCBytes
	}
	return n
}

// apply commits a change of the document and notes when it was committed.
func (c *configRun) apply(id string, edit func(*config.Document) error) error {
	var err error
	change := operator.Change{ID: id, Author: "measure"}
	if id == "first" {
		_, err = c.operator.Apply(context.Background(), c.settings.Document, change)
	} else {
		_, err = c.operator.Edit(context.Background(), change, edit)
	}
	if err != nil {
		return err
	}
	c.accepted[id] = true
	c.changes++
	return nil
}

// commitClock notes when each generation was committed, which an operator whose
// answer was lost learns later.
type commitClock struct{ run *configRun }

// Do does the call.
func (s commitClock) Do(ctx context.Context, c objectstore.Call) objectstore.Answer {
	a := s.run.Store.Do(ctx, c)
	if c.Key != config.HeadKey {
		return a
	}
	o := s.run.Store.Memory.Do(ctx, objectstore.Call{Op: objectstore.Get, Key: config.HeadKey}).Object
	h, err := config.ParseHead(o.Value)
	if _, ok := s.run.committed[h.Generation]; err == nil && !ok {
		s.run.committed[h.Generation] = s.run.Now
	}
	return a
}

// change commits one change that no other one undoes.
func (c *configRun) change() error {
	n := c.changes
	return c.apply(fmt.Sprint("change-", n), func(doc *config.Document) error {
		doc.Services[n%len(doc.Services)].Targets[0].MaxFlows = 3000 + n
		return nil
	})
}

// changesEvery commits n changes at an interval.
func (c *configRun) changesEvery(n int, interval time.Duration) error {
	for range n {
		if err := c.change(); err != nil {
			return err
		}
		c.Run(interval)
	}
	return nil
}

// watchHosts samples what each host has in force.
func (c *configRun) watchHosts() {
	for name, n := range c.Nodes {
		c.highest[name] = n.Head().Generation
	}
	c.Every(configSample, func() bool {
		for _, name := range c.Names() {
			c.sample(c.Nodes[name])
		}
		return true
	})
}

func (c *configRun) sample(n *Node) {
	name := n.Self.Name
	if n.Dead {
		return
	}
	if c.deaf != nil && c.deaf(name) {
		c.able[name] = c.Now
	}
	now, last := n.Head().Generation, c.highest[name]
	if now < last {
		c.reverted++
	}
	for g := last + 1; g <= now; g++ {
		if at, ok := c.committed[g]; ok {
			// A host that was late may learn of several generations at once.
			c.times = append(c.times, max(c.Now.Sub(later(at, c.able[name])), 0))
		}
	}
	c.highest[name] = max(now, last)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// judge compares what was accepted with what is committed and in force.
func (c *configRun) judge(r *ConfigResult) error {
	heads, err := c.operator.History(context.Background())
	if err != nil {
		return err
	}
	seen := make(map[string]int)
	for _, h := range heads {
		seen[h.Change]++
	}
	for id := range c.accepted {
		if seen[id] == 0 {
			r.LostChanges++
		}
	}
	for _, n := range seen {
		r.DoubledChanges += n - 1
	}
	last := heads[len(heads)-1]
	_, doc, err := c.operator.Load(context.Background())
	if err != nil {
		return err
	}
	for _, name := range c.Names() {
		n := c.Nodes[name]
		if n.Dead {
			continue
		}
		if n.Head().Generation != last.Generation {
			c.times = append(c.times, c.Now.Sub(later(c.committed[last.Generation], c.able[name])))
		} else if n.Document() == nil || len(config.Diff(doc, n.Document())) > 0 {
			c.reverted++
		}
	}
	r.Reverted = c.reverted
	slices.Sort(c.times)
	if len(c.times) == 0 {
		return errors.New("no change reached a host")
	}
	r.P50Seconds = c.times[len(c.times)/2].Seconds()
	r.P99Seconds = c.times[len(c.times)*99/100].Seconds()
	r.MaxSeconds = c.times[len(c.times)-1].Seconds()
	return nil
}
