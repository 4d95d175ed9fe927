package refusal

import (
	"testing"

	"github.com/matryer/is"

	"github.com/cornelbay/cornelbay"
)

func TestEveryReasonIsExplained(t *testing.T) {
	is := is.New(t)
	names := make(map[string]bool)
	for _, r := range All() {
		e := r.Explain()
		is.True(e.Name != "" && e.Text != "" && e.Proof != "")
		is.True(e.Status >= 400)
		is.True(e.Outcome == cornelbay.NotRun || e.Outcome == cornelbay.Unknown)
		is.True(!names[e.Name]) // names are unique
		names[e.Name] = true
	}
	is.Equal(Reason(255).Explain().Outcome, cornelbay.Unknown) // an undefined reason proves nothing
}
