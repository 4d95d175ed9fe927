package exchange

import (
	"fmt"
	"time"
)

func ExampleTracker() {
	var t Tracker
	now := time.Unix(1_700_000_000, 0)
	t.Start(1)
	fmt.Println(t.SendsData(1, 100))
	t.Begin(now, false)
	fmt.Println(t.SendsData(1, 100), t.Acknowledge(now, 1)) // a copy, before the answer
	fmt.Println(t.Acknowledge(now.Add(30*time.Millisecond), 1201), t.Last.AnsweredAt.Sub(t.Last.Begun))
	fmt.Println(t.Acknowledge(now, 2001), t.AnswerBytes()) // more of the same answer
	// Output:
	// true
	// false false
	// true 30ms
	// false 2000
}
