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

// blockedWriter blocks writes until unblock is closed.
type blockedWriter struct{ unblock chan struct{} }

func (s blockedWriter) Write(b []byte) (int, error) {
	<-s.unblock
	return len(b), nil
}

func line(l *log.Logger, message string) { l.WithField("n", 1).Info(message) }

func TestBlockedOutputDoesNotBlockCallers(t *testing.T) {
	is := is.New(t)
	out := blockedWriter{make(chan struct{})}
	h := oplog.New(out)
	l := &log.Logger{Handler: h, Level: log.InfoLevel}
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		h.Run(stop)
	}()
	for i := range 5000 {
		line(l, strings.Repeat("x", i%100)) // returns although the output is blocked
	}
	is.True(h.Dropped() > 0)
	close(out.unblock)
	close(stop)
	<-done
}

func TestLinesPerMessageAreLimitedAndCounted(t *testing.T) {
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

func TestIdleTimeRefillsTheRate(t *testing.T) {
	is := is.New(t)
	h := oplog.New(&bytes.Buffer{})
	l := &log.Logger{Handler: h, Level: log.InfoLevel}
	for range 1000 {
		line(l, "often")
	}
	before := h.Dropped()
	time.Sleep(200 * time.Millisecond) // refills about four lines
	line(l, "often")
	is.Equal(h.Dropped(), before)
}
