package measure

import (
	"context"
	"fmt"
	"net/netip"
	"runtime"
	"runtime/debug"
	"slices"
	"syscall"
	"time"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/config"
	"github.com/cornelbay/cornelbay/entry"
	"github.com/cornelbay/cornelbay/operator"
)

// CapacityPoint is what one size of a group costs each of its hosts.
type CapacityPoint struct {
	Series string `json:"series"`
	// X is the size that the series varies.
	X        int `json:"x"`
	Hosts    int `json:"hosts"`
	Targets  int `json:"targets"`
	Services int `json:"services"`
	// LiveShare is the share of the hosts that the hosts took as alive on average
	// at the end; below 1 the group had not settled.
	LiveShare float64 `json:"liveShare"`
	// ControlBytes and MaxControlBytes are bytes a second sent by a host on
	// average and by the busiest host, headers and net/rpc included.
	ControlBytes    float64 `json:"controlBytesPerHostSecond"`
	MaxControlBytes float64 `json:"maxControlBytesPerHostSecond"`
	Datagrams       float64 `json:"datagramsPerHostSecond"`
	// CPUSeconds is processor time of a host a second, the driver's own included.
	CPUSeconds float64 `json:"cpuSecondsPerHostSecond"`
	// HeapBytes is the heap of a host; for flows that of the flow table too.
	HeapBytes       float64 `json:"heapBytesPerHost"`
	PlatformReads   float64 `json:"platformReadsPerSecond"`
	PlatformWrites  float64 `json:"platformWritesPerSecond"`
	OversizeDropped int     `json:"oversizeDropped"`
}

// CapacityFit is the least-squares line through the points of a series.
type CapacityFit struct {
	Series    string  `json:"series"`
	Quantity  string  `json:"quantity"`
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"slope"`
	// Residual is the root of the mean squared distance to the line.
	Residual float64 `json:"residual"`
}

// CapacitySettings bound the experiment.
type CapacitySettings struct {
	Seed uint64
	// Hosts lists the sizes of the groups of the series "hosts"; empty runs all.
	Hosts []int
	// Series names the series to run; empty runs all.
	Series []string
	// Progress is told of each point; nil tells nobody.
	Progress func(p CapacityPoint)
}

// The times of one point, on the virtual clock.
const (
	capacitySettle = 30 * time.Second
	capacitySpan   = 10 * time.Second
	// largeGroup is the size from which a group gets more time to settle.
	largeGroup = 100
	// collectPercent is the growth of the heap between collections.
	collectPercent   = 400
	largeGroupSettle = time.Minute
)

// capacityCase is one point to run.
type capacityCase struct {
	series                      string
	x, hosts, services, targets int
	flows                       int
	changesPerMinute            int
}

// capacityHosts are the sizes of the groups of the series "hosts".
var capacityHosts = []int{6, 12, 25, 50, 100, 200, 400, 950}

func capacityCases(hosts []int) []capacityCase {
	if len(hosts) == 0 {
		hosts = capacityHosts
	}
	base := capacityCase{hosts: 6, services: 2, targets: 9}
	var out []capacityCase
	add := func(series string, xs []int, set func(c *capacityCase, x int)) {
		for _, x := range xs {
			c := base
			c.series, c.x = series, x
			set(&c, x)
			out = append(out, c)
		}
	}
	add("hosts", hosts, func(c *capacityCase, x int) { c.hosts = x })
	add("targets", []int{18, 50, 100, 200, 300}, func(c *capacityCase, x int) { c.services, c.targets = 1, x })
	add("services", []int{2, 10, 30, 100, 200}, func(c *capacityCase, x int) { c.services, c.targets = x, 4 })
	add("flows", []int{0, 50_000, 100_000, 200_000, 400_000}, func(c *capacityCase, x int) { c.hosts, c.flows = 1, x })
	add("changes", []int{0, 3, 6, 12, 30}, func(c *capacityCase, x int) { c.changesPerMinute = x })
	return out
}

// Capacity runs the points one after another and fits a line to each series.
func Capacity(s CapacitySettings) ([]CapacityPoint, []CapacityFit, error) {
	var points []CapacityPoint
	for _, c := range capacityCases(s.Hosts) {
		if len(s.Series) > 0 && !slices.Contains(s.Series, c.series) {
			continue
		}
		p, err := runCapacity(s.Seed, c)
		if err != nil {
			return nil, nil, fmt.Errorf("series %s at %d: %w", c.series, c.x, err)
		}
		points = append(points, p)
		if s.Progress != nil {
			s.Progress(p)
		}
	}
	return points, fitCapacity(points), nil
}

func runCapacity(seed uint64, c capacityCase) (CapacityPoint, error) {
	defer debug.SetGCPercent(debug.SetGCPercent(collectPercent))
	before := heapBytes()
	g := NewGroup(seed)
	doc := capacityDocument(c)
	if err := capacityApply(g, doc, 0); err != nil {
		return CapacityPoint{}, err
	}
	startCapacityHosts(g, c.hosts)
	settle := capacitySettle
	if c.hosts >= largeGroup {
		settle = largeGroupSettle
	}
	g.Run(settle)
	openFlows(g, doc, c.flows)
	var failed error
	if c.changesPerMinute > 0 {
		n := 0
		g.Every(time.Minute/time.Duration(c.changesPerMinute), func() bool {
			n++
			doc.Services[0].Targets[0].Weight = 1 + n%2
			failed = capacityApply(g, doc, n)
			return failed == nil
		})
	}
	p := measureCapacity(g, c)
	p.HeapBytes = float64(heapBytes()-before) / float64(c.hosts)
	p.LiveShare = liveShare(g)
	runtime.KeepAlive(g)
	return p, failed
}

func measureCapacity(g *Group, c capacityCase) CapacityPoint {
	sent := func(n *Node) int { return n.SentBytes + n.RPCBytes }
	start, datagrams := make(map[cornelbay.HostName]int), 0
	for name, n := range g.Nodes {
		start[name] = sent(n)
		datagrams -= n.SentDatagrams
	}
	reads, writes, cpu := g.Store.Reads, g.Store.Writes, processorTime()
	g.Run(capacitySpan)
	seconds := capacitySpan.Seconds()
	perHost := seconds * float64(c.hosts)
	p := CapacityPoint{
		Series: c.series, X: c.x, Hosts: c.hosts, Targets: c.services * c.targets, Services: c.services,
		CPUSeconds:     (processorTime() - cpu).Seconds() / perHost,
		PlatformReads:  float64(g.Store.Reads-reads) / seconds,
		PlatformWrites: float64(g.Store.Writes-writes) / seconds,
	}
	total := 0
	for name, n := range g.Nodes {
		bytes := sent(n) - start[name]
		total += bytes
		datagrams += n.SentDatagrams
		p.MaxControlBytes = max(p.MaxControlBytes, float64(bytes)/seconds)
		p.OversizeDropped += n.Oversize
	}
	p.ControlBytes, p.Datagrams = float64(total)/perHost, float64(datagrams)/perHost
	return p
}

func liveShare(g *Group) float64 {
	live := 0
	for _, n := range g.Nodes {
		live += len(n.Members(g.Now).Live)
	}
	return float64(live) / float64(len(g.Nodes)*len(g.Nodes))
}

// startCapacityHosts starts hosts that know some others, as the platform's list
// would tell them.
func startCapacityHosts(g *Group, n int) {
	const introduced = 8
	hosts := make([]cornelbay.Host, n)
	for i := range hosts {
		at := netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)})
		hosts[i] = cornelbay.Host{
			Name: cornelbay.HostName(fmt.Sprintf("host-%04d", i)), Incarnation: 1,
			DataCentre: capacityDataCentre(i),
			Fabric:     netip.AddrPortFrom(at, 6081), Datagram: netip.AddrPortFrom(at, 7000),
			RPC: netip.AddrPortFrom(at, 7001), HTTP: netip.AddrPortFrom(at, 80), Admin: netip.AddrPortFrom(at, 7002),
		}
	}
	for i, h := range hosts {
		var others []cornelbay.Host
		for k := range min(introduced, n-1) {
			others = append(others, hosts[(i+1+k*max(1, n/introduced))%n])
		}
		g.StartHost(entry.Settings{Self: h, InitialHosts: others, Seed: uint64(i)})
	}
}

func capacityDataCentre(i int) cornelbay.DataCentreName {
	return cornelbay.DataCentreName(fmt.Sprintf("dc-%d", i%4))
}

func capacityDocument(c capacityCase) *config.Document {
	doc := &config.Document{Deployment: "capacity"}
	for i := range 4 {
		doc.DataCentres = append(doc.DataCentres, cornelbay.DataCentre{Name: capacityDataCentre(i)})
	}
	count := 0
	for i := range c.services {
		s := cornelbay.Service{
			Name:    cornelbay.ServiceName(fmt.Sprintf("service-%03d", i)),
			Address: netip.AddrFrom4([4]byte{192, 0, byte(2 + i>>8), byte(i)}), Port: 443, Protocol: cornelbay.TCP,
		}
		for range c.targets {
			at := netip.AddrFrom4([4]byte{10, 2, byte(count >> 8), byte(count)})
			s.Targets = append(s.Targets, cornelbay.Target{
				Name:       cornelbay.TargetName(fmt.Sprintf("target-%05d", count)),
				DataCentre: capacityDataCentre(count),
				Tunnel:     netip.AddrPortFrom(at, 6081), HTTP: netip.AddrPortFrom(at, 80),
			})
			count++
		}
		doc.Services = append(doc.Services, s)
	}
	return doc
}

func capacityApply(g *Group, doc *config.Document, n int) error {
	change := operator.Change{ID: fmt.Sprintf("capacity-%d", n), Author: "capacity", Reason: "measurement"}
	_, err := operator.Apply(context.Background(), &g.Store, doc, change)
	return err
}

// openFlows lets every host see the opening packets of flows.
func openFlows(g *Group, doc *config.Document, flows int) {
	s := doc.Services[0]
	for _, n := range g.Nodes {
		for i := range flows {
			source := netip.AddrFrom4([4]byte{100, byte(64 + i>>16), byte(i >> 8), byte(i)})
			n.Plane.Decide(g.Now, &cornelbay.Packet{
				Key: cornelbay.FlowKey{
					Source: netip.AddrPortFrom(source, 40000), Destination: netip.AddrPortFrom(s.Address, s.Port), Protocol: 6,
				},
				Flags: cornelbay.Opening,
			})
		}
	}
}

func heapBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
