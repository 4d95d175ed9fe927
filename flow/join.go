package flow

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cornelbay/cornelbay"
)

const (
	// joinTimeout is how long a host waits for every live host's epochs before
	// it takes those that came.
	joinTimeout = 1500 * time.Millisecond
	// joinFresh is how long the answer of a host without epochs counts.
	joinFresh = time.Second
	// startTimeout is when a host that heard of no epochs starts with its own.
	startTimeout = 3 * time.Second
	// digestInterval is the time between two comparisons of epochs.
	digestInterval = time.Second
	// digestQuiet is the age that the newest epoch must have to be compared.
	digestQuiet = 2 * time.Second
)

// join is the state of a host that asks the others for their epochs.
type join struct {
	done     bool
	began    time.Time
	asked    time.Time
	answered map[cornelbay.HostName]joinAnswer
}

type joinAnswer struct {
	EpochsAnswer
	at time.Time
}

// Ready reports whether the host knows the epochs and may decide packets.
func (c *Control) Ready() bool { return c.join.done }

// tickJoin asks live hosts for their epochs until the host has them.
func (c *Control) tickJoin(now time.Time) []cornelbay.Effect {
	j := &c.join
	if j.done {
		return nil
	}
	if j.began.IsZero() {
		j.began = now
		j.answered = make(map[cornelbay.HostName]joinAnswer)
	}
	if len(c.services) > 0 && c.joined(now) {
		c.ready(now)
		return nil
	}
	if now.Sub(j.asked) < retransmitInterval {
		return nil
	}
	j.asked = now
	var out []cornelbay.Effect
	for _, h := range c.members.Live {
		if a, ok := j.answered[h.Name]; h.Name != c.Self && (!ok || !a.Ready) {
			out = append(out, cornelbay.Send{To: h.Name, Message: Epochs{}})
		}
	}
	return out
}

func (c *Control) joined(now time.Time) bool {
	j := &c.join
	waiting, ready := 0, 0
	for _, h := range c.members.Live {
		a, ok := j.answered[h.Name]
		switch {
		case h.Name == c.Self:
		case !ok || !a.Ready && now.Sub(a.at) > joinFresh:
			waiting++
		case a.Ready:
			ready++
		}
	}
	age := now.Sub(j.began)
	switch {
	case age >= startTimeout:
		return true
	case waiting > 0:
		return ready > 0 && age >= joinTimeout
	case ready > 0 || len(c.members.Missing) == 0 && len(j.answered) > 0:
		return true
	}
	return age >= joinTimeout
}

func (c *Control) ready(now time.Time) {
	c.join.done = true
	c.history = true
	c.dirty = true
	for _, s := range c.services {
		if len(s.epochs) == 0 {
			c.bootstrap(now, s)
		}
	}
	c.closeTargets(now)
	c.publish(now)
}

// joining answers a host that asks for epochs.
func (c *Control) joining(from cornelbay.HostName) []cornelbay.Effect {
	if !c.Ready() {
		return []cornelbay.Effect{cornelbay.Send{To: from, Message: EpochsAnswer{}}}
	}
	out, n := c.sendEpochs(from)
	return append(out, cornelbay.Send{To: from, Message: EpochsAnswer{Ready: true, Count: n}})
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
	n := 0
	for _, s := range c.services {
		n += len(s.epochs)
	}
	if !c.Ready() && c.join.answered != nil && n >= m.Count {
		c.join.answered[from] = joinAnswer{m, now}
	}
}

// digestState is what the comparison of epochs between hosts keeps.
type digestState struct {
	next   time.Time
	turn   int
	sentAt map[cornelbay.HostName]time.Time
}

func (c *Control) epochSum() uint64 {
	var b []byte
	for _, name := range c.serviceNames() {
		b = append(b, name...)
		for _, e := range c.services[name].epochs {
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
	if now.Before(d.next) || len(c.members.Live) < 2 || !c.quiet(now) {
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
	if !c.Ready() || m.Sum == c.epochSum() || !c.quiet(now) {
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
