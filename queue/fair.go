package queue

import "time"

// RoundSize is how many items of one owner wait before its next ones yield to
// those of other owners.
const RoundSize = 4

// Item is a value in a Fair queue.
type Item[T any] struct {
	Value T
	// Owner shares the queue with other owners, such as a caller's name.
	Owner string
	// Deadline orders the items of one round.
	Deadline time.Time

	round   int
	order   uint64
	waiting bool
}

// Before orders items by the owner's round, then by deadline, then by age.
func (i *Item[T]) Before(other *Item[T]) bool {
	if i.round != other.round {
		return i.round < other.round
	}
	if !i.Deadline.Equal(other.Deadline) {
		return i.Deadline.Before(other.Deadline)
	}
	return i.order < other.order
}

// Fair is a queue in order of deadline in which no owner can starve the others;
// its zero value is empty.
type Fair[T any] struct {
	heap   Heap[*Item[T]]
	owners map[string]int
	count  uint64
	// gone counts items of the heap that wait no more.
	gone int
}

// Len returns the number of items that wait.
func (f *Fair[T]) Len() int { return f.heap.Len() - f.gone }

// Add puts a value into the queue.
func (f *Fair[T]) Add(v T, owner string, deadline time.Time) *Item[T] {
	if f.owners == nil {
		f.owners = make(map[string]int)
	}
	f.count++
	i := &Item[T]{
		Value: v, Owner: owner, Deadline: deadline,
		round: f.owners[owner] / RoundSize, order: f.count, waiting: true,
	}
	f.owners[owner]++
	f.heap.Push(i)
	return i
}

// Remove takes an item out of the queue.
func (f *Fair[T]) Remove(i *Item[T]) {
	if !i.waiting {
		return
	}
	i.waiting = false
	if f.owners[i.Owner]--; f.owners[i.Owner] == 0 {
		delete(f.owners, i.Owner)
	}
	if f.gone++; f.gone > f.heap.Len()/2 {
		f.heap.Filter(func(i *Item[T]) bool { return i.waiting })
		f.gone = 0
	}
}

// First returns the item that is next, or nil.
func (f *Fair[T]) First() *Item[T] {
	for f.heap.Len() > 0 && !f.heap.First().waiting {
		f.heap.Pop()
		f.gone--
	}
	if f.heap.Len() == 0 {
		return nil
	}
	return f.heap.First()
}

// Last returns the item that comes after all others for which ok holds, or nil.
func (f *Fair[T]) Last(ok func(T) bool) *Item[T] {
	var out *Item[T]
	for _, i := range f.heap.Items() {
		if i.waiting && ok(i.Value) && (out == nil || out.Before(i)) {
			out = i
		}
	}
	return out
}
