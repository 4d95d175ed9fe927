package demo

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestMaxRolloutTimeNeedsEveryGeneration(t *testing.T) {
	is := is.New(t)
	var c configWatch
	now := time.Now()
	c.commit(1, now)
	_, all := c.maxRolloutTime()
	is.True(!all) // not yet in force on all hosts
	c.inForce[1] = now.Add(300 * time.Millisecond)
	took, all := c.maxRolloutTime()
	is.True(all)
	is.Equal(took, 300*time.Millisecond)
	c.commit(2, now)
	_, all = c.maxRolloutTime()
	is.True(!all) // a later change is not in force
}
