package peer

import "testing"

// FuzzOpen checks that Open does not panic for any datagram, and that for an arbitrary
// body with a valid MAC it returns either an error or a message.
func FuzzOpen(f *testing.F) {
	c := Codec{Self: "a", Incarnation: 1, Keys: [][]byte{[]byte("key")}}
	d, err := c.Seal(testMessage{"x"})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(d[:len(d)-macBytes])
	f.Add([]byte{})
	f.Add([]byte{0xa5, 1, 2, 3})
	f.Fuzz(func(t *testing.T, body []byte) {
		b := Codec{Self: "b", Keys: c.Keys}
		if _, _, err := b.Open(body); err == nil {
			t.Fatal("opened without a MAC")
		}
		_, m, err := b.Open(append(append([]byte{}, body...), mac(c.Keys[0], body)...))
		if (m == nil) == (err == nil) {
			t.Fatalf("message %v, error %v", m, err)
		}
	})
}
