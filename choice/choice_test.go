package choice

import (
	"fmt"
	"time"
)

func ExampleSampler() {
	var s Sampler[string]
	fmt.Println(s.Best().IsNone())
	// Of three near targets the two with the lowest tie breaks are compared.
	s.Add(Candidate[string]{Target: "a", Cost: 3 * time.Millisecond, TieBreak: 1}, true)
	s.Add(Candidate[string]{Target: "b", Cost: time.Millisecond, TieBreak: 3}, true)
	s.Add(Candidate[string]{Target: "c", Cost: 2 * time.Millisecond, TieBreak: 2}, true)
	fmt.Println(s.Best().Target)
	s.Add(Candidate[string]{Target: "d", TieBreak: 9}, false)
	fmt.Println(s.Best().Target)
	// Output:
	// true
	// c
	// d
}
