package strictjson_test

import (
	"fmt"

	"github.com/cornelbay/cornelbay/strictjson"
)

func ExampleDecode() {
	var v struct {
		Name  string   `json:"name"`
		Ports []uint16 `json:"ports"`
	}
	errs := strictjson.Decode([]byte(`{"name": "a", "name": "b", "ports": [80, 70000], "port": 1}`), &v)
	fmt.Println(errs)
	// Output:
	// name: duplicate key
	// ports[1]: got 70000, expected a whole number from 0 to 65535
	// port: unknown key
}
