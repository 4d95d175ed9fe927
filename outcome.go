package cornelbay

// Outcome tells a caller what became of a request.
type Outcome uint8

// The outcomes of a request.
const (
	// Unknown means that the request may or may not have run.
	Unknown Outcome = iota
	// Answered means that the whole answer of one attempt came back.
	Answered
	// NotRun means that there is proof that no target ran the request.
	NotRun
)

// OutcomeHeader is the HTTP header that carries the outcome.
const OutcomeHeader = "Cornelbay-Outcome"

var outcomeNames = [...]string{"unknown", "answered", "notRun"}

// String returns the outcome's name as OutcomeHeader carries it.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return "unknown"
}

// ParseOutcome returns the outcome with the given name; any other name is Unknown.
func ParseOutcome(s string) Outcome {
	for i, name := range outcomeNames {
		if s == name {
			return Outcome(i)
		}
	}
	return Unknown
}
