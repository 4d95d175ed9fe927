package registry

// Revision orders the states of the platform's store, across restores of the store. The
// store numbers its changes within an era. When it comes back from an older copy, a new
// era begins, and numbers after that of the copy are used a second time. The era is in
// the upper bits, so that every state of an era follows all states of earlier ones.
// Before the first restore a Revision equals the number of the change.
type Revision uint64

// changeBits is the number of bits of a Revision that hold the number of the change.
const changeBits = 48

// The largest era and number of a change that a Revision can hold.
const (
	MaxEra    = 1<<(64-changeBits) - 1
	MaxChange = 1<<changeBits - 1
)

// NewRevision returns the revision of a change in an era. Both must not exceed MaxEra
// and MaxChange.
func NewRevision(era, change uint64) Revision { return Revision(era<<changeBits | change) }

// Era returns the number of restores of the store before this state.
func (r Revision) Era() uint64 { return uint64(r >> changeBits) }

// Change returns the store's number of the change.
func (r Revision) Change() uint64 { return uint64(r) & MaxChange }
