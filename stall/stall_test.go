package stall

import (
	"fmt"
	"time"
)

func ExampleDetector() {
	var d Detector
	start := time.Unix(1_700_000_000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	d.Next(at(0), 10*time.Millisecond)
	fmt.Println(d.SentSince(at(5), at(4)).Sub(start), d.SentSince(at(45), time.Time{}).Sub(start))
	fmt.Println(d.Tick(at(50)))
	d.Next(at(50), 10*time.Millisecond)
	fmt.Println(d.SentSince(at(60), time.Time{}).Sub(start), d.SentSince(at(160), time.Time{}).Sub(start))
	fmt.Println(d.Tick(at(200)))
	fmt.Println(d.ResumedAt.Sub(start))
	// Output:
	// 4ms 0s
	// 50ms false
	// 0s 50ms
	// 150ms true
	// 200ms
}
