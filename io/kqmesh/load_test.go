package kqmesh

import "testing"

func TestFiguresOfLoadHeaders(t *testing.T) {
	for header, want := range map[string][2]int{
		"3,0,8": {8, 0}, "3, 0, 8": {8, 0}, "3,0,8,137": {8, 137}, "3,0,8, 55 ": {8, 55}, "3,0,8,137,later": {8, 137},
		"": {}, "3,0": {}, "a,b,c,d": {}, "3,0,-8,-1": {}, "3,0,,": {},
	} {
		if got := [2]int{statedSlots(header), statedStretch(header)}; got != want {
			t.Errorf("%q: got slots and stretch %v, want %v", header, got, want)
		}
	}
}
