package queue

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// TestFairMatchesSortedList compares the queue with a list that is sorted after
// each random operation.
func TestFairMatchesSortedList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var f Fair[int]
		var list []*Item[int]
		n := 0
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				n++
				owner := fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "owner"))
				list = append(list, f.Add(n, owner, time.Unix(rapid.Int64Range(0, 5).Draw(t, "deadline"), 0)))
			},
			"remove": func(t *rapid.T) {
				if len(list) == 0 {
					t.Skip("empty")
				}
				i := rapid.IntRange(0, len(list)-1).Draw(t, "item")
				f.Remove(list[i])
				f.Remove(list[i])
				list = slices.Delete(list, i, i+1)
			},
			"": func(t *rapid.T) {
				slices.SortFunc(list, func(a, b *Item[int]) int {
					if a.Before(b) {
						return -1
					}
					return 1
				})
				if f.Len() != len(list) {
					t.Fatalf("%d items wait, want %d", f.Len(), len(list))
				}
				if len(list) == 0 {
					return
				}
				if f.First() != list[0] || f.Last(func(int) bool { return true }) != list[len(list)-1] {
					t.Fatal("first or last item differs")
				}
			},
		})
	})
}

func TestHeavyOwnerDoesNotStarveOthers(t *testing.T) {
	is := is.New(t)
	var f Fair[string]
	for range 100 {
		f.Add("heavy", "a", time.Unix(0, 0))
	}
	f.Add("light", "b", time.Unix(9, 0))
	for range RoundSize {
		i := f.First()
		is.Equal(i.Value, "heavy")
		f.Remove(i)
	}
	is.Equal(f.First().Value, "light")
}
