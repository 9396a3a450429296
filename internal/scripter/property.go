package scripter

import "flag"

// FixPropertyTests fixes the seed and the number of checks of the property tests of rapid, which
// defines the flags, unless the command line sets them. A failure writes no file, because its seed
// reproduces it. It must be called before the tests run.
func FixPropertyTests() {
	for name, value := range map[string]string{"rapid.seed": "21", "rapid.checks": "1000", "rapid.nofailfile": "true"} {
		_ = flag.Set(name, value) // fails only in a test without rapid
	}
	flag.Parse()
}
