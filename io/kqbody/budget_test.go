package kqbody_test

import (
	"context"
	"io"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatlink/io/kqbody"
)

const mebibyte = 1 << 20

// TestBodiesWaitForRoomInTheirOrder has a large body wait, and a smaller one behind it that
// would fit at once. Neither is overtaken, and a wait that is given up blocks nobody.
func TestBodiesWaitForRoomInTheirOrder(t *testing.T) {
	var shortages atomic.Int64
	budget := kqbody.NewBudget(4*mebibyte, kqbody.WithShortage(func() { shortages.Add(1) }))
	releaseFirst, err := budget.Reserve(3 * mebibyte)
	if err != nil || shortages.Load() != 0 {
		t.Fatalf("first body: got %v and %d shortages, want room and none", err, shortages.Load())
	}
	ctx, cancel := context.WithCancel(context.Background())
	await := func(ctx context.Context, bytes int) chan func() {
		done := make(chan func(), 1)
		missing := budget.Missing()
		go func() {
			release, err := budget.Await(ctx, bytes)
			if err != nil {
				release = nil
			}
			done <- release
		}()
		for budget.Missing() == missing {
			runtime.Gosched()
		}
		return done
	}
	givenUp := await(ctx, 4*mebibyte)
	second := await(context.Background(), 2*mebibyte)
	third := await(context.Background(), mebibyte)
	if _, err := budget.Reserve(mebibyte); !errors.Is(err, kqbody.ErrNoRoom) {
		t.Errorf("body beside others that wait: got %v, want %v", err, kqbody.ErrNoRoom)
	}
	cancel()
	if release := <-givenUp; release != nil {
		t.Error("wait that was given up: got room, want none")
	}
	select {
	case <-third:
		t.Fatal("third body: got room before the second one, want it to wait")
	default:
	}
	releaseFirst()
	for _, done := range []chan func(){second, third} {
		(<-done)()
	}
	if got := budget.InUse(); got != 0 {
		t.Errorf("in use at the end: got %d bytes, want 0", got)
	}
	if got := shortages.Load(); got != 4 {
		t.Errorf("shortages: got %d, want one for each of 4 bodies without room", got)
	}
}

// TestSharesDrawOnOneBudget fills a budget through one of its shares.
func TestSharesDrawOnOneBudget(t *testing.T) {
	whole := kqbody.NewBudget(4 * mebibyte)
	first := kqbody.NewBudget(3*mebibyte, kqbody.WithParent(whole))
	second := kqbody.NewBudget(3*mebibyte, kqbody.WithParent(whole))
	if _, err := first.Reserve(4 * mebibyte); !errors.Is(err, kqbody.ErrNoRoom) {
		t.Errorf("body beyond a share: got %v, want %v", err, kqbody.ErrNoRoom)
	}
	release, err := first.Reserve(3 * mebibyte)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := second.Reserve(2 * mebibyte); !errors.Is(err, kqbody.ErrNoRoom) || second.InUse() != 0 {
		t.Errorf("body beyond the whole budget: got %v and %d bytes in use of the share, want %v and none", err, second.InUse(), kqbody.ErrNoRoom)
	}
	if second.HasRoom(2*mebibyte) || !second.HasRoom(mebibyte) {
		t.Errorf("room for 2 MiB, for 1 MiB: got %t, %t, want false, true", second.HasRoom(2*mebibyte), second.HasRoom(mebibyte))
	}
	releaseCharge := second.Charge(2 * mebibyte)
	if got, want := whole.Excess(), 0.25; got != want {
		t.Errorf("excess: got %v, want %v", got, want)
	}
	releaseCharge()
	release()
	if whole.InUse() != 0 || first.InUse() != 0 || second.InUse() != 0 {
		t.Errorf("in use at the end: got %d, %d and %d bytes, want none", whole.InUse(), first.InUse(), second.InUse())
	}
}

// TestLoneBodyMayExceedTheBudget reads a body that is larger than the budget, first beside
// small ones and then beside a large one.
func TestLoneBodyMayExceedTheBudget(t *testing.T) {
	budget := kqbody.NewBudget(mebibyte, kqbody.WithLoneBodies())
	text := strings.Repeat("b", 2*mebibyte)
	small := budget.Charge(mebibyte / 8)
	body, release, err := budget.Hold(strings.NewReader(text), len(text), len(text))
	if err != nil || string(body) != text {
		t.Errorf("body beside small ones: got %d bytes and %v, want it whole", len(body), err)
	}
	if _, err := budget.Reserve(mebibyte); !errors.Is(err, kqbody.ErrNoRoom) {
		t.Errorf("body beside it: got %v, want %v", err, kqbody.ErrNoRoom)
	}
	release()
	small()
	other, err := budget.Reserve(mebibyte / 2)
	if err != nil {
		t.Fatal(err)
	}
	if _, release, err := budget.Hold(strings.NewReader(text), len(text), len(text)); !errors.Is(err, kqbody.ErrNoRoom) {
		t.Errorf("body beside a large one: got %v, want %v", err, kqbody.ErrNoRoom)
	} else {
		release()
	}
	other()
	if got := budget.InUse(); got != 0 {
		t.Errorf("in use at the end: got %d bytes, want 0", got)
	}
}

// TestReadingPausesForRoom reads a body while another one takes the budget, which is given
// back in one case and not in the other.
func TestReadingPausesForRoom(t *testing.T) {
	text := strings.Repeat("b", mebibyte)
	for _, isGivenBack := range []bool{true, false} {
		waits := make(chan struct{}, 8)
		budget := kqbody.NewBudget(2*mebibyte, kqbody.WithShortage(func() { waits <- struct{}{} }))
		release, err := budget.Reserve(2 * mebibyte)
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			<-waits
			<-waits
			if isGivenBack {
				release()
			} else {
				cancel()
			}
		}()
		body, releaseBody, err := budget.HoldPatiently(ctx, time.Minute, strings.NewReader(text), len(text), len(text))
		if isGivenBack && (err != nil || string(body) != text) {
			t.Errorf("body after a pause: got %d bytes and %v, want it whole", len(body), err)
		}
		if !isGivenBack && !errors.Is(err, kqbody.ErrNoRoom) {
			t.Errorf("body without room: got %v, want %v", err, kqbody.ErrNoRoom)
		}
		releaseBody()
		cancel()
	}
}

// TestGrowingBodyGoesFirst has a body wait that is larger than what others give back, and a
// growing one behind it, which holds memory: it must not wait for the former one.
func TestGrowingBodyGoesFirst(t *testing.T) {
	waits := make(chan struct{}, 8)
	budget := kqbody.NewBudget(4*mebibyte, kqbody.WithShortage(func() { waits <- struct{}{} }))
	release, err := budget.Reserve(3 * mebibyte)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	reader, writer := io.Pipe()
	text := strings.Repeat("b", mebibyte)
	read := make(chan error, 1)
	go func() {
		body, releaseBody, err := budget.HoldPatiently(ctx, time.Minute, reader, len(text), len(text))
		releaseBody()
		if err == nil && string(body) != text {
			err = errors.Newf("body of %d bytes, want %d", len(body), len(text))
		}
		read <- err
	}()
	// The body holds some 512 KB when its first half has been read, and waits for 1 MB.
	if _, err := io.WriteString(writer, text[:mebibyte/4]); err != nil {
		t.Fatal(err)
	}
	large := make(chan error, 1)
	go func() {
		_, err := budget.Await(ctx, 4*mebibyte)
		large <- err
	}()
	<-waits
	go func() {
		_, err := io.WriteString(writer, text[mebibyte/4:])
		_ = writer.CloseWithError(err)
	}()
	<-waits
	<-waits
	release()
	select {
	case err = <-read:
	case <-time.After(10 * time.Second):
		err = errors.New("it waits for room")
	}
	if err != nil {
		t.Errorf("growing body with room for it: got %v, want it whole", err)
	}
	cancel()
	<-large
}

// TestNoWaitIsMissed has many bodies wait while others are given back at the same time. A
// wait that is not granted would last until the test ends.
func TestNoWaitIsMissed(t *testing.T) {
	const goroutines, rounds = 8, 2000
	budget := kqbody.NewBudget(mebibyte)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	done := make(chan error, goroutines)
	for range goroutines {
		go func() {
			for range rounds {
				release, err := budget.Await(ctx, mebibyte/2)
				if err != nil {
					done <- err
					return
				}
				budget.Add(1)
				release()
				budget.Add(-1)
			}
			done <- nil
		}()
	}
	for range goroutines {
		if err := <-done; err != nil {
			t.Fatalf("wait beside bodies that are given back: got %v, want room", err)
		}
	}
	if got := budget.InUse(); got != 0 {
		t.Errorf("in use at the end: got %d bytes, want 0", got)
	}
	if got := testing.AllocsPerRun(100, func() { budget.Add(1); budget.Add(-1) }); got != 0 {
		t.Errorf("allocations to count a request: got %v, want none", got)
	}
}
