package agree

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cornelbay/cornelbay"
)

const (
	// joinTimeout is the time after the start of a join at which a host stops
	// waiting, first for epochs and then for acknowledgements.
	joinTimeout = 10 * time.Second
	// emptyAnswerTTL is how long the answer of a host without epochs counts.
	emptyAnswerTTL = time.Second
	// aloneTimeout is the time after the start of a join at which a host starts
	// to decide packets without the epochs of another host: if it sees no other
	// live host, or if hosts are missing and no live host has epochs.
	aloneTimeout = 1500 * time.Millisecond
	// digestInterval is the time between two comparisons of epochs with other
	// hosts.
	digestInterval = time.Second
	// digestMinAge is the minimum age of each service's newest epoch before
	// epochs are compared.
	digestMinAge = 2 * time.Second
)

// join is the state of a starting host that first requests the epochs of the
// other hosts and then tells them that it serves.
type join struct {
	// deciding is true once this host decides packets that others relay to it,
	// and done once every live host relays to it or joinTimeout has passed.
	deciding, done bool
	began, asked   time.Time
	answered       map[cornelbay.HostName]joinAnswer
	acked          map[cornelbay.HostName]bool
}

type joinAnswer struct {
	EpochsAnswer
	at time.Time
}

// Ready reports whether this host may receive packets from the fabric: it knows
// the epochs, and the other hosts know that it decides packets, unless
// joinTimeout passed before.
func (c *Control) Ready() bool { return c.join.done }

// deciding reports whether this host knows the epochs and so decides packets.
func (c *Control) deciding() bool { return c.join.deciding }

// RestartJoin restarts a join that is in progress. It is called after a pause,
// when the answers of the other hosts may be out of date.
func (c *Control) RestartJoin() {
	if !c.join.done {
		c.join = join{}
	}
}

// tickJoin requests epochs from the live hosts until this host has them, then
// announces that it serves until all of them have acknowledged it.
func (c *Control) tickJoin(now time.Time) []cornelbay.Effect {
	j := &c.join
	if j.done {
		return nil
	}
	if j.began.IsZero() {
		j.began = now
		j.answered = make(map[cornelbay.HostName]joinAnswer)
		j.acked = make(map[cornelbay.HostName]bool)
	}
	if len(c.services) > 0 && !j.deciding && c.joined(now) {
		c.startDeciding(now)
		j.asked = time.Time{}
	}
	if j.deciding && (len(c.unacknowledgedHosts()) == 0 || now.Sub(j.began) >= joinTimeout) {
		j.done = true
		return nil
	}
	if now.Sub(j.asked) < retransmitInterval {
		return nil
	}
	j.asked = now
	if j.deciding {
		return sendAll(c.unacknowledgedHosts(), Serving{Sum: c.epochSum()})
	}
	return sendAll(c.hostsToAsk(), EpochsRequest{})
}

// hostsToAsk returns the live hosts that have not sent their epochs, or whose
// answer is based on another set of live hosts.
func (c *Control) hostsToAsk() []cornelbay.HostName {
	var out []cornelbay.HostName
	live := c.liveSum()
	for _, h := range c.members.Live {
		if a, ok := c.join.answered[h.Name]; h.Name != c.Self && (!ok || !a.Ready || a.Live != live) {
			out = append(out, h.Name)
		}
	}
	return out
}

// unacknowledgedHosts returns the live hosts that have not acknowledged that
// this host serves.
func (c *Control) unacknowledgedHosts() []cornelbay.HostName {
	var out []cornelbay.HostName
	for _, h := range c.members.Live {
		if h.Name != c.Self && !c.join.acked[h.Name] {
			out = append(out, h.Name)
		}
	}
	return out
}

// joined reports whether this host has all the epochs that it can get: each
// live host has answered and sees the same live hosts.
func (c *Control) joined(now time.Time) bool {
	j := &c.join
	waiting, ready, alone, live := 0, 0, true, c.liveSum()
	for _, h := range c.members.Live {
		if h.Name == c.Self {
			continue
		}
		alone = false
		a, ok := j.answered[h.Name]
		switch {
		case !ok || !a.Ready && now.Sub(a.at) > emptyAnswerTTL || a.Live != live:
			waiting++
		case a.Ready:
			ready++
		}
	}
	age := now.Sub(j.began)
	switch {
	case age >= joinTimeout:
		return true
	case alone:
		return age >= aloneTimeout
	}
	return waiting == 0 && (ready > 0 || len(c.members.Missing) == 0 || age >= aloneTimeout)
}

// startDeciding makes this host decide packets by the epochs that it has.
func (c *Control) startDeciding(now time.Time) {
	c.join.deciding, c.decidingSince = true, now
	c.missedFlows, c.dirty = true, true
	for _, s := range c.services {
		if len(s.epochs) == 0 {
			c.bootstrap(now, s)
		}
	}
	c.updateClosedTargets(now)
	c.publish(now)
}

// handleServing handles a host's announcement that it serves, or the
// acknowledgement of this host's own. It acknowledges an announcement if both
// hosts have the same epochs or this host does not decide packets yet, and
// sends its epochs otherwise.
func (c *Control) handleServing(from cornelbay.HostName, m Serving) []cornelbay.Effect {
	if m.Ack {
		c.join.acked[from] = true
		return nil
	}
	if c.deciding() && m.Sum != c.epochSum() {
		out, _ := c.sendEpochs(from)
		return out
	}
	c.setServing(from)
	return []cornelbay.Effect{cornelbay.Send{To: from, Message: Serving{Ack: true}}}
}

func (c *Control) setServing(h cornelbay.HostName) {
	if !c.serving[h] {
		c.serving[h], c.dirty = true, true
	}
}

// liveSum returns a hash of the names of the live hosts.
func (c *Control) liveSum() uint64 {
	var b []byte
	for _, h := range c.members.Live {
		b = append(append(b, h.Name...), 0)
	}
	return xxhash.Sum64(b)
}

// handleEpochsRequest answers a host that requests epochs.
func (c *Control) handleEpochsRequest(from cornelbay.HostName) []cornelbay.Effect {
	if !c.deciding() {
		return []cornelbay.Effect{cornelbay.Send{To: from, Message: EpochsAnswer{Live: c.liveSum()}}}
	}
	out, n := c.sendEpochs(from)
	return append(out, cornelbay.Send{To: from, Message: EpochsAnswer{Ready: true, Count: n, Live: c.liveSum()}})
}

func (c *Control) sendEpochs(to cornelbay.HostName) ([]cornelbay.Effect, int) {
	var out []cornelbay.Effect
	n := 0
	for _, name := range c.serviceNames() {
		s := c.services[name]
		for _, e := range s.epochs {
			n++
			for _, p := range c.proposal(s, e).split() {
				out = append(out, cornelbay.Send{To: to, Message: p})
			}
		}
	}
	return out, n
}

// handleJoinAnswer records an answer if this host has at least as many epochs as
// the answer counts.
func (c *Control) handleJoinAnswer(now time.Time, from cornelbay.HostName, m EpochsAnswer) {
	n := c.epochCount()
	if c.deciding() || c.join.answered == nil || n < m.Count {
		return
	}
	c.join.answered[from] = joinAnswer{m, now}
	if m.Ready {
		c.setServing(from)
	}
}

// digestState holds the timers of the epoch comparison between hosts.
type digestState struct {
	next     time.Time
	nextPeer int
	sentAt   map[cornelbay.HostName]time.Time
}

// epochSum returns a hash of the ID and the active flag of the newest epoch of
// each service. Earlier epochs do not count.
func (c *Control) epochSum() uint64 {
	var b []byte
	for _, name := range c.serviceNames() {
		b = append(b, name...)
		if e := c.services[name].newest(); e != nil {
			b = binary.BigEndian.AppendUint64(b, e.id.Term)
			b = binary.BigEndian.AppendUint64(b, e.id.Sequence)
			b = append(b, e.id.Proposer...)
			if e.active {
				b = append(b, 1)
			}
		}
	}
	return xxhash.Sum64(b)
}

func (c *Control) epochsSettled(now time.Time) bool {
	for _, s := range c.services {
		if e := s.newest(); e != nil && now.Sub(e.receivedAt) < digestMinAge {
			return false
		}
	}
	return true
}

// tickDigest sends the digest of the epochs to the other hosts in turn.
func (c *Control) tickDigest(now time.Time) []cornelbay.Effect {
	d := &c.digest
	if !c.Ready() || now.Before(d.next) || len(c.members.Live) < 2 || !c.epochsSettled(now) {
		return nil
	}
	d.next = now.Add(digestInterval)
	d.nextPeer++
	h := c.members.Live[d.nextPeer%len(c.members.Live)]
	if h.Name == c.Self {
		return nil
	}
	return []cornelbay.Effect{cornelbay.Send{To: h.Name, Message: Digest{Sum: c.epochSum()}}}
}

// handleDigest sends this host's epochs to a host whose epochs differ.
func (c *Control) handleDigest(now time.Time, from cornelbay.HostName, m Digest) []cornelbay.Effect {
	c.setServing(from)
	if !c.deciding() || m.Sum == c.epochSum() || !c.epochsSettled(now) {
		return nil
	}
	d := &c.digest
	if d.sentAt == nil {
		d.sentAt = make(map[cornelbay.HostName]time.Time)
	}
	if now.Sub(d.sentAt[from]) < digestInterval {
		return nil
	}
	d.sentAt[from] = now
	out, _ := c.sendEpochs(from)
	if m.Answer {
		return out
	}
	return append(out, cornelbay.Send{To: from, Message: Digest{Sum: c.epochSum(), Answer: true}})
}
