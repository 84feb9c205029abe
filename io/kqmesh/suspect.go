package kqmesh

import (
	"context"
	"encoding/hex"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"kumquatlink/core/kqcall"
	"kumquatlink/core/kqserver"
	"kumquatlink/core/kqsuspect"
	"kumquatlink/io/kqlog"
	"kumquatlink/io/kqmetric"
	"kumquatlink/io/kqtrunk"
)

// Settings for requests that crash backend servers. See docs/design/deadly-requests.md.
const (
	// crashProbeTimeout bounds the attempt to connect that tells a server that has
	// ended from a connection that has. Both ends are on this host.
	crashProbeTimeout = 200 * time.Millisecond
	// reportWait is how long the answers to lost calls wait until the gates to
	// which they may be repeated know of the crash. The farthest are 40 ms away.
	reportWait = 60 * time.Millisecond
	// clearDelay is how long a gate collects cleared requests for one report.
	clearDelay = 50 * time.Millisecond
	// maxWaitingSuspects is how many calls wait for the suspect that runs.
	maxWaitingSuspects = 32
	// maxLostRuns is how many calls are remembered that were lost with a server that
	// still took connections, and lostRunTime for how long. A server that is started
	// again at once reports itself within that time.
	maxLostRuns = 64
	lostRunTime = 3 * time.Second
)

// callerHeaders are the header fields that tell the caller of a request. They are
// part of what makes two requests the same.
var callerHeaders = []string{fasthttp.HeaderAuthorization, fasthttp.HeaderCookie}

// fingerprintsOf returns the fingerprints of a request, whatever its ID, from the widest
// to the narrowest. The first one tells callers apart by team and credentials, the second
// one also by the service beside the entry, and the last one by all header fields: nobody
// but the servers knows what else tells one caller from another.
func (n *Node) fingerprintsOf(head kqtrunk.CallHead, body []byte) []kqsuspect.Fingerprint {
	parts := [][]byte{[]byte(head.Method), []byte(head.Host), []byte(head.Path), body}
	for _, name := range callerHeaders {
		parts = append(parts, []byte(fieldOf(head.Headers, name)))
	}
	if team := fieldOf(head.Headers, n.dialect.Headers.Team); team != "" {
		parts = append(parts, []byte(team))
	}
	wide := kqsuspect.FingerprintOf(parts...)
	byService := kqsuspect.FingerprintOf(wide[:], []byte(head.From))
	fields := make([]string, 0, len(head.Headers))
	for _, f := range head.Headers {
		fields = append(fields, strings.ToLower(f.Name)+":"+f.Value)
	}
	slices.Sort(fields)
	parts = [][]byte{byService[:]}
	for _, f := range fields {
		parts = append(parts, []byte(f))
	}
	return []kqsuspect.Fingerprint{wide, byService, kqsuspect.FingerprintOf(parts...)}
}

// fieldOf returns the values of a header field, joined, or an empty text.
func fieldOf(headers []kqtrunk.Header, name string) string {
	value := ""
	for _, f := range headers {
		if strings.EqualFold(f.Name, name) {
			value += f.Value
		}
	}
	return value
}

// suspects keeps a gate's backend server from requests that crash it. Which requests
// those are it learns from its own server and from the other gates.
type suspects struct {
	node *Node

	mutex sync.Mutex
	table *kqsuspect.Table
	// running holds the calls that the backend server runs, or was lost with while
	// that is examined.
	running map[*suspectRun]bool
	// suspectRuns reports whether a suspect runs, and waiting how many calls wait
	// for its end. changed is closed when it ends, or when a request is cleared.
	suspectRuns bool
	waiting     int
	changed     chan struct{}
	// examination is the one under way, or nil. examined is the start of the server
	// that was last found to have crashed.
	examination *examination
	examined    kqserver.Notice
	// lost are calls that were lost while the server took connections: either a
	// connection has ended, or the server and another start of it is there already.
	lost []lostRun
	// cleared are requests of which the other gates are told after clearDelay.
	cleared []kqsuspect.Fingerprint
}

// suspectRun is a call that the backend server runs.
type suspectRun struct {
	head   kqtrunk.CallHead
	body   []byte
	server kqserver.Notice
	begun  time.Duration
}

// lostRun is a call that was lost with a server that may have crashed. It does not
// hold the call's body.
type lostRun struct {
	server       kqserver.Notice
	fingerprints []kqsuspect.Fingerprint
	repeat       bool
	begun        time.Duration
	lostAt       time.Duration
}

// lostRunOf returns the run of a request with these fingerprints that was lost.
func lostRunOf(fingerprints []kqsuspect.Fingerprint, ran time.Duration, isRepeat bool) kqsuspect.Run {
	return kqsuspect.Run{Fingerprint: fingerprints[0], Narrower: fingerprints[1:], Ran: ran, Repeat: isRepeat}
}

// examination finds out whether a backend server has crashed. done is closed at its
// end, when crashed is known and the other gates have been told.
type examination struct {
	server  kqserver.Notice
	done    chan struct{}
	crashed bool
}

func newSuspects(n *Node) *suspects {
	return &suspects{node: n, table: kqsuspect.New(), running: map[*suspectRun]bool{}, changed: make(chan struct{})}
}

// admit returns the end of a call that is convicted, and otherwise nil and a function
// to be called when the call has ended. A suspect waits until no other one runs.
func (k *suspects) admit(ctx context.Context, head kqtrunk.CallHead, body []byte) (*callAnswer, func()) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.table.Empty() {
		return nil, func() {}
	}
	fingerprints := k.node.fingerprintsOf(head, body)
	for {
		stateChanged := k.node.control.changed()
		if cause := k.node.gate.refusalCause(k.node.State(), head.Service); cause != "" {
			return endOnly(kqcall.NotRun(cause)), nil
		}
		j := k.table.Judge(k.node.clock(), fingerprints...)
		switch {
		case j.Verdict == kqsuspect.Cleared:
			return nil, func() {}
		case j.Verdict == kqsuspect.Convicted:
			k.node.metrics.Count(kqmetric.DeadlyRefused, head.Service)
			o := endOnly(kqcall.NotRun(kqcall.CauseCrashesServers))
			o.head.End.RetryAfter = kqsuspect.ConvictionTime
			o.shedBy.Age = j.Age
			return o, nil
		case !k.suspectRuns:
			k.suspectRuns = true
			return nil, k.suspectEnded
		case k.waiting >= maxWaitingSuspects:
			return endOnly(kqcall.NotRun(kqcall.CauseShedGate)), nil
		}
		if !k.awaitChange(ctx, stateChanged) {
			return endOnly(kqcall.NotRun(causeOfContext(ctx))), nil
		}
	}
}

// awaitChange waits until the suspect that runs has ended, a request is cleared or the
// channel is closed, and reports whether that was before the end of ctx. The mutex
// is held, and released meanwhile.
func (k *suspects) awaitChange(ctx context.Context, stateChanged <-chan struct{}) bool {
	changed := k.changed
	k.waiting++
	k.mutex.Unlock()
	defer func() {
		k.mutex.Lock()
		k.waiting--
	}()
	select {
	case <-changed:
		return true
	case <-stateChanged:
		return true
	case <-ctx.Done():
		return false
	}
}

// waitingCalls returns the number of calls that wait for other suspects.
func (k *suspects) waitingCalls() int {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.waiting
}

func (k *suspects) suspectEnded() {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.suspectRuns = false
	k.wake()
}

// wake wakes the calls that wait. The mutex is held.
func (k *suspects) wake() {
	close(k.changed)
	k.changed = make(chan struct{})
}

// begin records that a call is handed to the backend server.
func (k *suspects) begin(head kqtrunk.CallHead, body []byte, server kqserver.Notice) *suspectRun {
	r := &suspectRun{head: head, body: body, server: server, begun: k.node.clock()}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.running[r] = true
	return r
}

// end records how a call ended that was handed to the backend server. If the server
// has crashed, end returns when the other gates of the service know it.
func (k *suspects) end(r *suspectRun, end kqcall.End) {
	if end.Outcome == kqcall.OutcomeUnknown && end.Cause == kqcall.CauseBackendLost {
		k.examine(r)
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	delete(k.running, r)
	if end.Outcome != kqcall.OutcomeRan || k.table.Empty() {
		return
	}
	cleared := k.table.RecordAnswer(k.node.fingerprintsOf(r.head, r.body)...)
	if len(cleared) == 0 {
		return
	}
	k.wake()
	k.node.logEvent(eventSuspectCleared, "request "+r.head.RequestID+", lost with a server before, was answered: it is no suspect", nil,
		kqlog.Text(fieldRequest, r.head.RequestID), kqlog.Text(fieldFingerprint, hex.EncodeToString(cleared[0][:])))
	if len(k.cleared) == 0 {
		time.AfterFunc(clearDelay, k.tellCleared)
	}
	k.cleared = append(k.cleared, cleared...)
}

// tellCleared tells the other gates of the service which requests are cleared.
func (k *suspects) tellCleared() {
	k.mutex.Lock()
	r := suspectReport{Cleared: k.cleared}
	k.cleared = nil
	k.mutex.Unlock()
	k.tell(k.serviceGates(), r)
}

// examine finds out whether the backend server has crashed under a lost call. One
// examination serves all calls that are lost with it, and none of them returns before
// the other gates know of the crash: a call may be repeated at any of them.
func (k *suspects) examine(r *suspectRun) {
	e, wasCrash := k.beginExamination(r)
	if e == nil {
		if !wasCrash {
			k.mutex.Lock()
			k.rememberLost(r)
			k.mutex.Unlock()
		}
		return
	}
	defer func() {
		k.mutex.Lock()
		k.examination = nil
		k.mutex.Unlock()
		close(e.done)
	}()
	state := k.node.State()
	e.crashed = state.ServerState == kqserver.Ready && !state.Leaving && k.hasEnded()
	k.mutex.Lock()
	if !e.crashed {
		k.rememberLost(r)
		k.mutex.Unlock()
		return
	}
	now := k.node.clock()
	var runs []kqsuspect.Run
	for o := range k.running {
		if o.server.ServerID == r.server.ServerID {
			runs = append(runs, lostRunOf(k.node.fingerprintsOf(o.head, o.body), now-o.begun, o.head.Repeat))
		}
	}
	k.recordCrash(r.server, now, runs)
}

// beginExamination begins the examination of the server with which a call was lost. If
// one of the same start has been made, it returns nil when that is over, and so when the
// other gates know of the crash, and whether it was one.
func (k *suspects) beginExamination(r *suspectRun) (e *examination, wasCrash bool) {
	for {
		k.mutex.Lock()
		current := k.examination
		if current == nil {
			break
		}
		k.mutex.Unlock()
		<-current.done
		if isSameStart(current.server, r.server) {
			return nil, current.crashed
		}
	}
	defer k.mutex.Unlock()
	if isSameStart(k.examined, r.server) {
		return nil, true
	}
	k.examination = &examination{server: r.server, done: make(chan struct{})}
	return k.examination, false
}

// rememberLost remembers a call that was lost while its server took connections. The
// mutex is held.
func (k *suspects) rememberLost(r *suspectRun) {
	now := k.node.clock()
	k.lost = slices.DeleteFunc(k.lost, func(l lostRun) bool { return now-l.lostAt > lostRunTime })
	if len(k.lost) < maxLostRuns {
		k.lost = append(k.lost, lostRun{server: r.server, fingerprints: k.node.fingerprintsOf(r.head, r.body), repeat: r.head.Repeat, begun: r.begun, lostAt: now})
	}
}

// serverReplaced records a crash if calls were lost with a server, in place of which
// another start has reported itself, and it had not announced its end. Such a server
// may be back before an examination of the first crash can tell.
func (k *suspects) serverReplaced(former kqserver.Notice) {
	k.mutex.Lock()
	now := k.node.clock()
	var runs []kqsuspect.Run
	for _, l := range k.lost {
		if isSameStart(l.server, former) && now-l.lostAt <= lostRunTime {
			runs = append(runs, lostRunOf(l.fingerprints, now-l.begun, l.repeat))
		}
	}
	if len(runs) == 0 || isSameStart(k.examined, former) {
		k.lost = nil
		k.mutex.Unlock()
		return
	}
	// Calls that still run may have been handed to the new start already.
	k.recordCrash(former, now, runs)
}

// isSameStart reports whether two notices are of the same start of a server.
func isSameStart(a, b kqserver.Notice) bool {
	return a.ServerID == b.ServerID && a.Born == b.Born
}

// recordCrash records the crash of a server under calls, and tells the other gates. The
// mutex is held, and released.
func (k *suspects) recordCrash(server kqserver.Notice, now time.Duration, runs []kqsuspect.Run) {
	k.examined, k.lost = server, nil
	convicted := k.table.RecordCrash(now, runs)
	k.mutex.Unlock()
	k.node.metrics.Count(kqmetric.ServerCrashes)
	k.node.logEvent(eventServerCrashed, fmt.Sprintf("server %s has ended without notice while it ran %d requests", server.ServerID, len(runs)), nil,
		kqlog.Text(fieldServer, server.ServerID), kqlog.Number("Runs", int64(len(runs))))
	k.logConvicted(convicted, "own server "+server.ServerID)
	k.report(suspectReport{ServerID: server.ServerID, Runs: runs}, convicted)
}

// hasEnded reports whether nothing listens at the address of the backend server.
func (k *suspects) hasEnded() bool {
	conn, err := net.DialTimeout("tcp", k.node.settings.BackendAddress, crashProbeTimeout)
	if err == nil {
		_ = conn.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// logConvicted logs the requests that a crash has convicted.
func (k *suspects) logConvicted(convicted []kqsuspect.Fingerprint, source string) {
	for _, f := range convicted {
		text := hex.EncodeToString(f[:])
		k.node.logEvent(eventRequestConvicted, fmt.Sprintf("request with fingerprint %s is refused from now on: %d servers have crashed while they ran it", text, kqsuspect.ConvictingCrashes), nil,
			kqlog.Text(fieldFingerprint, text), kqlog.Text(fieldSource, source))
	}
}

// suspectReport is what gates tell each other about requests. It is the body of a
// request for a gate's load, which nodes of former builds do not look at.
type suspectReport struct {
	// Runs are the requests that the server ServerID ran when it crashed.
	ServerID string
	Runs     []kqsuspect.Run
	// Cleared are requests that a server has answered.
	Cleared []kqsuspect.Fingerprint
	// Records are what the sender holds of requests; Ask asks for all of them.
	Records []kqsuspect.Record
	Ask     bool
}

// isEmpty reports whether the report says nothing and asks nothing.
func (r suspectReport) isEmpty() bool {
	return len(r.Runs) == 0 && len(r.Cleared) == 0 && len(r.Records) == 0 && !r.Ask
}
