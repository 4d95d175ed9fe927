package daemon

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/cornelbay/cornelbay"
)

// DefaultStopTimeout bounds a planned stop that has no bound of its own.
const DefaultStopTimeout = 30 * time.Second

const stopPollInterval = 20 * time.Millisecond

// ErrStopTimeout is the error of a planned stop that had to leave work undone.
var ErrStopTimeout = merry.New("planned stop ran out of time")

// Stop ends the daemon in the planned way: it is not ready at once, forwards
// while the fabric notices, finishes the requests that run, hands on what it
// alone knows, and ends. A second call waits for the first and returns its error.
func (d *Daemon) Stop(ctx context.Context) error {
	d.stopOnce.Do(func() { d.stopErr = d.stop(ctx) })
	<-d.done
	return d.stopErr
}

func (d *Daemon) stop(ctx context.Context) error {
	defer d.cancel()
	if d.ctx.Err() != nil {
		return nil
	}
	timeout := d.StopTimeout
	if timeout == 0 {
		timeout = DefaultStopTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	start := time.Now()
	d.stopping.Store(true)
	d.Log.Info("planned stop begins")
	sleep(ctx, d.StopNotice)
	d.httpServer.SetKeepAlivesEnabled(false)
	d.input(ctx, d.host.Stop)
	if !d.waitStopped(ctx) {
		d.Log.WithField("seconds", time.Since(start).Seconds()).Error("planned stop ran out of time")
		return ErrStopTimeout
	}
	if err := d.httpServer.Shutdown(ctx); err != nil {
		return merry.Wrap(ErrStopTimeout, merry.WithCause(err))
	}
	d.Log.WithField("seconds", time.Since(start).Seconds()).Info("planned stop ends")
	return nil
}

// waitStopped waits until the host has nothing left to do.
func (d *Daemon) waitStopped(ctx context.Context) bool {
	for ctx.Err() == nil {
		ch := make(chan bool, 1)
		d.input(ctx, func(now time.Time) []cornelbay.Effect {
			ch <- d.host.Stopped(now)
			return nil
		})
		select {
		case stopped := <-ch:
			if stopped && d.requests.idle() {
				return true
			}
		case <-ctx.Done():
			return false
		}
		sleep(ctx, stopPollInterval)
	}
	return false
}

func sleep(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}

// Reload takes the keys of s; the other settings need a new start.
func (d *Daemon) Reload(s Settings) {
	d.traffic.SetKeys(s.Keys...)
	d.codec.SetKeys(s.Keys)
	if s.KeyPair != nil && d.peers.credentials != nil {
		d.peers.credentials.Set(*s.KeyPair)
	}
}
