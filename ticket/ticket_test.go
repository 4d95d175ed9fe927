package ticket

import (
	"errors"
	"flag"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/cornelbay/cornelbay"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func TestTicketIsNotForged(t *testing.T) {
	is := is.New(t)
	old, fresh := []byte("old key"), []byte("new key")
	s, err := Keys{old}.Seal(Ticket{Host: "a", Incarnation: 3, Number: 9, Service: "statut", Caller: "c"})
	is.NoErr(err)
	got, err := Keys{fresh, old}.Open(s)
	is.NoErr(err)
	is.Equal(got.Number, uint64(9))
	is.True(errors.Is(got.Check("carto", "c"), ErrService))
	is.True(errors.Is(got.Check("statut", "d"), ErrCaller))
	_, err = Keys{fresh}.Open(s)
	is.True(errors.Is(err, ErrMAC))
	_, err = Keys{old}.Open("%" + s)
	is.True(errors.Is(err, ErrMalformed))
	for i := range len(s) {
		b := []byte(s)
		b[i] ^= 1
		_, err := Keys{old}.Open(string(b))
		is.True(err != nil) // a change of any character is detected
	}
}

// TestLedgerRunsOnce compares a ledger with a plain set of redeemed numbers under
// generated redemptions, settlements, pauses and shutdowns. It guards against a
// ticket that runs twice or after its expiry, and against the claim that a
// redeemed ticket never ran.
func TestLedgerRunsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Ledger[string]{Host: "a", Incarnation: 1, Size: func(s string) int { return len(s) }}
		now := start
		var tickets []Ticket
		ran := make(map[uint64]bool)
		answers := make(map[uint64]string)
		t.Repeat(map[string]func(*rapid.T){
			"issue": func(t *rapid.T) {
				tickets = append(tickets, l.Issue(now, "s", "c", rapid.IntRange(1, 4).Draw(t, "n"))...)
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.Int64Range(-1e10, 1e11).Draw(t, "ns")))
			},
			"close": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "stop") == 0 {
					l.Close()
				}
			},
			"redeem": func(t *rapid.T) {
				if len(tickets) == 0 {
					t.Skip("no ticket")
				}
				k := rapid.SampledFrom(tickets).Draw(t, "ticket")
				r, first, err := l.Redeem(now, k, Digest{})
				if first {
					if ran[k.Number] {
						t.Fatal("ticket runs again")
					}
					if now.After(k.Expiry()) {
						t.Fatal("ticket runs after its expiry")
					}
					ran[k.Number] = true
				}
				if errors.Is(err, ErrClosed) && ran[k.Number] {
					t.Fatal("refusal of a ticket that ran")
				}
				if errors.Is(err, ErrExpired) && l.Remembers(now, k) && ran[k.Number] {
					t.Fatal("claim that an expired ticket never ran")
				}
				if r.Kept && r.Answer != answers[k.Number] {
					t.Fatal("answer of another ticket")
				}
			},
			"settle": func(t *rapid.T) {
				if len(tickets) == 0 {
					t.Skip("no ticket")
				}
				k := rapid.SampledFrom(tickets).Draw(t, "ticket")
				if _, ok := l.Lookup(k); ok && answers[k.Number] == "" {
					answers[k.Number] = rapid.StringN(1, 8, 8).Draw(t, "answer")
					l.Settle(k.Number, answers[k.Number])
				}
			},
		})
		var a Archive[string]
		for _, h := range l.HandOver(now, 16) {
			a.Add(h)
		}
		for _, k := range tickets {
			if p, _ := a.Find(k); p == NeverRedeemed && ran[k.Number] {
				t.Fatal("handover denies a run")
			}
			if _, first, _ := l.Redeem(now, k, Digest{}); first {
				t.Fatal("redeemed after the handover")
			}
		}
	})
}

func TestHandoverInPartsCoversAll(t *testing.T) {
	is := is.New(t)
	l := Ledger[int]{Host: "a", Incarnation: 1}
	var all []Ticket
	for range 3 * MaxHandoverRecords / MaxBatch {
		all = append(all, l.Issue(start, "s", strconv.Itoa(len(all)), MaxBatch)...)
	}
	for i, k := range all {
		if i%8 != 0 {
			_, _, err := l.Redeem(start, k, Digest{})
			is.NoErr(err)
		}
	}
	parts := l.HandOver(start, 0)
	is.Equal(len(parts), 3)
	var a Archive[int]
	for _, h := range parts[1:] {
		a.Add(h)
	}
	for i, k := range all {
		p, _ := a.Find(k)
		switch {
		case k.Number <= parts[0].Last:
			is.Equal(p, NotCovered) // a part that was not received proves nothing
		case i%8 == 0:
			is.Equal(p, NeverRedeemed)
		default:
			is.Equal(p, Redeemed)
		}
	}
}

func TestLedgerBoundsOutstanding(t *testing.T) {
	is := is.New(t)
	l := Ledger[int]{Host: "a", Incarnation: 1}
	n := 0
	for range 2 * MaxPerCaller / MaxBatch {
		n += len(l.Issue(start, "s", "heavy", MaxBatch))
	}
	is.Equal(n, MaxPerCaller) // one caller can't use up all tickets
	for i := range 2 * MaxOutstanding / MaxBatch {
		n += len(l.Issue(start, "s", strconv.Itoa(i), MaxBatch))
	}
	is.Equal(n, MaxOutstanding)
	is.Equal(len(l.Issue(start.Add(Lifetime+Grace+time.Second), "s", "heavy", 2*MaxBatch)), MaxBatch)
	is.Equal(len(l.callers), 1) // callers without outstanding tickets are dropped
}

func TestLedgerForgetsAnswersNotRedemptions(t *testing.T) {
	is := is.New(t)
	l := Ledger[int]{Host: "a", Incarnation: 1, Size: func(n int) int { return n }}
	ks := l.Issue(start, "s", "c", 2)
	for _, k := range ks {
		_, first, err := l.Redeem(start, k, Digest{})
		is.NoErr(err)
		is.True(first)
		l.Settle(k.Number, MaxAnswerBytes)
	}
	r, first, err := l.Redeem(start, ks[0], Digest{})
	is.NoErr(err)
	is.True(!first && r.Settled && !r.Kept)
	r, _, err = l.Redeem(start, ks[1], Digest{})
	is.NoErr(err)
	is.True(r.Kept)
	_, _, err = l.Redeem(start, ks[1], Digest{1})
	is.True(errors.Is(err, ErrDigest))
	later := l.Issue(start.Add(Lifetime+Grace+time.Second), "s", "c", 1)
	is.Equal(len(l.records), 0) // records are dropped after the grace period
	is.Equal(later[0].Number, uint64(3))
	_, _, err = l.Redeem(start, Ticket{Host: cornelbay.HostName("a"), Incarnation: 2, Number: 1}, Digest{})
	is.True(errors.Is(err, ErrIssuer))
}
