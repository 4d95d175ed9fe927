package operator

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"

	"github.com/cornelbay/cornelbay/config"
	"github.com/cornelbay/cornelbay/objectstore"
)

// schedule is a deterministic scheduler: it performs the calls of several clients one
// at a time, in an order that depends only on the seed, and injects faults.
type schedule struct {
	rand          *rand.Rand
	store         objectstore.Memory
	steps         int64
	waiting       map[int]*step
	delayedWrites []objectstore.Call
	arrived       chan *step
}

// step is a call of one client, or a wait when call is nil, or the client's end.
type step struct {
	client int
	call   *objectstore.Call
	ended  bool
	answer chan objectstore.Answer
}

// scheduled is the Store of one client.
type scheduled struct {
	s      *schedule
	client int
}

func (c scheduled) Do(_ context.Context, call objectstore.Call) objectstore.Answer {
	return c.wait(&call)
}

func (c scheduled) sleep(context.Context, time.Duration) error {
	c.wait(nil)
	return nil
}

func (c scheduled) wait(call *objectstore.Call) objectstore.Answer {
	st := &step{client: c.client, call: call, answer: make(chan objectstore.Answer)}
	c.s.arrived <- st
	return <-st.answer
}

// run schedules n clients until all have ended. Only one of them runs at a time.
func (s *schedule) run(n int) {
	for live := n; live > 0; {
		for len(s.waiting) < live {
			st := <-s.arrived
			if st.ended {
				live--
				continue
			}
			s.waiting[st.client] = st
		}
		if live == 0 {
			return
		}
		clients := make([]int, 0, live)
		for c := range s.waiting {
			clients = append(clients, c)
		}
		slices.Sort(clients)
		st := s.waiting[clients[s.rand.IntN(len(clients))]]
		delete(s.waiting, st.client)
		s.steps++
		s.applyDelayedWrite()
		var a objectstore.Answer
		if st.call != nil {
			a = s.do(*st.call)
		}
		st.answer <- a
	}
}

// applyDelayedWrite occasionally applies a write whose caller got ErrUnavailable
// earlier.
func (s *schedule) applyDelayedWrite() {
	if len(s.delayedWrites) > 0 && s.rand.IntN(3) == 0 {
		i := s.rand.IntN(len(s.delayedWrites))
		s.store.Do(context.Background(), s.delayedWrites[i])
		s.delayedWrites = slices.Delete(s.delayedWrites, i, i+1)
	}
}

func (s *schedule) do(c objectstore.Call) objectstore.Answer {
	write := c.Op == objectstore.Create || c.Op == objectstore.Update || c.Op == objectstore.Delete
	switch n := s.rand.IntN(20); {
	case n == 0:
		return objectstore.Answer{Call: c, Err: objectstore.ErrUnavailable}
	case n == 1:
		return objectstore.Answer{Call: c, Err: objectstore.ErrLimited}
	case n <= 4 && write: // the answer is lost
		s.store.Do(context.Background(), c)
		return objectstore.Answer{Call: c, Err: objectstore.ErrUnavailable}
	case n <= 6 && write: // the write takes effect later
		s.delayedWrites = append(s.delayedWrites, c)
		return objectstore.Answer{Call: c, Err: objectstore.ErrUnavailable}
	}
	return s.store.Do(context.Background(), c)
}

// headInput is an Apply of a change, or a read of the head when id is empty.
type headInput struct{ id string }

// headOutput is the head that a read returned, that a conflict reported, or that an
// Apply committed.
type headOutput struct {
	generation uint64
	change     string
	conflict   bool
}

// headModel is the sequential specification. Its state is the list of committed changes,
// joined by commas.
var headModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		var log []string
		if s := state.(string); s != "" {
			log = strings.Split(s, ",")
		}
		in, out := input.(headInput), output.(headOutput)
		at := slices.Index(log, in.id)
		if in.id == "" || out.conflict {
			now := out.generation == uint64(len(log)) && (len(log) == 0 || log[len(log)-1] == out.change)
			return now && (in.id == "" || at < 0), state
		}
		if at >= 0 {
			return out.generation == uint64(at+1), state
		}
		return out.generation == uint64(len(log)+1), strings.Join(append(log, in.id), ",")
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprint(input, " -> ", output) },
}

// runClient performs some operations of one client and records them.
func runClient(t *testing.T, s *schedule, client int, doc *config.Document, add func(porcupine.Operation)) {
	svc := scheduled{s, client}
	svc.wait(nil)
	c := &Client{Service: svc, Sleep: svc.sleep, Attempts: 3}
	ctx := context.Background()
	for i := range 6 {
		op := porcupine.Operation{ClientId: client, Input: headInput{}, Call: s.steps}
		var h config.Head
		var err error
		var conflict *ConflictError
		if i%3 == 2 {
			for h, err = c.Head(ctx); err != nil && !errors.Is(err, ErrNoConfig); {
				op.Call = s.steps // a failed read has no effect, so the operation starts anew
				h, err = c.Head(ctx)
			}
		} else {
			id := fmt.Sprintf("change-%d-%d", client, i)
			op.Input = headInput{id}
			h, err = c.Apply(ctx, latency(doc, 1+10*client+i), Change{ID: id})
			for err != nil && !errors.As(err, &conflict) {
				h, err = c.Apply(ctx, latency(doc, 1+10*client+i), Change{ID: id})
			}
			if conflict != nil {
				h = conflict.Committed
			}
		}
		op.Output = headOutput{h.Generation, h.Change, conflict != nil}
		op.Return = s.steps
		add(op)
	}
	s.arrived <- &step{client: client, ended: true}
}

func TestApplyAndReadsAreLinearizable(t *testing.T) {
	const clients = 4
	doc := agence(t)
	for seed := range uint64(40) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			is := is.New(t)
			s := &schedule{rand: rand.New(rand.NewPCG(seed, 1)), waiting: make(map[int]*step), arrived: make(chan *step)}
			var mu sync.Mutex
			var ops []porcupine.Operation
			for client := range clients {
				go runClient(t, s, client, doc, func(op porcupine.Operation) {
					mu.Lock()
					defer mu.Unlock()
					ops = append(ops, op)
				})
			}
			s.run(clients)
			committed := 0
			for _, op := range ops {
				if op.Input.(headInput).id != "" && !op.Output.(headOutput).conflict {
					committed++
				}
			}
			is.Equal(len(ops), clients*6)
			is.True(committed > 0)
			is.True(porcupine.CheckOperations(headModel, ops))
			h, err := (&Client{Service: &s.store}).Head(t.Context())
			is.NoErr(err)
			is.Equal(h.Generation, uint64(committed)) // no change is lost or committed twice
		})
	}
}

// TestModelRejectsLostChangeAndStaleRead checks that the model rejects a history with a
// lost change and one with a stale read.
func TestModelRejectsLostChangeAndStaleRead(t *testing.T) {
	is := is.New(t)
	op := func(call, ret int64, id string, out headOutput) porcupine.Operation {
		return porcupine.Operation{Input: headInput{id}, Call: call, Return: ret, Output: out}
	}
	lost := []porcupine.Operation{
		op(1, 2, "a", headOutput{generation: 1}), op(3, 4, "b", headOutput{generation: 1}),
	}
	is.True(!porcupine.CheckOperations(headModel, lost))
	old := []porcupine.Operation{
		op(1, 2, "a", headOutput{generation: 1}), op(3, 4, "", headOutput{}),
	}
	is.True(!porcupine.CheckOperations(headModel, old))
}
