package suspicion

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

func ExampleDetector() {
	var d Detector[int]
	now := time.Unix(1_700_000_000, 0)
	fmt.Println(d.RecordUnanswered(now, 1, "a", Unanswered{Opened: now, Firm: true}), d.Suspected(1, "a"), d.Suspected(2, "a"))
	fmt.Println(d.RecordUnanswered(now, 2, "a", Unanswered{Opened: now, Firm: true}), d.Suspected(3, "a"), d.ProbeDue(now, 3, "a"))
	was := d.RecordAnswer(now, 1).Suspected
	fmt.Println(was, d.RecordAnswerFrom(now, "a"), d.Suspected(3, "a"))
	// Output:
	// true true false
	// true true false
	// true true false
}

// TestOpeningBeforeAnAnswerIsNoEvidence guards against openings that were lost before a target
// was seen to answer.
func TestOpeningBeforeAnAnswerIsNoEvidence(t *testing.T) {
	is := is.New(t)
	var d Detector[int]
	now := time.Unix(1_700_000_000, 0)
	d.RecordAnswer(now, 1)
	is.True(!d.RecordUnanswered(now, 1, "a", Unanswered{Opened: now.Add(-time.Millisecond)}))
	is.True(!d.Suspected(1, "a"))
	d.Forget(1)
	is.True(d.RecordUnanswered(now, 1, "a", Unanswered{Opened: now.Add(-time.Millisecond)}))
}

// TestOneTargetIsNoFirmEvidenceAgainstOthers guards against a data centre whose targets all count as
// restarted as several callers got no answer from one of them.
func TestOneTargetIsNoFirmEvidenceAgainstOthers(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	for _, c := range []struct {
		silent []int
		firm   bool // against target 3, which was not tried
	}{
		{[]int{1, 1, 1}, false},
		{[]int{1, 2}, true},
	} {
		var d Detector[int]
		for _, target := range c.silent {
			d.RecordUnanswered(now, target, "a", Unanswered{Opened: now, Firm: true})
		}
		is.True(d.Suspected(3, "a"))
		later := now.Add(time.Second)
		d.RecordAnswer(later, 1)
		is.True(d.RecordAnswerFrom(later, "a"))
		is.Equal(d.RecoveredAt(1, "a"), later)
		is.Equal(!d.RecoveredAt(3, "a").IsZero(), c.firm)
	}
}

// TestRecoveryAtAnotherHost guards against hosts that take a target for restarted which has answered
// them all the while, and against those that go on with it although it may have started anew.
func TestRecoveryAtAnotherHost(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	const since, until = 1000, 1400 // in ms, as the other host says
	for _, c := range []struct {
		answers, unanswered  []int // in ms
		restarted, suspected bool
	}{
		{nil, nil, true, false},
		{[]int{900}, nil, true, false},
		{[]int{900}, []int{1100, 1200}, true, false},
		{[]int{900, 1100}, nil, true, false}, // the answer was on its way at the crash
		{[]int{900}, []int{1100, 1500}, true, true},
		{[]int{900, 1000, 1100, 1200, 1300}, nil, false, false},
		{[]int{1399}, nil, false, false}, // shows the same
		{[]int{900, 1350}, nil, false, false},
	} {
		var d Detector[int]
		at := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
		for _, ms := range c.answers {
			d.RecordAnswer(at(ms), 1)
		}
		for _, ms := range c.unanswered {
			d.RecordUnanswered(at(ms), 1, "a", Unanswered{Opened: at(ms)})
		}
		is.Equal(d.RecordRecovery(1, at(since), at(until)), c.restarted)
		is.Equal(!d.RecoveredAt(1, "a").IsZero(), c.restarted)
		is.Equal(d.Unanswered(1), c.suspected)
		is.True(!c.restarted || !d.RecordRecovery(1, at(since), at(until+1))) // of a third host
		d.RecordUnanswered(at(1600), 1, "a", Unanswered{Opened: at(until - 1)})
		is.Equal(d.Unanswered(1), c.suspected || !c.restarted)
	}
}
