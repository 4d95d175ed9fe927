package daemon

import (
	"sync"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/peer"
)

// codec lets two goroutines seal and open datagrams while keys are replaced.
type codec struct {
	mu sync.Mutex
	peer.Codec
}

// Seal returns the datagram that carries m.
func (c *codec) Seal(m cornelbay.Message) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Codec.Seal(m)
}

// Open checks a datagram and returns its envelope and message.
func (c *codec) Open(b []byte) (peer.Envelope, cornelbay.Message, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Codec.Open(b)
}

// SetKeys replaces the keys.
func (c *codec) SetKeys(keys [][]byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Keys = keys
}
