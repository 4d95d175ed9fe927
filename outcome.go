package cornelbay

// Outcome tells a caller whether its request was processed.
type Outcome uint8

// The outcomes of a request.
const (
	// Unknown means that the request may or may not have run.
	Unknown Outcome = iota
	// Answered means that the complete answer of one attempt was received.
	Answered
	// NotRun means that the request is known not to have run on any target.
	NotRun
)

// OutcomeHeader is the HTTP header that carries the outcome.
const OutcomeHeader = "Cornelbay-Outcome"

var outcomeNames = [...]string{"unknown", "answered", "notRun"}

// String returns the outcome's name as used in OutcomeHeader.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return "unknown"
}

// ParseOutcome returns the outcome with the given name, or Unknown for any
// other name.
func ParseOutcome(s string) Outcome {
	for i, name := range outcomeNames {
		if s == name {
			return Outcome(i)
		}
	}
	return Unknown
}
