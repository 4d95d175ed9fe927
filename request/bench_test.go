package request

import (
	"net/http"
	"testing"
	"time"

	"github.com/cornelbay/cornelbay"
)

// BenchmarkDispatch measures one Dispatcher call. Half of the calls submit a
// request to a service with 14 targets, half report the result of an attempt.
func BenchmarkDispatch(b *testing.B) {
	var d Dispatcher
	d.Self = "a"
	d.SetServices(start, []cornelbay.Service{{Name: "s", Targets: targets(14)}}, nil)
	now := start
	answer := Response{Status: http.StatusOK}
	var running []AttemptID
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		if i%2 == 0 || len(running) < 8 {
			r := Request{
				ID: ID(i), Service: "s", Caller: "c", Method: http.MethodGet,
				Path: "/", Deadline: now.Add(500 * time.Millisecond),
			}
			for _, e := range d.Submit(now, r) {
				if a, ok := e.(Attempt); ok {
					running = append(running, a.ID)
				}
			}
			continue
		}
		id := running[0]
		running = running[1:]
		d.AttemptEnded(now, AttemptResult{ID: id, Complete: true, Response: answer})
	}
}
