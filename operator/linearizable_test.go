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

// schedule runs the calls of several clients one at a time, in an order that a
// seed decides, under faults.
type schedule struct {
	rand    *rand.Rand
	store   objectstore.Memory
	step    int64
	waiting map[int]*step
	flying  []objectstore.Call
	arrived chan *step
}

// step is a call, or a wait when op is nil, of one client.
type step struct {
	client int
	call   *objectstore.Call
	ended  bool
	answer chan objectstore.Answer
}

// scheduled is the service as one client sees it.
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

// run serves n clients until they have ended; only one of them runs at a time.
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
		s.step++
		s.land()
		var a objectstore.Answer
		if st.call != nil {
			a = s.do(*st.call)
		}
		st.answer <- a
	}
}

// land lets a write take effect whose caller was told that the service is down.
func (s *schedule) land() {
	if len(s.flying) > 0 && s.rand.IntN(3) == 0 {
		i := s.rand.IntN(len(s.flying))
		s.store.Do(context.Background(), s.flying[i])
		s.flying = slices.Delete(s.flying, i, i+1)
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
		s.flying = append(s.flying, c)
		return objectstore.Answer{Call: c, Err: objectstore.ErrUnavailable}
	}
	return s.store.Do(context.Background(), c)
}

// headInput is an apply of a change, or a read when id is empty.
type headInput struct{ id string }

// headOutput is the head that a read or a conflict met, or that an apply made.
type headOutput struct {
	generation uint64
	change     string
	conflict   bool
}

// headModel is the sequence of changes that were committed, joined by commas.
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

// operate does some operations of one client and notes them.
func operate(t *testing.T, s *schedule, client int, doc *config.Document, add func(porcupine.Operation)) {
	svc := scheduled{s, client}
	svc.wait(nil)
	c := &Client{Service: svc, Sleep: svc.sleep, Attempts: 3}
	ctx := context.Background()
	for i := range 6 {
		op := porcupine.Operation{ClientId: client, Input: headInput{}, Call: s.step}
		var h config.Head
		var err error
		var conflict *ConflictError
		if i%3 == 2 {
			for h, err = c.Head(ctx); err != nil && !errors.Is(err, ErrNoConfig); {
				op.Call = s.step // a read that failed has no effect
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
				h = conflict.Winner
			}
		}
		op.Output = headOutput{h.Generation, h.Change, conflict != nil}
		op.Return = s.step
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
				go operate(t, s, client, doc, func(op porcupine.Operation) {
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
			is.Equal(h.Generation, uint64(committed)) // none is lost and none is doubled
		})
	}
}

// TestModelRefusesLostChange shows that the check can fail.
func TestModelRefusesLostChange(t *testing.T) {
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
