package measure

import (
	"testing"

	"github.com/matryer/is"

	"github.com/cornelbay/cornelbay/config"
	"github.com/cornelbay/cornelbay/examples"
)

func TestChangesComeIntoForce(t *testing.T) {
	for _, sc := range configScenarios {
		t.Run(sc.name, func(t *testing.T) {
			is := is.New(t)
			doc, err := config.Parse(examples.Depot)
			is.NoErr(err)
			r, err := runConfig(ConfigSettings{Document: doc, Hosts: 9, Seed: 7}, sc, PolicyWatch)
			is.NoErr(err)
			is.True(r.MaxSeconds <= 4)
			is.Equal(r.Reverted, 0)
			is.Equal(r.LostChanges, 0)
			is.Equal(r.DoubledChanges, 0)
			is.True(r.Changes >= 20)
		})
	}
}
