// Command cornelbayd runs one entry host.
package main

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/apex/log"
	logjson "github.com/apex/log/handlers/json"
	logtext "github.com/apex/log/handlers/text"

	"github.com/cornelbay/cornelbay/daemon"
)

// The exit codes other than 0 of the subcommand host, and the size of the signal
// channel. The subcommand platform exits with 1 after any error but invalid flags.
const (
	exitFailed          = 1
	exitStopTimeout     = 2
	exitSecondSignal    = 3
	exitInvalidSettings = 80 // the exit code of kong for invalid flags
	signalBufferSize    = 4
)

// commands holds the subcommands, one for each way to run a host. Host gets its
// configuration from the service at --platform (package objectstore); Platform runs on
// the users' platform, which is another system (package platform).
type commands struct {
	Host     hostCmd     `cmd:"" default:"withargs" help:"Run a host behind a Geneve fabric."`
	Platform platformCmd `cmd:"" help:"Run a host on the users' platform."`
}

func main() {
	var c commands
	k := kong.Parse(&c, kong.Name("cornelbayd"), kong.Description("Runs one entry host of cornelbay."))
	if k.Command() == "platform" {
		if err := c.Platform.Run(); err != nil {
			k.FatalIfErrorf(err)
		}
		return
	}
	configureLog(c.Host.LogLevel)
	s, err := c.Host.settings()
	if err != nil {
		log.WithError(err).Error("settings refused")
		os.Exit(exitInvalidSettings)
	}
	os.Exit(run(&c.Host, s))
}

// configureLog logs to standard error: text if it is a terminal, otherwise JSON.
func configureLog(level string) {
	log.SetHandler(logjson.New(os.Stderr))
	if st, err := os.Stderr.Stat(); err == nil && st.Mode()&os.ModeCharDevice != 0 {
		log.SetHandler(logtext.New(os.Stderr))
	}
	log.SetLevelFromString(level)
}

func run(c *hostCmd, s daemon.Settings) int {
	signals := make(chan os.Signal, signalBufferSize)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	d, err := daemon.Start(context.Background(), s)
	if err != nil {
		log.WithError(err).Error("not started")
		return exitFailed
	}
	logStarted(d)
	stopped := make(chan error, 1)
	stopping := false
	for {
		select {
		case <-d.Done():
			return exitCode(d.Stop(context.Background()))
		case err := <-stopped:
			return exitCode(err)
		case sig := <-signals:
			switch {
			case sig == syscall.SIGHUP:
				reload(c, d)
			case stopping:
				log.Warn("second signal: exiting immediately")
				return exitSecondSignal
			default:
				stopping = true
				go func() { stopped <- d.Stop(context.Background()) }()
			}
		}
	}
}

// exitCode returns the exit code after Stop returned err. Errors other than
// daemon.ErrStopTimeout do not change it.
func exitCode(err error) int {
	if errors.Is(err, daemon.ErrStopTimeout) {
		return exitStopTimeout
	}
	return 0
}

// reload reads the key files and the TLS key pair again and validates all flags. If
// that fails, the current keys stay in use. Other settings, the ticket keys included,
// require a restart.
func reload(c *hostCmd, d *daemon.Daemon) {
	s, err := c.settings()
	if err != nil {
		log.WithError(err).Error("keys not reloaded")
		return
	}
	d.Reload(s)
	log.WithField("keys", len(s.Keys)).Info("keys reloaded")
}

func logStarted(d *daemon.Daemon) {
	self := d.Self()
	log.WithFields(log.Fields{
		"host": self.Name, "dataCentre": self.DataCentre, "incarnation": self.Incarnation,
		"fabric": self.Fabric.String(), "datagram": self.Datagram.String(), "rpc": self.RPC.String(),
		"http": self.HTTP.String(), "admin": self.Admin.String(),
	}).Info("started")
}
