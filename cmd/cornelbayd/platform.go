package main

import (
	"bytes"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/apex/log"

	"github.com/cornelbay/cornelbay/balancer"
	"github.com/cornelbay/cornelbay/oplog"
	"github.com/cornelbay/cornelbay/platform"
)

// settingsPollInterval is the interval at which the settings file is checked for
// changes, because the platform may change it without sending a signal.
const settingsPollInterval = 2 * time.Second

// platformCmd runs a host on the users' platform, which provides a settings file.
type platformCmd struct {
	Settings    string        `help:"Settings file of the platform." required:"" env:"CORNELBAY_CONFIG"`
	Key         string        `help:"Key shared by the hosts, at least 32 bytes in hexadecimal." required:"" env:"CORNELBAY_KEY"`
	ClockOffset time.Duration `help:"Added to the time of day, for tests of hosts with a wrong clock." default:"0s"`
	LogLevel    string        `help:"Minimum level of log entries." enum:"debug,info,warn,error" default:"info" env:"CORNELBAY_LOG_LEVEL"`
}

// Run runs the host until a signal stops it.
func (c *platformCmd) Run() error {
	h := oplog.New(os.Stdout)
	log.SetHandler(h)
	log.SetLevelFromString(c.LogLevel)
	stopLog, logged := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(logged)
		h.Run(stopLog)
	}()
	defer func() {
		close(stopLog)
		<-logged
	}()
	key, err := parseKey("key", c.Key)
	if err != nil {
		return err
	}
	s, err := platform.ReadSettings(c.Settings)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, signalBufferSize)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	b, err := balancer.Start(balancer.Config{
		Settings: s, Key: key, ClockOffset: c.ClockOffset, DroppedLogLines: h.Dropped,
	})
	if err != nil {
		return merry.Prepend(err, "not started")
	}
	log.WithFields(log.Fields{
		"host": s.Host, "dataCentre": s.DataCentre, "packets": s.Packets.String(), "store": s.Store.String(),
	}).Info("started")
	c.runUntilStopped(b, signals)
	return nil
}

// runUntilStopped applies changes of the settings file until a signal other than
// SIGHUP stops the host.
func (c *platformCmd) runUntilStopped(b *balancer.Balancer, signals <-chan os.Signal) {
	poll := time.NewTicker(settingsPollInterval)
	defer poll.Stop()
	current, err := os.ReadFile(c.Settings)
	if err != nil {
		log.WithError(err).Warn("settings not read again")
	}
	for {
		select {
		case sig := <-signals:
			if sig != syscall.SIGHUP {
				log.WithField("signal", sig.String()).Info("stopping")
				b.Stop()
				return
			}
		case <-poll.C:
		}
		content, err := os.ReadFile(c.Settings)
		if err != nil {
			log.WithError(err).Warn("settings not read again")
			continue
		}
		if bytes.Equal(content, current) {
			continue
		}
		current = content
		s, err := platform.ParseSettings(content)
		if err != nil {
			log.WithError(err).Error("changed settings refused: keeping the current settings")
			continue
		}
		b.Reload(s)
	}
}
