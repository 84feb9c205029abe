package kqtrunk_test

import (
	"encoding/binary"
	"net"
	"runtime"
	"testing"
	"time"

	"kumquatlink/io/kqtrunk"
)

// announcedMemory is what the frames that endless peers announce may take.
const announcedMemory = 32 << 20

// TestFrameThatNeverComesTakesNoMemory has many peers announce the largest
// frame and send its first bytes only, while another one is served.
func TestFrameThatNeverComesTakesNoMemory(t *testing.T) {
	s := telling(t)
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	before := m.HeapAlloc
	for range 50 {
		c, err := net.Dial("tcp", s.Address())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		frame := binary.BigEndian.AppendUint32(nil, kqtrunk.MaxFrameBytes)
		frame = append(frame, formerCall)
		frame = binary.BigEndian.AppendUint64(frame, 1)
		if _, err := c.Write(append(frame, "first bytes"...)); err != nil {
			t.Fatal(err)
		}
	}
	d := kqtrunk.NewDialer(kqtrunk.Handlers{})
	defer d.Close()
	most := uint64(0)
	for begun := time.Now(); time.Since(begun) < 200*time.Millisecond; {
		if _, err := d.Call(patient(t), s.Address(), kqtrunk.CallHead{RequestID: "a"}, nil); err != nil {
			t.Fatal(err)
		}
		runtime.ReadMemStats(&m)
		most = max(most, m.HeapAlloc-min(before, m.HeapAlloc))
	}
	if most > announcedMemory {
		t.Errorf("memory: grew by %d bytes, want at most %d", most, announcedMemory)
	}
}
