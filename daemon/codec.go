package daemon

import (
	"sync"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/peer"
)

// syncCodec is a peer.Codec that is safe for concurrent use, including key rotation.
type syncCodec struct {
	mu sync.Mutex
	peer.Codec
}

// Seal returns the datagram that carries m.
func (c *syncCodec) Seal(m cornelbay.Message) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Codec.Seal(m)
}

// Open verifies a datagram and returns its envelope and message.
func (c *syncCodec) Open(b []byte) (peer.Envelope, cornelbay.Message, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Codec.Open(b)
}

// SetKeys replaces the keys.
func (c *syncCodec) SetKeys(keys [][]byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Keys = keys
}
