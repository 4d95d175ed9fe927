// Package queue provides a generic binary heap and a fair deadline queue. Neither
// is safe for concurrent use.
package queue

// Ordered is implemented by values with an order.
type Ordered[T any] interface {
	// Before reports whether the receiver comes before other.
	Before(other T) bool
}

// Heap is a priority queue implemented as a binary heap. The zero value is an
// empty heap.
type Heap[T Ordered[T]] struct {
	items []T
}

// Len returns the number of values.
func (h *Heap[T]) Len() int { return len(h.items) }

// First returns the first value; the heap must not be empty.
func (h *Heap[T]) First() T { return h.items[0] }

// Items returns the values in heap order. The slice must not be modified.
func (h *Heap[T]) Items() []T { return h.items }

// Push adds a value.
func (h *Heap[T]) Push(v T) {
	h.items = append(h.items, v)
	i := len(h.items) - 1
	for i > 0 {
		parent := (i - 1) / 2
		if !v.Before(h.items[parent]) {
			break
		}
		h.items[i] = h.items[parent]
		i = parent
	}
	h.items[i] = v
}

// Pop removes and returns the first value; the heap must not be empty.
func (h *Heap[T]) Pop() T {
	first := h.items[0]
	n := len(h.items) - 1
	v := h.items[n]
	var zero T
	h.items[n] = zero
	h.items = h.items[:n]
	if n > 0 {
		h.down(0, v)
	}
	return first
}

// down places v at index i or sifts it down from there.
func (h *Heap[T]) down(i int, v T) {
	n := len(h.items)
	for {
		child := 2*i + 1
		if child >= n {
			break
		}
		if child+1 < n && h.items[child+1].Before(h.items[child]) {
			child++
		}
		if !h.items[child].Before(v) {
			break
		}
		h.items[i] = h.items[child]
		i = child
	}
	h.items[i] = v
}

// Filter removes the values for which keep returns false.
func (h *Heap[T]) Filter(keep func(T) bool) {
	rest := h.items[:0]
	for _, v := range h.items {
		if keep(v) {
			rest = append(rest, v)
		}
	}
	clear(h.items[len(rest):])
	h.items = rest
	for i := len(rest)/2 - 1; i >= 0; i-- {
		h.down(i, rest[i])
	}
}
