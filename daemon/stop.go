package daemon

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/cornelbay/cornelbay"
)

// DefaultStopTimeout is the timeout of a planned stop if Settings.StopTimeout is 0.
const DefaultStopTimeout = 30 * time.Second

const stopPollInterval = 20 * time.Millisecond

// ErrStopTimeout is returned by a planned stop that was cut short with work left
// undone: its timeout passed, its context or the daemon's ended, or the HTTP server did
// not shut down cleanly.
var ErrStopTimeout = merry.New("planned stop ran out of time")

// Stop carries out a planned stop. The daemon immediately reports that it is not
// ready, but forwards packets until it ends. It accepts new requests for StopNotice, so
// that the fabric notices, then refuses them, completes the running ones, hands its
// flow records and tickets over to other hosts, and ends. If ctx ends first, the stop
// is cut short, but Stop still waits until the daemon has ended. Further calls wait for
// the first one, whatever their ctx, and return its error.
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
	d.enqueue(ctx, d.host.Stop)
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

// waitStopped polls until the planned stop of the host is complete and no request is
// pending. It returns false if ctx ends first.
func (d *Daemon) waitStopped(ctx context.Context) bool {
	for ctx.Err() == nil {
		ch := make(chan bool, 1)
		d.enqueue(ctx, func(now time.Time) []cornelbay.Effect {
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

// Reload applies s.Keys and s.KeyPair. It ignores s.KeyPair if that is nil or the
// daemon was started without a key pair. Changes of other settings, TicketKeys
// included, require a restart.
func (d *Daemon) Reload(s Settings) {
	d.traffic.SetKeys(s.Keys...)
	d.codec.SetKeys(s.Keys)
	if s.KeyPair != nil && d.peers.credentials != nil {
		d.peers.credentials.Set(*s.KeyPair)
	}
}
