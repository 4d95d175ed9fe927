package pace

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// borrow runs a round: as many flows as the limit allows, of which those beyond free are
// rejected.
func borrow(b *Borrowing, now time.Time, free int) (opened, rejected int) {
	opened = int(b.Limit(1))
	for i := range opened {
		if i < free {
			b.Answered(now, usual, usual)
		} else {
			b.Rejected(now)
			rejected++
		}
	}
	return opened, rejected
}

// TestBorrowingFindsFreeCapacity guards against free slots that stay unused, and against
// many rejected flows while there are few.
func TestBorrowingFindsFreeCapacity(t *testing.T) {
	is := is.New(t)
	var b Borrowing
	now := start
	opened, rejected := 0, 0
	for range 200 {
		now = now.Add(usual)
		o, r := borrow(&b, now, 4)
		opened, rejected = opened+o, rejected+r
	}
	t.Logf("%d of %d rejected", rejected, opened)
	is.True(rejected < opened/10)
	is.True(opened > 200*2)
	is.True(b.Limit(1) <= 5)
	for range 10 { // rounds
		now = now.Add(usual)
		borrow(&b, now, 12)
	}
	is.True(b.Limit(1) >= 9)
	for range 100 {
		now = now.Add(usual)
		borrow(&b, now, 1000)
	}
	is.Equal(b.Limit(1), float64(MaxBorrowing))
}

// TestBorrowingBacksOff guards against flows that go on to full targets, and against one
// overload that counts several times.
func TestBorrowingBacksOff(t *testing.T) {
	late := func(b *Borrowing, now time.Time) { b.Answered(now, 5*usual, usual) }
	for _, c := range []struct {
		name  string
		event func(*Borrowing, time.Time)
	}{
		{"rejected", (*Borrowing).Rejected},
		{"late", late},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var b Borrowing
			now := start
			for range 100 {
				now = now.Add(usual)
				borrow(&b, now, 1000)
			}
			is.Equal(b.Limit(1), float64(MaxBorrowing))
			for range 2 * usual / step {
				c.event(&b, now)
				now = now.Add(step)
			}
			is.Equal(b.Limit(1), float64(MaxBorrowing)/2)
			for range 2 * usual / step {
				c.event(&b, now)
				now = now.Add(step)
			}
			is.Equal(b.Limit(1), float64(MaxBorrowing)/4)
			for range time.Second / step {
				c.event(&b, now)
				now = now.Add(step)
			}
			is.Equal(b.Limit(1), 1.0)
			for range 10 {
				now = now.Add(usual)
				borrow(&b, now, 1000)
			}
			is.True(b.Limit(1) >= 8) // and it recovers
		})
	}
}

// TestLateAnswersShrinkBorrowing guards against flows that go on to targets whose slots are
// taken, where all hosts wait for each other, and against a decrease for one long request.
func TestLateAnswersShrinkBorrowing(t *testing.T) {
	is := is.New(t)
	var b Borrowing
	b.Answered(start, 50*usual, usual)
	is.Equal(b.Limit(1), float64(InitialBorrowing))
	for i := range 50 {
		now := start.Add(time.Duration(i) * usual)
		for range int(b.Limit(1)) {
			b.Answered(now, 3*usual, usual)
		}
	}
	is.Equal(b.Limit(1), 1.0)
}

// TestUnusedBorrowingDoesNotGrow guards against a limit that grew by the answers of a light
// load, with which all hosts together overrun the targets when a burst begins.
func TestUnusedBorrowingDoesNotGrow(t *testing.T) {
	is := is.New(t)
	var b Borrowing
	now := start
	for range 1000 { // one flow in two rounds
		now = now.Add(2 * usual)
		b.Answered(now, usual, usual)
	}
	is.True(b.Limit(1) <= 2*InitialBorrowing) // the first flow fills half of the first limit
	for range 10 {
		now = now.Add(usual)
		borrow(&b, now, 1000)
	}
	is.True(b.Limit(1) > 2*InitialBorrowing)
}

// TestBorrowingStaysInBounds guards against a limit below the own share or one flow, or
// above the maximum, after any events.
func TestBorrowingStaysInBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b Borrowing
		now := start
		t.Repeat(map[string]func(*rapid.T){
			"answered": func(t *rapid.T) {
				took := time.Duration(rapid.IntRange(0, 200).Draw(t, "took")) * time.Millisecond
				b.Answered(now, took, time.Duration(rapid.IntRange(0, 50).Draw(t, "usual"))*time.Millisecond)
			},
			"rejected": func(*rapid.T) { b.Rejected(now) },
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "wait")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				floor := rapid.Float64Range(0, 10).Draw(t, "floor")
				if limit := b.Limit(floor); !(limit >= min(floor, 1)) || limit <= 0 || limit > MaxBorrowing {
					t.Fatalf("limit %v for a share of %v", limit, floor)
				}
			},
		})
	})
}

func ExampleBorrowing() {
	var b Borrowing
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	fmt.Println(b.Limit(3))
	for range 4 { // a round
		b.Answered(now, 20*time.Millisecond, 20*time.Millisecond)
	}
	now = now.Add(20 * time.Millisecond)
	b.Answered(now, 20*time.Millisecond, 20*time.Millisecond)
	fmt.Println(b.Limit(3))
	b.Rejected(now)
	fmt.Println(b.Limit(3))
	// Output:
	// 2
	// 8
	// 4
}

// TestBorrowingDoublesAfterQuietTime guards against free slots that stay unused for the first
// half second of a burst in one data centre.
func TestBorrowingDoublesAfterQuietTime(t *testing.T) {
	is := is.New(t)
	var b Borrowing
	now := start
	for range 5 { // rounds
		now = now.Add(usual)
		borrow(&b, now, 1000)
	}
	is.Equal(b.Limit(1), float64(MaxBorrowing))
	b.Rejected(now)
	is.Equal(b.Limit(1), float64(MaxBorrowing)/2)
	now = now.Add(3 * usual) // the limit holds for two usual times
	for range 4 {
		now = now.Add(usual)
		borrow(&b, now, 1000)
	}
	is.True(b.Limit(1) <= float64(MaxBorrowing)/2+4) // one flow a round
}
