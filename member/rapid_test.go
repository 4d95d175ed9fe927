package member

import "flag"

// Fixes the seed of rapid's generators and keeps rapid from writing files about failed
// tests, unless the command line sets these flags.
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}
