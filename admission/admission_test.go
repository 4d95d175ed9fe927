package admission

import (
	"cmp"
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/cornelbay/cornelbay/queue"
)

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// at returns a time in milliseconds after an arbitrary start.
func at(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }

// request returns a request that arrives at 0 and may wait for 100 ms.
func request(value int, caller string, priority int) Request[int] {
	return Request[int]{Value: value, Caller: caller, Priority: priority, Arrived: at(0), Deadline: at(100)}
}

func values(rs []Request[int]) []int {
	var out []int
	for _, r := range rs {
		out = append(out, r.Value)
	}
	return out
}

// drain returns the values of all requests by Next.
func drain(q *Queue[int], now time.Time) []int {
	var out []int
	for r, ok := q.Next(now); ok; r, ok = q.Next(now) {
		out = append(out, r.Value)
	}
	return out
}

// Guards against an urgent request that waits behind less urgent ones.
func TestMostUrgentFirst(t *testing.T) {
	is := is.New(t)
	var q Queue[int]
	for i, p := range []int{2, 0, 1, 2, 0, 7, 1, -1} {
		is.Equal(len(q.Add(at(0), request(i, "a", p), 0)), 0)
	}
	is.Equal(q.Len(), 8)
	is.Equal(drain(&q, at(1)), []int{7, 1, 4, 2, 6, 0, 3, 5})
	is.Equal(q.Len(), 0)
}

// Guards against a caller whose later request overtakes its earlier one, which then
// expires. It happens in queue.Fair when a caller's backlog shrinks.
func TestCallerServedInOrderOfArrival(t *testing.T) {
	is := is.New(t)
	var q Queue[int]
	n := 0
	add := func(k int) {
		for range k {
			q.Add(at(0), request(n, "a", 1), 0)
			n++
		}
	}
	add(5 * queue.RoundSize)
	for i := range 3 * queue.RoundSize {
		r, ok := q.Next(at(1))
		is.True(ok)
		is.Equal(r.Value, i)
	}
	add(queue.RoundSize)
	for i, v := range drain(&q, at(1)) {
		is.Equal(v, 3*queue.RoundSize+i)
	}
}

// Guards against a heavy caller that crowds out others of its priority, in the order
// of service or by the choice of the refused.
func TestHeavyCallerPaysFirst(t *testing.T) {
	const light, each, heavy = 9, 4, 40
	for _, priority := range []int{0, 1, 2} {
		t.Run(fmt.Sprint(priority), func(t *testing.T) {
			is := is.New(t)
			var q Queue[int]
			// What a light caller has waiting at a more urgent priority doesn't count here.
			const ahead = 2 * heavy
			for range ahead {
				q.Add(at(0), request(-1, "l0", priority-1), 0)
			}
			for range heavy {
				q.Add(at(0), request(0, "heavy", priority), 0)
			}
			for i := range light * each {
				q.Add(at(0), request(1, fmt.Sprint("l", i%light), priority), 0)
			}
			q.MaxLen = q.Len()
			// Each further request of a light caller displaces one of the heavy one, until
			// it has about as many as they have.
			for i := range heavy - each - 1 {
				refused := q.Add(at(0), request(2, fmt.Sprint("new", i), priority), 0)
				is.Equal(values(refused), []int{0})
			}
			// The first round of the light callers comes before the heavy one's second.
			order := drain(&q, at(1))[ahead:]
			is.Equal(order[len(order)-1], 0)
			is.Equal(slices.Index(order[queue.RoundSize:], 0), len(order)-1-queue.RoundSize)
		})
	}
}

// Guards against a refusal of an urgent request while a less urgent one stays, and of
// an early one while a later one of the same caller stays.
func TestLeastUrgentRefused(t *testing.T) {
	tests := []struct {
		name   string
		maxLen int
		rate   float64
		reason Reason
		wait   time.Duration
	}{
		{"cap", 3, 0, QueueFull, 0},
		{"cap with a known rate", 3, 1e6, QueueFull, 3 * time.Microsecond},
		{"wait", 0, 25, Overload, 120 * time.Millisecond}, // 2 ahead leave in 80 ms, 3 in 120 ms
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			q := Queue[int]{MaxLen: tt.maxLen}
			for i, p := range []int{1, 2, 2} {
				is.Equal(len(q.Add(at(0), request(i, "a", p), tt.rate)), 0)
			}
			for i, want := range []int{2, 1, 0, 5, 4, 3} {
				p := 0
				if i >= 3 {
					p = -1
				}
				refused := q.Add(at(0), request(3+i, "a", p), tt.rate)
				is.Equal(values(refused), []int{want})
				is.Equal(refused[0].Reason, tt.reason)
				is.Equal(refused[0].Wait, tt.wait)
			}
			refused := q.Add(at(0), request(9, "b", 3), tt.rate)
			is.Equal(values(refused), []int{9}) // the new request itself
			is.Equal(drain(&q, at(1)), []int{6, 7, 8})
		})
	}
}

// Guards against shedding on a rate that isn't known, or that overflows the wait.
func TestRate(t *testing.T) {
	tests := []struct {
		rate float64
		kept int
	}{{0, 50}, {-1, 50}, {1e9, 50}, {1e-300, 1}, {100, 11}}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.rate), func(t *testing.T) {
			is := is.New(t)
			var q Queue[int]
			for i := range 50 {
				q.Add(at(0), request(i, "a", 1), tt.rate)
			}
			is.Equal(q.Len(), tt.kept)
		})
	}
}

// Guards against serving an expired request, and against one that is held on or lost.
func TestNothingHeldPastDeadline(t *testing.T) {
	is := is.New(t)
	var q Queue[int]
	for i, deadline := range []int{20, 10, 30, 10, 40} {
		r := request(i, "a", i%2)
		r.Deadline = at(deadline)
		is.Equal(len(q.Add(at(0), r, 0)), 0)
	}
	is.Equal(len(q.Expire(at(10))), 0) // may wait until its deadline
	expired := q.Expire(at(11))
	is.Equal(values(expired), []int{1, 3})
	is.Equal(expired[0].Reason, Expired)
	is.Equal(len(q.Expire(at(11))), 0)
	r, ok := q.Next(at(21)) // passes over 0, which Expire then returns
	is.True(ok)
	is.Equal(r.Value, 2)
	is.Equal(q.Len(), 2)
	is.Equal(values(q.Expire(at(21))), []int{0})
	late := request(5, "b", 0)
	late.Deadline = at(30)
	is.Equal(values(q.Add(at(41), late, 0)), []int{5, 4})
	_, ok = q.Next(at(41))
	is.True(!ok)
	is.Equal(q.Len(), 0)
}

// Guards against memory that grows with the requests that have left.
func TestMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	var q Queue[int]
	stays := request(-1, "stays", 2) // its deadline comes first
	stays.Deadline = at(50)
	q.Add(at(0), stays, 0)
	for i := range 10_000 {
		q.Add(at(0), request(i, fmt.Sprint(i), 1), 0)
		q.Next(at(0))
	}
	is.Equal(q.Len(), 1)
	is.True(q.deadlines.Len() <= minCompact+3)
	is.True(q.levels[1].heaviest.Len()+q.levels[0].heaviest.Len() <= minCompact+3)
	is.Equal(len(q.levels[0].callers), 0)
}

// naive is a Queue that sorts or searches a list at each call.
type naive struct {
	maxLen  int
	n       int
	entries []*entry
	expired []Request[int]
}

type entry struct {
	Request[int]
	n    int
	turn turn
}

type turn struct {
	round   int
	arrived time.Time
	n       int
}

// group returns the entries of a caller and priority by arrival.
func (q *naive) group(caller string, priority int) []*entry {
	var out []*entry
	for _, e := range q.entries {
		if e.Caller == caller && e.Priority == priority {
			out = append(out, e)
		}
	}
	slices.SortStableFunc(out, func(a, b *entry) int { return a.Arrived.Compare(b.Arrived) })
	return out
}

func (q *naive) remove(e *entry) Request[int] {
	q.entries = slices.DeleteFunc(q.entries, func(o *entry) bool { return o == e })
	return e.Request
}

func (q *naive) expire(now time.Time) {
	byDeadline := slices.Clone(q.entries)
	slices.SortStableFunc(byDeadline, func(a, b *entry) int { return a.Deadline.Compare(b.Deadline) })
	for _, e := range byDeadline {
		if now.After(e.Deadline) {
			q.expired = append(q.expired, q.remove(e))
		}
	}
}

func (q *naive) expireNow(now time.Time) []Request[int] {
	q.expire(now)
	out := q.expired
	q.expired = nil
	return out
}

func (q *naive) add(now time.Time, r Request[int], rate float64) []Request[int] {
	q.n++
	round := len(q.group(r.Caller, r.Priority)) / queue.RoundSize
	q.entries = append(q.entries, &entry{Request: r, n: q.n, turn: turn{round, r.Arrived, q.n}})
	refused := q.expireNow(now)
	for len(q.entries) > 0 {
		last := slices.MaxFunc(q.entries, func(a, b *entry) int {
			return cmp.Or(
				cmp.Compare(a.Priority, b.Priority),
				cmp.Compare(len(q.group(a.Caller, a.Priority)), len(q.group(b.Caller, b.Priority))),
				a.Arrived.Compare(b.Arrived), cmp.Compare(a.n, b.n))
		})
		full := q.maxLen > 0 && len(q.entries) > q.maxLen
		wait := float64(len(q.entries)-1) / rate
		if !full && (rate == 0 || wait <= last.Deadline.Sub(now).Seconds()) {
			break
		}
		refused = append(refused, q.remove(last))
	}
	return refused
}

func (q *naive) next(now time.Time) (Request[int], bool) {
	q.expire(now)
	if len(q.entries) == 0 {
		return Request[int]{}, false
	}
	first := slices.MinFunc(q.entries, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.turn.round, b.turn.round),
			a.turn.arrived.Compare(b.turn.arrived), cmp.Compare(a.turn.n, b.turn.n))
	})
	oldest := q.group(first.Caller, first.Priority)[0]
	oldest.turn, first.turn = first.turn, oldest.turn
	return q.remove(oldest), true
}

func (q *naive) removeIf(match func(int) bool) []Request[int] {
	var out []Request[int]
	q.expired = slices.DeleteFunc(q.expired, func(r Request[int]) bool {
		if match(r.Value) {
			out = append(out, r)
		}
		return match(r.Value)
	})
	for _, e := range slices.Clone(q.entries) {
		if match(e.Value) {
			out = append(out, q.remove(e))
		}
	}
	return out
}

// Guards against any difference in order, choice or bookkeeping from the rules as the
// naive queue states them, after random operations.
func TestMatchesNaiveQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		maxLen := rapid.SampledFrom([]int{0, 0, 1, 12}).Draw(t, "maxLen")
		q, n := Queue[int]{MaxLen: maxLen}, naive{maxLen: maxLen}
		now, added := 0, 0
		equal := func(what string, got, want []Request[int]) {
			if !slices.Equal(values(got), values(want)) {
				t.Fatalf("%s: got %v, want %v", what, values(got), values(want))
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				rate := rapid.SampledFrom([]float64{0, 0, 40, 160, 1000}).Draw(t, "rate")
				for range rapid.IntRange(1, 8).Draw(t, "n") {
					added++
					r := Request[int]{
						Value:    added,
						Caller:   rapid.SampledFrom([]string{"a", "a", "a", "b", "c"}).Draw(t, "caller"),
						Priority: rapid.IntRange(0, 2).Draw(t, "priority"),
						Arrived:  at(now - rapid.IntRange(0, 3).Draw(t, "age")),
						Deadline: at(now + rapid.SampledFrom([]int{-1, 50, 100, 200}).Draw(t, "deadline")),
					}
					refused := q.Add(at(now), r, rate)
					equal("refused", refused, n.add(at(now), r, rate))
					for _, r := range refused {
						for _, e := range n.entries {
							if r.Reason != Expired && r.Priority < e.Priority {
								t.Fatalf("refused %v while %v waits", r, e.Request)
							}
						}
					}
				}
			},
			"next": func(t *rapid.T) {
				for range rapid.IntRange(1, 8).Draw(t, "n") {
					got, ok := q.Next(at(now))
					want, wantOK := n.next(at(now))
					if ok != wantOK || got != want {
						t.Fatalf("next: got %v %v, want %v %v", got, ok, want, wantOK)
					}
				}
			},
			"expire": func(t *rapid.T) { equal("expired", q.Expire(at(now)), n.expireNow(at(now))) },
			"remove": func(t *rapid.T) {
				k := rapid.IntRange(2, 9).Draw(t, "k")
				match := func(v int) bool { return v%k == 0 }
				equal("removed", q.Remove(match), n.removeIf(match))
			},
			"wait": func(t *rapid.T) { now += rapid.IntRange(1, 40).Draw(t, "ms") },
			"": func(t *rapid.T) {
				if q.Len() != len(n.entries)+len(n.expired) {
					t.Fatalf("length %d, want %d", q.Len(), len(n.entries)+len(n.expired))
				}
			},
		})
	})
}

func Example() {
	var q Queue[string]
	now := time.Unix(1000, 0)
	add := func(value, caller string, priority int) {
		r := Request[string]{Value: value, Caller: caller, Priority: priority, Arrived: now, Deadline: now.Add(100 * time.Millisecond)}
		for _, r := range q.Add(now, r, 25) { // each opening ahead takes 40 ms
			fmt.Println("refuse", r.Value, r.Reason, r.Wait)
		}
	}
	add("lookup 1", "10.0.0.1", 2)
	add("lookup 2", "10.0.0.1", 2)
	add("lookup 3", "10.0.0.2", 2)
	add("objection", "10.0.0.1", 1)
	r, _ := q.Next(now.Add(40 * time.Millisecond))
	fmt.Println("serve", r.Value)
	for _, r := range q.Expire(now.Add(101 * time.Millisecond)) {
		fmt.Println("refuse", r.Value, r.Reason)
	}
	// Output:
	// refuse lookup 2 overload 120ms
	// serve objection
	// refuse lookup 1 expired
	// refuse lookup 3 expired
}

// BenchmarkAddNext adds two requests and serves one, so that each second one is shed
// from a full queue.
func BenchmarkAddNext(b *testing.B) {
	for _, n := range []int{16, 256, 4096} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			q := Queue[int]{MaxLen: n}
			callers := make([]string, 64)
			for i := range callers {
				callers[i] = fmt.Sprint("caller ", i)
			}
			add := func(i int) {
				r := request(i, callers[i%len(callers)], i%3)
				r.Arrived, r.Deadline = at(i), at(i+1<<30)
				q.Add(at(i), r, 1e9)
			}
			for i := range n {
				add(i)
			}
			b.ReportAllocs()
			for i := n; b.Loop(); i += 2 {
				add(i)
				add(i + 1)
				q.Next(at(i))
				q.Expire(at(i))
			}
		})
	}
}
