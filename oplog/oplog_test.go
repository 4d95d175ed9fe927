package oplog_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/matryer/is"

	"github.com/cornelbay/cornelbay/oplog"
)

// stuck is an output that takes nothing until it is let go.
type stuck struct{ let chan struct{} }

func (s stuck) Write(b []byte) (int, error) {
	<-s.let
	return len(b), nil
}

func line(l *log.Logger, message string) { l.WithField("n", 1).Info(message) }

func TestAStuckOutputBlocksNobody(t *testing.T) {
	is := is.New(t)
	out := stuck{make(chan struct{})}
	h := oplog.New(out)
	l := &log.Logger{Handler: h, Level: log.InfoLevel}
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		h.Run(stop)
	}()
	for i := range 5000 {
		line(l, strings.Repeat("x", i%100)) // returns while the output is stuck
	}
	is.True(h.Dropped() > 0)
	close(out.let)
	close(stop)
	<-done
}

func TestLinesOfOneKindAreBoundedAndCounted(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	h := oplog.New(&out)
	l := &log.Logger{Handler: h, Level: log.InfoLevel}
	stop, done := make(chan struct{}), make(chan struct{})
	for range 1000 {
		line(l, "often")
	}
	line(l, "rare")
	go func() {
		defer close(done)
		h.Run(stop)
	}()
	close(stop)
	<-done
	is.True(strings.Count(out.String(), `"message":"often"`) < 100)
	is.Equal(strings.Count(out.String(), `"message":"rare"`), 1)
	is.Equal(strings.Count(out.String(), `"message":"lines left out"`), 1)
	is.True(strings.Contains(out.String(), `"of":"often"`))
}

func TestAQuietTimeRestoresTheRate(t *testing.T) {
	is := is.New(t)
	h := oplog.New(&bytes.Buffer{})
	l := &log.Logger{Handler: h, Level: log.InfoLevel}
	for range 1000 {
		line(l, "often")
	}
	before := h.Dropped()
	time.Sleep(200 * time.Millisecond) // some lines at the stated rate
	line(l, "often")
	is.Equal(h.Dropped(), before)
}
