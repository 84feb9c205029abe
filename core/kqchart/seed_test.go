package kqchart_test

import "flag"

// init fixes the seed of all property tests, so that every run checks the same
// cases.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
