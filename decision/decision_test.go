package decision

import "fmt"

func ExampleFunc() {
	double := func(n int) int { return 2 * n }
	var f Func[int, int]
	fmt.Println(f.Or(double, 3))
	f = func(n int) int { return n * n }
	fmt.Println(f.Or(double, 3))
	// Output:
	// 6
	// 9
}
