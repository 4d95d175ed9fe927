package matrix

// Promise is one of the ten things that must always hold.
type Promise uint8

// The promises, in the order of docs/PROMISES.md.
const (
	FlowsSurvive Promise = iota + 1
	RightService
	ColdSpared
	OutIsSilent
	WholeOwnAnswer
	TrueRefusal
	AtMostOnce
	LeavingGetsNoNew
	StopCutsNothing
	ChangeInForce
)

var promiseNames = [...]string{
	FlowsSurvive:     "flowsSurvive",
	RightService:     "rightService",
	ColdSpared:       "coldSpared",
	OutIsSilent:      "outIsSilent",
	WholeOwnAnswer:   "wholeOwnAnswer",
	TrueRefusal:      "trueRefusal",
	AtMostOnce:       "atMostOnce",
	LeavingGetsNoNew: "leavingGetsNoNew",
	StopCutsNothing:  "stopCutsNothing",
	ChangeInForce:    "changeInForce",
}

// String returns the promise's name in camel case.
func (p Promise) String() string {
	if p > 0 && int(p) < len(promiseNames) {
		return promiseNames[p]
	}
	return "invalid"
}

// Promises lists the ten promises.
func Promises() []Promise {
	var out []Promise
	for p := FlowsSurvive; p <= ChangeInForce; p++ {
		out = append(out, p)
	}
	return out
}
