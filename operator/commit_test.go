package operator

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/config"
	"github.com/cornelbay/cornelbay/objectstore"
)

func agence(t testing.TB) *config.Document {
	t.Helper()
	b, err := os.ReadFile("../examples/agence.json")
	if err != nil {
		t.Fatal(err)
	}
	doc, err := config.Parse(b)
	if err != nil {
		t.Fatal(err)
	}
	return doc
}

func noSleep(context.Context, time.Duration) error { return nil }

// hookedService invokes before prior to each call.
type hookedService struct {
	objectstore.Store
	before func(objectstore.Call)
}

func (h *hookedService) Do(ctx context.Context, c objectstore.Call) objectstore.Answer {
	h.before(c)
	return h.Store.Do(ctx, c)
}

func latency(doc *config.Document, ms int) *config.Document {
	doc = doc.Clone()
	doc.Services[0].Level.LatencyMs = ms
	return doc
}

func TestRepeatedApplyIsOneChange(t *testing.T) {
	is := is.New(t)
	doc := agence(t)
	c := &Client{Service: &objectstore.Memory{}, Sleep: noSleep}
	first, err := c.Apply(t.Context(), doc, Change{ID: "one", Author: "aicha"})
	is.NoErr(err)
	again, err := c.Apply(t.Context(), doc, Change{ID: "one", Author: "aicha"})
	is.NoErr(err)
	is.Equal(again, first)
	_, err = c.Apply(t.Context(), latency(doc, 90), Change{ID: "two"})
	is.NoErr(err)
	again, err = c.Apply(t.Context(), doc, Change{ID: "one", Author: "aicha"})
	is.NoErr(err)
	is.Equal(again, first) // found in the history
	_, err = c.Apply(t.Context(), latency(doc, 91), Change{ID: "one"})
	is.True(errors.Is(err, ErrInvalidChange))
	h, err := c.Head(t.Context())
	is.NoErr(err)
	is.Equal(h.Generation, uint64(2))
}

func TestLostAnswersNeitherLoseNorRepeatChanges(t *testing.T) {
	for every := 1; every <= 7; every++ {
		t.Run(fmt.Sprint(every), func(t *testing.T) {
			is := is.New(t)
			s := &objectstore.Faulty{Service: &objectstore.Memory{}}
			s.Set(objectstore.Faults{LoseEvery: every})
			c := &Client{Service: s, Sleep: noSleep}
			doc := agence(t)
			for i := 1; i <= 12; i++ {
				h, err := c.Apply(t.Context(), latency(doc, i), Change{ID: fmt.Sprint("change-", i)})
				is.NoErr(err)
				is.Equal(h.Generation, uint64(i))
			}
			all, err := c.History(t.Context())
			is.NoErr(err)
			is.Equal(len(all), 12)
			for i, h := range all {
				is.Equal(h.Change, fmt.Sprint("change-", i+1))
				_, _, err := c.Generation(t.Context(), h.Generation)
				is.NoErr(err)
			}
		})
	}
}

func TestLostAnswerFollowedByAnotherCommit(t *testing.T) {
	is := is.New(t)
	m := &objectstore.Memory{}
	other := &Client{Service: m, Sleep: noSleep}
	doc := agence(t)
	_, err := other.Apply(t.Context(), doc, Change{ID: "first"})
	is.NoErr(err)
	s := &objectstore.Faulty{Service: m}
	s.Set(objectstore.Faults{LoseEvery: 1})
	updates := 0
	h := &hookedService{Store: s, before: func(c objectstore.Call) {
		if c.Key != config.HeadKey || c.Op != objectstore.Update {
			return
		}
		if updates++; updates == 2 { // the first took effect and its answer was lost
			_, err := other.Apply(t.Context(), latency(doc, 3), Change{ID: "theirs"})
			is.NoErr(err)
		}
	}}
	head, err := (&Client{Service: h, Sleep: noSleep}).Apply(t.Context(), latency(doc, 2), Change{ID: "ours"})
	is.NoErr(err)
	is.Equal(head.Generation, uint64(2))
	now, err := other.Head(t.Context())
	is.NoErr(err)
	is.Equal(now.Change, "theirs")
	is.Equal(now.Generation, uint64(3))
}

func TestRacingOperators(t *testing.T) {
	is := is.New(t)
	m := &objectstore.Memory{}
	theirs := &Client{Service: m, Sleep: noSleep}
	doc := agence(t)
	_, err := theirs.Apply(t.Context(), doc, Change{ID: "first"})
	is.NoErr(err)
	races := []cornelbay.TargetName{"statut-2"}
	h := &hookedService{Store: m, before: func(c objectstore.Call) {
		if c.Key == config.HeadKey && c.Op == objectstore.Update && len(races) > 0 {
			name := races[0]
			races = races[1:]
			_, err := SetDrain(t.Context(), theirs, name, true, Change{Author: "brahim"})
			is.NoErr(err)
		}
	}}
	ours := &Client{Service: h, Sleep: noSleep}
	_, err = ours.Apply(t.Context(), latency(doc, 9), Change{ID: "ours"})
	var conflict *ConflictError
	is.True(errors.As(err, &conflict))
	is.Equal(conflict.Committed.Generation, uint64(2))
	is.Equal(conflict.Committed.Author, "brahim")
	is.True(strings.Contains(err.Error(), `by "brahim" is generation 2`))

	_, err = ours.Apply(t.Context(), latency(doc, 9), Change{Base: 1})
	is.True(errors.As(err, &conflict)) // based on an older generation

	races = append(races, "statut-3", "statut-4")
	_, err = SetDataCentreOut(t.Context(), ours, "todra", true, Change{Author: "aicha"})
	is.NoErr(err) // applied again on top of the other changes
	_, now, err := ours.Load(t.Context())
	is.NoErr(err)
	for _, dc := range now.DataCentres {
		is.Equal(dc.Out, dc.Name == "todra")
	}
	for _, tt := range now.Services[1].Targets {
		is.Equal(tt.Drain, tt.Name == "statut-2" || tt.Name == "statut-3" || tt.Name == "statut-4")
	}
}

func TestRemovalOfUndrainedTargetIsRefused(t *testing.T) {
	is := is.New(t)
	doc := agence(t)
	c := &Client{Service: &objectstore.Memory{}, Sleep: noSleep}
	_, err := c.Apply(t.Context(), doc, Change{})
	is.NoErr(err)
	less := doc.Clone()
	less.Services[0].Targets = less.Services[0].Targets[1:]
	_, err = c.Apply(t.Context(), less, Change{})
	is.True(errors.Is(err, ErrUndrainedRemoval))
	is.True(strings.Contains(err.Error(), "statut-1"))
	_, err = SetDrain(t.Context(), c, "statut-1", true, Change{})
	is.NoErr(err)
	_, err = c.Apply(t.Context(), less, Change{})
	is.NoErr(err)
	moved := less.Clone()
	moved.Services[1].Targets[0].Tunnel = doc.Services[0].Targets[0].Tunnel
	_, err = c.Apply(t.Context(), moved, Change{})
	is.True(errors.Is(err, ErrUndrainedRemoval)) // another address is another target
	_, err = c.Apply(t.Context(), moved, Change{Force: true})
	is.NoErr(err)
}

func TestRollbackIsNewGeneration(t *testing.T) {
	is := is.New(t)
	doc := agence(t)
	c := &Client{Service: &objectstore.Memory{}, Sleep: noSleep}
	first, err := c.Apply(t.Context(), doc, Change{ID: "first"})
	is.NoErr(err)
	_, err = c.Apply(t.Context(), latency(doc, 9), Change{ID: "second"})
	is.NoErr(err)
	h, err := c.Rollback(t.Context(), 1, Change{ID: "back"})
	is.NoErr(err)
	is.Equal(h.Generation, uint64(3))
	is.Equal(h.Digest, first.Digest)
	_, err = c.Rollback(t.Context(), 9, Change{})
	is.True(errors.Is(err, ErrNoGeneration))
}

func TestGarbageCollectionKeepsReferencedShards(t *testing.T) {
	is := is.New(t)
	doc := agence(t)
	m := &objectstore.Memory{}
	c := &Client{Service: m, Sleep: noSleep, Keep: 20}
	orphan := objectstore.Call{Op: objectstore.Create, Key: config.ObjectPrefix + "orphan", Value: []byte("{}")}
	is.NoErr(m.Do(t.Context(), orphan).Err)
	for i := 1; i <= 3*gcInterval; i++ {
		_, err := c.Apply(t.Context(), latency(doc, i), Change{})
		is.NoErr(err)
	}
	all, err := c.History(t.Context())
	is.NoErr(err)
	is.True(len(all) < 2*gcInterval)
	for _, h := range all {
		_, _, err := c.Generation(t.Context(), h.Generation)
		is.NoErr(err)
	}
	shards := m.Do(t.Context(), objectstore.Call{Op: objectstore.List, Key: config.ObjectPrefix}).Objects
	is.True(len(shards) < 2*2*gcInterval) // two new objects per change
	for _, o := range shards {
		is.True(o.Key != config.ObjectPrefix+"orphan")
	}
}

// TestGarbageCollectionSparesConcurrentApply runs a garbage collection after an Apply
// has written shards that no head refers to yet and before it commits.
func TestGarbageCollectionSparesConcurrentApply(t *testing.T) {
	is := is.New(t)
	doc := agence(t)
	m := &objectstore.Memory{}
	other := &Client{Service: m, Sleep: noSleep, Keep: 1}
	for i := 1; i <= gcInterval; i++ {
		_, err := other.Apply(t.Context(), latency(doc, i), Change{})
		is.NoErr(err)
	}
	raced := false
	h := &hookedService{Store: m, before: func(c objectstore.Call) {
		if c.Key == config.HeadKey && c.Op == objectstore.Update && !raced {
			raced = true
			_, err := other.Apply(t.Context(), latency(doc, 5000), Change{})
			is.NoErr(err)
		}
	}}
	ours := &Client{Service: h, Sleep: noSleep}
	_, err := ours.Apply(t.Context(), latency(doc, 3), Change{}) // shards of an old generation
	var conflict *ConflictError
	is.True(errors.As(err, &conflict))
	_, err = ours.Apply(t.Context(), latency(doc, 3), Change{})
	is.NoErr(err)
	_, now, err := ours.Load(t.Context())
	is.NoErr(err)
	is.Equal(now.Services[1].Level.LatencyMs, 3)
	is.Equal(now.Services[1].Name, cornelbay.ServiceName("statut"))
}
