package objectstore

import (
	"context"
	"errors"
	"sort"
	"strings"
	"sync"
)

// Memory is an in-memory Store for stand-ins and tests.
type Memory struct {
	mu      sync.Mutex
	objects map[string]Object
	version uint64
	changed chan struct{}
}

// Do performs the call. A watch blocks until the object exists with another version
// than the call's. An answer with ErrConflict also holds the stored object.
func (m *Memory) Do(ctx context.Context, c Call) Answer {
	if c.Op == Watch {
		return m.watch(ctx, c)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.do(c)
}

func (m *Memory) do(c Call) Answer {
	a := Answer{Call: c}
	old, ok := m.objects[c.Key]
	switch {
	case c.Op == List:
		a.Objects = m.list(c.Key)
	case len(c.Value) > MaxValueBytes:
		a.Err = ErrTooLarge
	case c.Op == Create && ok:
		a.Err = ErrExists
	case c.Op == Create:
		a.Object = m.put(c)
	case !ok:
		a.Err = ErrNotFound
	case c.Op == Get:
		a.Object = old
	case c.Version != old.Version:
		a.Object, a.Err = old, ErrConflict
	case c.Op == Update:
		a.Object = m.put(c)
	case c.Op == Delete:
		delete(m.objects, c.Key)
		m.notify()
	}
	return a
}

func (m *Memory) list(prefix string) []Object {
	var out []Object
	for key, o := range m.objects {
		if strings.HasPrefix(key, prefix) {
			out = append(out, o)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out
}

func (m *Memory) put(c Call) Object {
	if m.objects == nil {
		m.objects = make(map[string]Object)
	}
	m.version++
	o := Object{Key: c.Key, Version: m.version, Value: append([]byte(nil), c.Value...)}
	m.objects[c.Key] = o
	m.notify()
	return o
}

func (m *Memory) notify() {
	if m.changed != nil {
		close(m.changed)
		m.changed = nil
	}
}

func (m *Memory) watch(ctx context.Context, c Call) Answer {
	ctx, cancel := context.WithTimeout(ctx, c.WaitTime())
	defer cancel()
	for {
		m.mu.Lock()
		o, ok := m.objects[c.Key]
		if ok && o.Version != c.Version {
			m.mu.Unlock()
			return Answer{Call: c, Object: o}
		}
		if m.changed == nil {
			m.changed = make(chan struct{})
		}
		ch := m.changed
		m.mu.Unlock()
		select {
		case <-ctx.Done():
			return Answer{Call: c, Err: watchError(ctx)}
		case <-ch:
		}
	}
}

// watchError returns the error of a watch whose context ended: ErrNotModified on
// timeout, ErrUnavailable on cancellation.
func watchError(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return ErrNotModified
	}
	return ErrUnavailable
}
