package kqroutes_test

import "flag"

// init fixes the seed of all property tests, so that every run draws the same
// inputs and has the same result.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
