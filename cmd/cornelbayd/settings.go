package main

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"net/netip"
	"net/url"
	"os"
	"regexp"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/daemon"
	"github.com/cornelbay/cornelbay/entry"
	"github.com/cornelbay/cornelbay/peer"
)

// hostCmd runs a host behind a Geneve fabric. Each flag can also be set by an
// environment variable.
type hostCmd struct {
	Name           string        `help:"Name of the host." required:"" env:"CORNELBAY_NAME"`
	DataCentre     string        `help:"Data centre of the host." required:"" env:"CORNELBAY_DATA_CENTRE"`
	Group          string        `help:"Group of services to serve; empty is the default group." env:"CORNELBAY_GROUP"`
	Platform       string        `help:"URL of the platform's service." required:"" env:"CORNELBAY_PLATFORM"`
	Fabric         string        `help:"Address for Geneve packets." default:"127.0.0.1:0" env:"CORNELBAY_FABRIC"`
	Datagram       string        `help:"Address for control datagrams." default:"127.0.0.1:0" env:"CORNELBAY_DATAGRAM"`
	RPC            string        `name:"rpc" help:"Address for net/rpc." default:"127.0.0.1:0" env:"CORNELBAY_RPC"`
	HTTP           string        `name:"http" help:"Address for callers' requests." default:"127.0.0.1:0" env:"CORNELBAY_HTTP"`
	Admin          string        `help:"Address for metrics, health, status and operators." default:"127.0.0.1:0" env:"CORNELBAY_ADMIN"`
	Peers          []string      `help:"Datagram addresses of hosts to ask first." env:"CORNELBAY_PEERS"`
	Key            []string      `help:"One or two keys shared by the hosts, in hexadecimal; the first signs, any verifies." env:"CORNELBAY_KEY"`
	KeyFile        []string      `help:"Files with such keys, a key a line; read again on SIGHUP." env:"CORNELBAY_KEY_FILE"`
	HashKey        string        `help:"Key of the flow hash, 16 bytes in hexadecimal; must be the same on all hosts and must not change." required:"" env:"CORNELBAY_HASH_KEY"`
	KeysDir        string        `help:"Directory with NAME.pem, NAME.key and ca.pem for TLS between hosts and with operators; empty is plain TCP, for trials on loopback. Read again on SIGHUP." env:"CORNELBAY_KEYS_DIR"`
	TrafficWorkers int           `help:"Number of traffic goroutines, from 1 to 64." default:"2" env:"CORNELBAY_TRAFFIC_WORKERS"`
	StopNotice     time.Duration `help:"Time that the fabric has to notice a planned stop." default:"2s" env:"CORNELBAY_STOP_NOTICE"`
	StopTimeout    time.Duration `help:"Time limit of a planned stop." default:"30s" env:"CORNELBAY_STOP_TIMEOUT"`
	LogLevel       string        `help:"Minimum level of log entries." enum:"debug,info,warn,error" default:"info" env:"CORNELBAY_LOG_LEVEL"`
}

// The limits of the settings.
const (
	minKeyBytes       = 32
	hashKeyBytes      = 16
	maxKeys           = 2
	maxTrafficWorkers = 64
	maxStopTimeout    = 10 * time.Minute
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// invalidFlag returns the error for a flag with an invalid value.
func invalidFlag(flag, value, allowed string) error {
	return merry.Errorf("--%s %q: must be %s", flag, value, allowed)
}

// settings validates every flag and reads the key files.
func (c *hostCmd) settings() (daemon.Settings, error) {
	now := time.Now().UnixNano()
	s := daemon.Settings{
		Platform: c.Platform, TrafficWorkers: c.TrafficWorkers,
		StopNotice: c.StopNotice, StopTimeout: c.StopTimeout,
	}
	s.Settings = entry.Settings{
		Group: c.Group, Seed: uint64(now),
		Self: cornelbay.Host{
			Name: cornelbay.HostName(c.Name), DataCentre: cornelbay.DataCentreName(c.DataCentre),
			Incarnation: cornelbay.Incarnation(now),
		},
	}
	for _, check := range []func(*daemon.Settings) error{
		c.checkNames, c.checkAddresses, c.checkPeers, c.checkLimits, c.readKeys, c.readHashKey, c.readKeyPair,
	} {
		if err := check(&s); err != nil {
			return s, err
		}
	}
	return s, nil
}

func (c *hostCmd) checkNames(*daemon.Settings) error {
	const allowed = "1 to 63 lower-case letters, digits and inner hyphens"
	for _, n := range []struct{ flag, value string }{
		{"name", c.Name}, {"data-centre", c.DataCentre}, {"group", c.Group},
	} {
		if n.flag == "group" && n.value == "" {
			continue
		}
		if !namePattern.MatchString(n.value) {
			return invalidFlag(n.flag, n.value, allowed)
		}
	}
	u, err := url.Parse(c.Platform)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return invalidFlag("platform", c.Platform, "a URL such as http://10.0.0.1:7400 or https://...")
	}
	return nil
}

func (c *hostCmd) checkAddresses(s *daemon.Settings) error {
	for _, a := range []struct {
		flag, value string
		to          *netip.AddrPort
	}{
		{"fabric", c.Fabric, &s.Self.Fabric},
		{"datagram", c.Datagram, &s.Self.Datagram},
		{"rpc", c.RPC, &s.Self.RPC},
		{"http", c.HTTP, &s.Self.HTTP},
		{"admin", c.Admin, &s.Self.Admin},
	} {
		var err error
		if *a.to, err = parseAddress(a.flag, a.value); err != nil {
			return err
		}
	}
	return nil
}

// parseAddress parses an address that is announced to other machines, so it must be
// a specific IP address without an IPv6 zone.
func parseAddress(flag, value string) (netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(value)
	if err != nil || a.Addr().IsUnspecified() || a.Addr().Zone() != "" {
		return a, invalidFlag(flag, value, "an IP number of this machine and a port, such as 10.0.0.1:6081 or [2001:db8::1]:6081")
	}
	return a, nil
}

func (c *hostCmd) checkPeers(s *daemon.Settings) error {
	for _, p := range c.Peers {
		a, err := parseAddress("peers", p)
		if err != nil {
			return err
		}
		// The name of the host is not known yet; its address stands in for it.
		s.InitialHosts = append(s.InitialHosts, cornelbay.Host{Name: cornelbay.HostName(p), Datagram: a})
	}
	return nil
}

func (c *hostCmd) checkLimits(*daemon.Settings) error {
	if c.TrafficWorkers < 1 || c.TrafficWorkers > maxTrafficWorkers {
		return merry.Errorf("--traffic-workers %d: must be from 1 to %d", c.TrafficWorkers, maxTrafficWorkers)
	}
	if c.StopTimeout <= 0 || c.StopTimeout > maxStopTimeout {
		return invalidFlag("stop-timeout", c.StopTimeout.String(), "more than 0s and at most "+maxStopTimeout.String())
	}
	if c.StopNotice < 0 || c.StopNotice >= c.StopTimeout {
		return invalidFlag("stop-notice", c.StopNotice.String(), "at least 0s and less than --stop-timeout "+c.StopTimeout.String())
	}
	return nil
}

func (c *hostCmd) readKeys(s *daemon.Settings) error {
	for _, k := range c.Key {
		if err := addKey(s, "key", k); err != nil {
			return err
		}
	}
	for _, path := range c.KeyFile {
		b, err := os.ReadFile(path)
		if err != nil {
			return merry.Prependf(err, "--key-file %q", path)
		}
		for _, line := range strings.Fields(string(b)) {
			if err := addKey(s, "key-file "+path, line); err != nil {
				return err
			}
		}
	}
	if len(s.Keys) == 0 || len(s.Keys) > maxKeys {
		return merry.Errorf("--key, --key-file: %d keys: must be 1 or %d together", len(s.Keys), maxKeys)
	}
	return nil
}

// parseKey decodes a shared key. Its errors do not contain the key.
func parseKey(flag, value string) ([]byte, error) {
	b, err := hex.DecodeString(value)
	if err != nil || len(b) < minKeyBytes {
		return nil, merry.Errorf("--%s: value of %d characters: must be at least %d hexadecimal digits", flag, len(value), 2*minKeyBytes)
	}
	return b, nil
}

// addKey adds a shared key and the ticket key that is derived from it.
func addKey(s *daemon.Settings, flag, value string) error {
	b, err := parseKey(flag, value)
	if err != nil {
		return err
	}
	s.Keys = append(s.Keys, b)
	ticket := sha256.Sum256(append([]byte("cornelbay ticket\x00"), b...))
	s.TicketKeys = append(s.TicketKeys, ticket[:])
	return nil
}

func (c *hostCmd) readHashKey(s *daemon.Settings) error {
	b, err := hex.DecodeString(c.HashKey)
	if err != nil || len(b) != hashKeyBytes {
		return merry.Errorf("--hash-key: value of %d characters: must be %d hexadecimal digits", len(c.HashKey), 2*hashKeyBytes)
	}
	s.HashKey = [2]uint64{binary.BigEndian.Uint64(b), binary.BigEndian.Uint64(b[8:])}
	return nil
}

func (c *hostCmd) readKeyPair(s *daemon.Settings) error {
	if c.KeysDir == "" {
		return nil
	}
	p, err := peer.LoadKeyPair(c.KeysDir, c.Name)
	if err != nil {
		return merry.Prependf(err, "--keys-dir %q", c.KeysDir)
	}
	s.KeyPair = &p
	return nil
}
