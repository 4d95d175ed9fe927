// Package decision lets trials and tests put another decision in the place of one of the product's.
package decision

// Func is a decision that can be exchanged. Its zero value stands for the product's.
type Func[In, Out any] func(In) Out

// Or decides by f, or by the product's decision if f is nil.
func (f Func[In, Out]) Or(product func(In) Out, in In) Out {
	if f == nil {
		return product(in)
	}
	return f(in)
}
