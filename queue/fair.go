package queue

import "time"

// RoundSize is the number of queued items of one owner in a round. An owner's
// first RoundSize items are in round 0, the next ones in round 1 and so on. All
// items of a round come before those of the next round, whoever their owner is.
const RoundSize = 4

// Item is an entry of a Fair queue.
type Item[T any] struct {
	Value T
	// Owner is the party to which the queue is fair, such as a caller.
	Owner string
	// Deadline orders the items within a round.
	Deadline time.Time

	round    int
	sequence uint64
	queued   bool
}

// Before orders items by round, then by deadline, then by insertion.
func (i *Item[T]) Before(other *Item[T]) bool {
	if i.round != other.round {
		return i.round < other.round
	}
	if !i.Deadline.Equal(other.Deadline) {
		return i.Deadline.Before(other.Deadline)
	}
	return i.sequence < other.sequence
}

// Fair is a queue ordered by round, then by deadline, so that no owner can starve
// the others.
// The zero value is an empty queue.
type Fair[T any] struct {
	heap Heap[*Item[T]]
	// owners holds the number of queued items by owner.
	owners map[string]int
	// added counts the items added so far.
	added uint64
	// removed counts the removed items that are still in the heap.
	removed int
}

// Len returns the number of queued items.
func (f *Fair[T]) Len() int { return f.heap.Len() - f.removed }

// Add inserts a value and returns its item, which Remove takes.
func (f *Fair[T]) Add(v T, owner string, deadline time.Time) *Item[T] {
	if f.owners == nil {
		f.owners = make(map[string]int)
	}
	f.added++
	i := &Item[T]{
		Value: v, Owner: owner, Deadline: deadline,
		round: f.owners[owner] / RoundSize, sequence: f.added, queued: true,
	}
	f.owners[owner]++
	f.heap.Push(i)
	return i
}

// Remove removes an item; removing it again has no effect. The heap drops removed
// items lazily: when they are first, or when they make up more than half of it.
func (f *Fair[T]) Remove(i *Item[T]) {
	if !i.queued {
		return
	}
	i.queued = false
	if f.owners[i.Owner]--; f.owners[i.Owner] == 0 {
		delete(f.owners, i.Owner)
	}
	if f.removed++; f.removed > f.heap.Len()/2 {
		f.heap.Filter(func(i *Item[T]) bool { return i.queued })
		f.removed = 0
	}
}

// First returns the first item without removing it, or nil if the queue is empty.
func (f *Fair[T]) First() *Item[T] {
	for f.heap.Len() > 0 && !f.heap.First().queued {
		f.heap.Pop()
		f.removed--
	}
	if f.heap.Len() == 0 {
		return nil
	}
	return f.heap.First()
}

// Last returns the last of the items for which match is true, or nil. It takes
// linear time.
func (f *Fair[T]) Last(match func(T) bool) *Item[T] {
	var out *Item[T]
	for _, i := range f.heap.Items() {
		if i.queued && match(i.Value) && (out == nil || out.Before(i)) {
			out = i
		}
	}
	return out
}
