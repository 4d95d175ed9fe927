package request

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelbay/cornelbay"
)

// TestManyGoroutinesFinishEachRequestOnce submits requests and ends attempts from
// many goroutines. A call by one goroutine may return effects for requests
// submitted by another.
func TestManyGoroutinesFinishEachRequestOnce(t *testing.T) {
	is := is.New(t)
	const goroutines, each = 8, 200
	var d Dispatcher
	d.SetServices(start, []cornelbay.Service{{Name: "s", Targets: targets(4)}}, nil)
	var mu sync.Mutex
	finished := make(map[ID]int)
	var carryOut func(effects []cornelbay.Effect)
	carryOut = func(effects []cornelbay.Effect) {
		for _, e := range effects {
			switch e := e.(type) {
			case Attempt:
				carryOut(d.AttemptEnded(start, AttemptResult{ID: e.ID, Complete: true, Response: Response{Status: http.StatusOK}}))
			case Finish:
				mu.Lock()
				finished[e.Request]++
				mu.Unlock()
			}
		}
	}
	var wg sync.WaitGroup
	for g := range goroutines {
		wg.Go(func() {
			for i := range each {
				carryOut(d.Submit(start, Request{
					ID: ID(g*each + i), Service: "s", Caller: fmt.Sprint(g), Method: http.MethodGet,
					Deadline: start.Add(time.Second),
				}))
			}
		})
	}
	wg.Wait()
	is.Equal(len(finished), goroutines*each)
	for _, n := range finished {
		is.Equal(n, 1)
	}
	is.True(d.Idle())
}
