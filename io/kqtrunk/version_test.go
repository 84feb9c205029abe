package kqtrunk_test

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"kumquatlink/core/kqcall"
	"kumquatlink/io/kqtrunk"
)

// formerCut, formerLoad and formerAnswer are the heads of nodes from before a
// cut named its service. They read arrays of just this length.
type formerCut struct {
	_        struct{} `cbor:",toarray"`
	Class    string
	Withheld uint64
	Age      time.Duration
}

type formerLoad struct {
	_        struct{} `cbor:",toarray"`
	InFlight int
	Queued   int
	Limit    int
	Withheld uint64
	Deep     []formerCut
}

type formerAnswer struct {
	_             struct{} `cbor:",toarray"`
	End           kqcall.End
	Status        int
	Headers       []kqtrunk.Header
	Load          formerLoad
	ServerID      string
	Onward        int
	Queue         time.Duration
	Run           time.Duration
	RoutesVersion int64
}

// Kinds of frames that former nodes know; they close the connection on others.
const (
	formerCall   = 1
	formerReply  = 2
	formerPong   = 6
	formerPrefix = 13
)

// rawFrame is a frame as it stands on the wire.
func rawFrame(kind byte, number uint64, head, body []byte) []byte {
	frame := binary.BigEndian.AppendUint32(nil, uint32(len(head)+len(body)+4))
	frame = append(frame, kind)
	frame = binary.BigEndian.AppendUint64(frame, number)
	frame = binary.BigEndian.AppendUint32(frame, uint32(len(head)))
	return append(append(frame, head...), body...)
}

func writeFormer(t *testing.T, c net.Conn, kind byte, number uint64, head any) {
	t.Helper()
	data, err := cbor.Marshal(head)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.Write(rawFrame(kind, number, data, nil)); err != nil {
		t.Fatal(err)
	}
}

// readFormer reads frames up to the next that isn't a pong, and gives its kind,
// number and head.
func readFormer(t *testing.T, c net.Conn) (kind byte, number uint64, head []byte) {
	t.Helper()
	for {
		prefix := make([]byte, formerPrefix)
		if _, err := io.ReadFull(c, prefix); err != nil {
			t.Fatal(err)
		}
		payload := make([]byte, binary.BigEndian.Uint32(prefix))
		if _, err := io.ReadFull(c, payload); err != nil {
			t.Fatal(err)
		}
		switch kind = prefix[4]; kind {
		case formerCall, formerReply:
			return kind, binary.BigEndian.Uint64(prefix[5:]), payload[4 : 4+binary.BigEndian.Uint32(payload)]
		case formerPong:
		default:
			t.Fatalf("frame: got kind %d, which former nodes don't know", kind)
		}
	}
}

var toldCut = kqtrunk.ClassThreshold{Class: "browse", Withheld: 7, Age: time.Second, Service: "stock"}

// telling is a node whose answers tell of a cut.
func telling(t *testing.T) *kqtrunk.Server {
	t.Helper()
	s, err := kqtrunk.Listen("127.0.0.1:0", kqtrunk.Handlers{
		Call: func(context.Context, string, kqtrunk.CallHead, []byte) (kqtrunk.AnswerHead, []byte) {
			return kqtrunk.AnswerHead{End: kqcall.Ran(), Status: 200, Load: kqtrunk.Load{Limit: 9, Deep: []kqtrunk.ClassThreshold{toldCut}}}, nil
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	return s
}

// TestFormerNodeReadsAnAnswerThatTellsOfACut upgrades the called node first.
func TestFormerNodeReadsAnAnswerThatTellsOfACut(t *testing.T) {
	c, err := net.Dial("tcp", telling(t).Address())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(testPatience)); err != nil {
		t.Fatal(err)
	}
	writeFormer(t, c, formerCall, 3, kqtrunk.CallHead{RequestID: "a"})
	kind, number, head := readFormer(t, c)
	if kind != formerReply || number != 3 {
		t.Fatalf("frame: got kind %d of call %d, want an answer to call 3", kind, number)
	}
	var got formerAnswer
	if err := cbor.Unmarshal(head, &got); err != nil {
		t.Fatal(err)
	}
	want := formerCut{Class: toldCut.Class, Withheld: toldCut.Withheld, Age: toldCut.Age}
	if len(got.Load.Deep) != 1 || got.Load.Deep[0] != want {
		t.Errorf("cuts: got %+v, want %+v", got.Load.Deep, want)
	}
}

// TestAnswerOfAFormerNodeIsRead upgrades the calling node first.
func TestAnswerOfAFormerNodeIsRead(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	d := kqtrunk.NewDialer(kqtrunk.Handlers{}, kqtrunk.WithCompression(func(string) bool { return true }))
	defer d.Close()
	answered := make(chan *kqtrunk.Answer, 1)
	go func() {
		a, err := d.Call(patient(t), l.Addr().String(), kqtrunk.CallHead{RequestID: "a"}, nil)
		if err != nil {
			t.Error(err)
		}
		answered <- a
	}()
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(testPatience)); err != nil {
		t.Fatal(err)
	}
	_, number, _ := readFormer(t, c)
	cut := formerCut{Class: "browse", Withheld: 7, Age: time.Second}
	writeFormer(t, c, formerReply, number, formerAnswer{End: kqcall.Ran(), Status: 200, Load: formerLoad{Deep: []formerCut{cut}}})
	a := <-answered
	if a == nil {
		t.FailNow()
	}
	if want := (kqtrunk.ClassThreshold{Class: "browse", Withheld: 7, Age: time.Second}); len(a.Head.Load.Deep) != 1 || a.Head.Load.Deep[0] != want {
		t.Errorf("cuts: got %+v, want %+v", a.Head.Load.Deep, want)
	}
}

// TestNodesThatKnowTheServiceOfACutTellIt asks until the peer's version came,
// which may be after the first answer.
func TestNodesThatKnowTheServiceOfACutTellIt(t *testing.T) {
	s := telling(t)
	d := kqtrunk.NewDialer(kqtrunk.Handlers{})
	defer d.Close()
	ctx := patient(t)
	for {
		a, err := d.Call(ctx, s.Address(), kqtrunk.CallHead{RequestID: "a"}, nil)
		if err != nil {
			t.Fatal(err)
		}
		if a.Head.Load.Deep[0] == toldCut {
			return
		}
	}
}

func TestCutOfALaterVersionIsRead(t *testing.T) {
	data, err := cbor.Marshal([]any{toldCut.Class, toldCut.Withheld, toldCut.Age, toldCut.Service, "later"})
	if err != nil {
		t.Fatal(err)
	}
	var got kqtrunk.ClassThreshold
	if err := cbor.Unmarshal(data, &got); err != nil {
		t.Fatal(err)
	}
	if got != toldCut {
		t.Errorf("cut: got %+v, want %+v", got, toldCut)
	}
	if err := cbor.Unmarshal([]byte{0x82, 0x61, 'a', 1}, &got); err == nil {
		t.Error("cut of two fields: got no error")
	}
}

// TestNewsGoOnlyToNodesThatKnowThem announces to a node that never says which
// frames it knows, and to one that does.
func TestNewsGoOnlyToNodesThatKnowThem(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	accepted := make(chan net.Conn, 1)
	go func() {
		if c, err := l.Accept(); err == nil {
			accepted <- c
		}
	}()
	heard := make(chan string, 1)
	s, err := kqtrunk.Listen("127.0.0.1:0", kqtrunk.Handlers{Update: func(_ string, payload []byte, _ func([]byte)) { heard <- string(payload) }})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	d := kqtrunk.NewDialer(kqtrunk.Handlers{})
	defer d.Close()
	d.Warm(l.Addr().String())
	former := <-accepted
	defer former.Close()
	for !d.Connected(l.Addr().String()) {
		runtime.Gosched()
	}
	if err := d.SendUpdate(l.Addr().String(), []byte("news")); !errors.Is(err, kqtrunk.ErrNotSent) {
		t.Errorf("news to a former node: got %v, want an error marked ErrNotSent", err)
	}
	d.Warm(s.Address())
	for d.SendUpdate(s.Address(), []byte("news")) != nil {
		runtime.Gosched()
	}
	if got := <-heard; got != "news" {
		t.Errorf("news: got %q, want %q", got, "news")
	}
}
