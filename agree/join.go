package agree

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cornelbay/cornelbay"
)

const (
	// joinLimit is when a host serves by what it has, whatever it waits for.
	joinLimit = 10 * time.Second
	// joinFresh is how long the answer of a host without epochs counts.
	joinFresh = time.Second
	// startTimeout is when a host that hears no other one starts by itself.
	startTimeout = 1500 * time.Millisecond
	// digestInterval is the time between two comparisons of epochs.
	digestInterval = time.Second
	// digestQuiet is the age that the newest epoch must have to be compared.
	digestQuiet = 2 * time.Second
)

// join is the state of a host that asks the others for their epochs, and then
// tells them that it serves.
type join struct {
	// announcing is true once the host decides packets that others relay, and
	// done once every live host relays to it.
	announcing, done bool
	began, asked     time.Time
	answered         map[cornelbay.HostName]joinAnswer
	acked            map[cornelbay.HostName]bool
}

type joinAnswer struct {
	EpochsAnswer
	at time.Time
}

// Ready reports whether the host may get packets from the fabric: it knows the
// epochs, and the other hosts know that it serves.
func (c *Control) Ready() bool { return c.join.done }

// deciding reports whether the host knows the epochs.
func (c *Control) deciding() bool { return c.join.announcing }

// RestartJoin starts a join again that is under way: after a pause, what the others
// had answered may have changed.
func (c *Control) RestartJoin() {
	if !c.join.done {
		c.join = join{}
	}
}

// tickJoin asks live hosts for their epochs until the host has them, and tells
// them that it serves until they know.
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
	if len(c.services) > 0 && !j.announcing && c.joined(now) {
		c.decide(now)
		j.asked = time.Time{}
	}
	if j.announcing && (len(c.unannounced()) == 0 || now.Sub(j.began) >= joinLimit) {
		j.done = true
		return nil
	}
	if now.Sub(j.asked) < retransmitInterval {
		return nil
	}
	j.asked = now
	if j.announcing {
		return sendAll(c.unannounced(), Serving{Sum: c.epochSum()})
	}
	return sendAll(c.unasked(), Epochs{})
}

// unasked returns the live hosts whose epochs have not come.
func (c *Control) unasked() []cornelbay.HostName {
	var out []cornelbay.HostName
	live := c.liveSum()
	for _, h := range c.members.Live {
		if a, ok := c.join.answered[h.Name]; h.Name != c.Self && (!ok || !a.Ready || a.Live != live) {
			out = append(out, h.Name)
		}
	}
	return out
}

// unannounced returns the live hosts that do not know that this one serves.
func (c *Control) unannounced() []cornelbay.HostName {
	var out []cornelbay.HostName
	for _, h := range c.members.Live {
		if h.Name != c.Self && !c.join.acked[h.Name] {
			out = append(out, h.Name)
		}
	}
	return out
}

// joined reports whether the host has all epochs that it can get: each live host
// has answered and knows the same live hosts.
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
		case !ok || !a.Ready && now.Sub(a.at) > joinFresh || a.Live != live:
			waiting++
		case a.Ready:
			ready++
		}
	}
	age := now.Sub(j.began)
	switch {
	case age >= joinLimit:
		return true
	case alone:
		return age >= startTimeout
	}
	return waiting == 0 && (ready > 0 || len(c.members.Missing) == 0 || age >= startTimeout)
}

// decide makes the host decide packets by the epochs that it has.
func (c *Control) decide(now time.Time) {
	c.join.announcing, c.servedSince = true, now
	c.history, c.dirty = true, true
	for _, s := range c.services {
		if len(s.epochs) == 0 {
			c.bootstrap(now, s)
		}
	}
	c.closeTargets(now)
	c.publish(now)
}

// announced takes the word of a host that it serves, and acknowledges it when
// the host has the same epochs.
func (c *Control) announced(from cornelbay.HostName, m Serving) []cornelbay.Effect {
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

// liveSum is a hash of the names of the live hosts.
func (c *Control) liveSum() uint64 {
	var b []byte
	for _, h := range c.members.Live {
		b = append(append(b, h.Name...), 0)
	}
	return xxhash.Sum64(b)
}

// joining answers a host that asks for epochs.
func (c *Control) joining(from cornelbay.HostName) []cornelbay.Effect {
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

// joinAnswered notes an answer once all the epochs that it announces are there.
func (c *Control) joinAnswered(now time.Time, from cornelbay.HostName, m EpochsAnswer) {
	n := c.epochCount()
	if c.deciding() || c.join.answered == nil || n < m.Count {
		return
	}
	c.join.answered[from] = joinAnswer{m, now}
	if m.Ready {
		c.setServing(from)
	}
}

// digestState is what the comparison of epochs between hosts keeps.
type digestState struct {
	next   time.Time
	turn   int
	sentAt map[cornelbay.HostName]time.Time
}

// epochSum is a hash of the newest epochs of the services.
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

func (c *Control) quiet(now time.Time) bool {
	for _, s := range c.services {
		if e := s.newest(); e != nil && now.Sub(e.heard) < digestQuiet {
			return false
		}
	}
	return true
}

// tickDigest compares epochs with one other host in turn.
func (c *Control) tickDigest(now time.Time) []cornelbay.Effect {
	d := &c.digest
	if !c.Ready() || now.Before(d.next) || len(c.members.Live) < 2 || !c.quiet(now) {
		return nil
	}
	d.next = now.Add(digestInterval)
	d.turn++
	h := c.members.Live[d.turn%len(c.members.Live)]
	if h.Name == c.Self {
		return nil
	}
	return []cornelbay.Effect{cornelbay.Send{To: h.Name, Message: Digest{Sum: c.epochSum()}}}
}

// compareDigest sends the own epochs to a host whose epochs differ.
func (c *Control) compareDigest(now time.Time, from cornelbay.HostName, m Digest) []cornelbay.Effect {
	c.setServing(from)
	if !c.deciding() || m.Sum == c.epochSum() || !c.quiet(now) {
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
