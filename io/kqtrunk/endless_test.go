package kqtrunk_test

import (
	"encoding/binary"
	"net"
	"runtime"
	"testing"
	"time"

	"kumquatlink/io/kqtrunk"
)

// maxGrowth bounds the memory, in bytes, that announced but unsent frames may take.
const maxGrowth = 32 << 20

// TestAnnouncedFrameLengthAllocatesLittleMemory has many peers announce the largest
// frame and send only its first bytes, while calls of another peer are served. A
// server that allocates by the announced length would run out of memory.
func TestAnnouncedFrameLengthAllocatesLittleMemory(t *testing.T) {
	s := newThresholdServer(t)
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
		frame = append(frame, kindCall)
		frame = binary.BigEndian.AppendUint64(frame, 1)
		if _, err := c.Write(append(frame, "first bytes"...)); err != nil {
			t.Fatal(err)
		}
	}
	d := kqtrunk.NewDialer(kqtrunk.Handlers{})
	defer d.Close()
	growth := uint64(0)
	for begun := time.Now(); time.Since(begun) < 200*time.Millisecond; {
		if _, err := d.Call(testContext(t), s.Address(), kqtrunk.CallHead{RequestID: "a"}, nil); err != nil {
			t.Fatal(err)
		}
		runtime.ReadMemStats(&m)
		growth = max(growth, m.HeapAlloc-min(before, m.HeapAlloc))
	}
	if growth > maxGrowth {
		t.Errorf("heap: grew by %d bytes, want at most %d", growth, maxGrowth)
	}
}
