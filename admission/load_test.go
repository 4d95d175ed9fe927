package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Dimensions of the loop of TestLoad, which advances in steps of 1 ms.
const (
	slots    = 10
	workMS   = 20
	capacity = float64(slots) / workMS // requests per ms
	loadMS   = 10_000                  // arrivals stop then
	waitMS   = 100
	retryMS  = 50
	expireMS = 10  // interval of Expire
	rateMS   = 200 // window of the measured rate
	maxTries = 3
)

// tried is a request of the loop.
type tried struct {
	caller       string
	urgent, done bool
	tries        int
	open         bool
}

// result holds what a run of the loop counted; index 1 is the urgent kind.
type result struct {
	asked, served, tries [2]int
	busy                 float64       // mean fraction of busy slots
	refused              int           // refused tries
	held                 time.Duration // total time for which refused tries were held
}

// run feeds a queue with a multiple of the capacity; urgent requests need a fifth of
// the capacity. Half of the requests are from one caller.
func run(is *is.I, load float64) result {
	var (
		q        Queue[*tried]
		res      result
		retries  = make(map[int][]*tried)
		free     = slots
		finishes = make(map[int]int)
		left     [rateMS]int // requests that left the queue in each ms of the window
		leftSum  int
		rng      = rand.New(rand.NewPCG(1, 1))
	)
	for ms := range loadMS + 2000 {
		now := at(ms)
		refuse := func(rs []Request[*tried]) {
			for _, r := range rs {
				is.True(r.Value.open) // refused after it was returned
				r.Value.open = false
				res.refused++
				res.held += now.Sub(r.Arrived)
				is.True(!now.After(r.Deadline.Add(expireMS * time.Millisecond))) // held past its deadline
				if r.Value.tries < maxTries {
					retries[ms+retryMS] = append(retries[ms+retryMS], r.Value)
				}
			}
		}
		free += finishes[ms]
		leftSum -= left[ms%rateMS]
		left[ms%rateMS] = 0
		serve := func() {
			for free > 0 {
				r, ok := q.Next(now)
				if !ok {
					return
				}
				is.True(r.Value.open && !now.After(r.Deadline)) // served late or twice
				r.Value.open, r.Value.done = false, true
				res.served[kind(r.Value)]++
				free--
				finishes[ms+workMS]++
				left[ms%rateMS]++
				leftSum++
			}
		}
		add := func(v *tried) {
			v.open = true
			v.tries++
			is.True(v.tries <= maxTries) // retried for a refusal returned twice
			res.tries[kind(v)]++
			p := 2 - kind(v)
			r := Request[*tried]{Value: v, Caller: v.caller, Priority: p, Arrived: now, Deadline: now.Add(waitMS * time.Millisecond)}
			refuse(q.Add(now, r, float64(leftSum)*1000/rateMS))
			serve()
		}
		serve()
		if ms%expireMS == 0 {
			refuse(q.Expire(now))
		}
		for _, v := range retries[ms] {
			add(v)
		}
		delete(retries, ms)
		if ms >= loadMS {
			continue
		}
		for k, rate := range []float64{capacity * (load - 0.2), capacity * 0.2} {
			for range int(rate + rng.Float64()) {
				v := &tried{caller: fmt.Sprint(max(0, rng.IntN(20)-9)), urgent: k == 1}
				res.asked[k]++
				add(v)
			}
		}
		res.busy += float64(slots-free) / slots / loadMS
	}
	is.Equal(q.Len(), 0)
	is.Equal(free, slots)
	return res
}

func kind(v *tried) int {
	if v.urgent {
		return 1
	}
	return 0
}

// Guards against collapse by overload: urgent requests that are lost, slots that idle
// while requests are refused, tries that multiply, and refusals that come late.
func TestLoad(t *testing.T) {
	for _, load := range []float64{1, 1.5, 3, 10} {
		t.Run(fmt.Sprint(load), func(t *testing.T) {
			is := is.New(t)
			res := run(is, load)
			total := res.asked[0] + res.asked[1]
			tries := float64(res.tries[0]+res.tries[1]) / float64(total)
			urgent := float64(res.served[1]) / float64(res.asked[1])
			held := res.held / time.Duration(max(res.refused, 1))
			t.Logf("tries per request %.2f, urgent served %.4f, others %.4f, slots busy %.4f, refused after %v",
				tries, urgent, float64(res.served[0])/float64(res.asked[0]), res.busy, held)
			is.True(tries <= maxTries)
			is.True(urgent >= 0.99)
			is.True(res.busy >= 0.95)
			if load > 1 {
				is.True(held <= waitMS*time.Millisecond/2)
			}
		})
	}
}
