// Package kqobject is an in-memory stand-in for the platform's object API, for
// tests and trials. It has objects with versions, conditional updates and
// watches, and injects the faults that the real API has.
//
// # Usage
//
//	store := kqobject.New()
//	err := store.Listen("127.0.0.1:0")
//	store.SetFaults(kqobject.Faults{Down: true})
//
// Paths follow the Kubernetes conventions: GET, PUT and DELETE of
// /apis/GROUP/VERSION/KIND[/NAME]. A GET with ?watch=1&resourceVersion=N returns
// a stream of JSON events, one a line. A write with a stale version is answered
// with 409, and a watch from a version that the store does not have with 410.
// Every answer names in its Store-Era header how often the store was restored
// from a copy. A PUT of /faults with the JSON form of [Faults] injects faults from
// another process, and a GET of it returns [Counts].
package kqobject

import (
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// MaxValueBytes is the maximum size of one object.
const MaxValueBytes = 1 << 20

// historyLength is the number of past events from which a watch can resume.
const historyLength = 1024

// copyTime is how long ago a copy for RestoreAge may have been taken.
const copyTime = 30 * time.Second

// Metadata identifies an object and its version.
type Metadata struct {
	Name            string `json:"name"`
	ResourceVersion string `json:"resourceVersion,omitempty"`
}

// Object is one object of the API.
type Object struct {
	Metadata Metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
}

// Event is one change that a watch reports. Its type is "ADDED", "MODIFIED" or
// "DELETED".
type Event struct {
	Type   string `json:"type"`
	Object Object `json:"object"`
}

// Faults are the faults that a [Store] injects. The zero value injects none.
type Faults struct {
	// Down answers every call with status 503 and ends every watch.
	Down bool
	// Delay delays every call by this time.
	Delay time.Duration
	// LoseAnswers is the number of puts that are processed but whose connection
	// is closed without an answer.
	LoseAnswers int
	// CutWatches ends every watch and refuses new ones with status 503.
	CutWatches bool
	// SilentWatches keeps every watch open but sends no events, only the blank
	// lines of an idle watch.
	SilentWatches bool
	// LateWrites is the number of puts that are not answered. Each is processed
	// only after LateBy, if its version still matches then.
	LateWrites int
	LateBy     time.Duration
	// RestoreAge restores the store once, when the faults are set, from a copy
	// that was taken that long ago, up to half a minute.
	RestoreAge time.Duration
}

// Counts are the numbers of calls since the start. Calls that fail because of
// Down are not counted.
type Counts struct {
	Reads   int64
	Writes  int64
	Watches int64
}

// historyEntry is a past event with the version at which it occurred.
type historyEntry struct {
	kind    string
	version int64
	event   Event
}

// Store holds objects in memory and serves the object API.
type Store struct {
	mutex sync.Mutex
	// changed is closed and replaced when objects or faults change.
	changed chan struct{}
	// era is one more than the number of restores. Watches of an earlier era end.
	era     int64
	version int64
	objects map[string]Object
	history []historyEntry
	// copies are snapshots after each change of the last copyTime, and the last
	// one before.
	copies  []timedCopy
	faults  Faults
	counts  Counts
	server  *fasthttp.Server
	address string
}

// New returns an empty store. It serves no calls before [Store.Listen].
func New() *Store {
	return &Store{changed: make(chan struct{}), objects: map[string]Object{}, era: 1}
}

// SetFaults replaces the faults that the store injects.
func (s *Store) SetFaults(f Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if f.RestoreAge > 0 {
		s.restore(s.copyAt(time.Now().Add(-f.RestoreAge)))
		f.RestoreAge = 0
	}
	s.faults = f
	s.notifyWatches()
}

// Snapshot is a copy of all objects, for [Store.Restore].
type Snapshot struct {
	version int64
	objects map[string]Object
	history []historyEntry
}

// timedCopy is a snapshot with the time at which it was taken.
type timedCopy struct {
	at       time.Time
	snapshot Snapshot
}

// Backup returns a snapshot of all objects.
func (s *Store) Backup() Snapshot {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.snapshot()
}

func (s *Store) snapshot() Snapshot {
	return Snapshot{version: s.version, objects: maps.Clone(s.objects), history: slices.Clone(s.history)}
}

// Restore replaces all objects and the version of the store by those of a
// snapshot, and ends all watches. It stands for a restore from a backup after a
// loss of data: later changes get versions that were given out before.
func (s *Store) Restore(c Snapshot) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.restore(c)
	s.notifyWatches()
}

func (s *Store) restore(c Snapshot) {
	s.version, s.objects, s.history = c.version, maps.Clone(c.objects), slices.Clone(c.history)
	if s.objects == nil {
		s.objects = map[string]Object{}
	}
	s.copies = []timedCopy{{at: time.Now(), snapshot: c}}
	s.era++
}

// copyAt returns the newest copy that was taken at that time or before, or the
// oldest one.
func (s *Store) copyAt(at time.Time) Snapshot {
	var found Snapshot
	for i, c := range s.copies {
		if i == 0 || !c.at.After(at) {
			found = c.snapshot
		}
	}
	return found
}

// recordCopy keeps a copy of the changed objects, and drops those that are too
// old for a restore.
func (s *Store) recordCopy() {
	now := time.Now()
	for len(s.copies) > 1 && now.Sub(s.copies[1].at) > copyTime {
		s.copies = s.copies[1:]
	}
	s.copies = append(s.copies, timedCopy{at: now, snapshot: s.snapshot()})
}

// Counts returns the numbers of calls so far.
func (s *Store) Counts() Counts {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.counts
}

// Address returns the address that the store listens on.
func (s *Store) Address() string {
	return s.address
}

// notifyWatches makes every watch check for new events and faults. The caller
// holds the mutex.
func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// path is a parsed request path. The name is empty in a path of a whole kind.
type path struct {
	kind string
	name string
}

func parsePath(text string) (path, bool) {
	parts := strings.Split(strings.Trim(text, "/"), "/")
	if len(parts) < 4 || len(parts) > 5 || parts[0] != "apis" {
		return path{}, false
	}
	p := path{kind: strings.Join(parts[1:4], "/")}
	if len(parts) == 5 {
		p.name = parts[4]
	}
	return p, true
}

// key returns the key of the object in Store.objects.
func (p path) key() string {
	return p.kind + "/" + p.name
}

func (s *Store) get(p path) (Object, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.counts.Reads++
	o, found := s.objects[p.key()]
	return o, found
}

// list returns the objects of a kind and the version of the whole store.
func (s *Store) list(p path) ([]Object, string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.counts.Reads++
	var objects []Object
	for key, o := range s.objects {
		if strings.HasPrefix(key, p.kind+"/") {
			objects = append(objects, o)
		}
	}
	return objects, strconv.FormatInt(s.version, 10)
}

// remove deletes an object if its version matches the stored one.
func (s *Store) remove(p path, version string) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.counts.Writes++
	stored, found := s.objects[p.key()]
	if !found || stored.Metadata.ResourceVersion != version {
		return errStale
	}
	s.version++
	stored.Metadata.ResourceVersion = strconv.FormatInt(s.version, 10)
	delete(s.objects, p.key())
	s.history = append(s.history, historyEntry{kind: p.kind, version: s.version, event: Event{Type: "DELETED", Object: stored}})
	s.recordCopy()
	s.notifyWatches()
	return nil
}

var errStale = errors.New("stale version")

// put writes an object if its version matches the stored one. With an empty
// version, it writes the object only if it does not exist. On a mismatch, it
// returns the stored object and errStale.
func (s *Store) put(p path, o Object) (Object, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.counts.Writes++
	stored, found := s.objects[p.key()]
	if stored.Metadata.ResourceVersion != o.Metadata.ResourceVersion {
		return stored, errStale
	}
	s.version++
	o.Metadata = Metadata{Name: p.name, ResourceVersion: strconv.FormatInt(s.version, 10)}
	s.objects[p.key()] = o
	eventType := "MODIFIED"
	if !found {
		eventType = "ADDED"
	}
	s.history = append(s.history, historyEntry{kind: p.kind, version: s.version, event: Event{Type: eventType, Object: o}})
	if len(s.history) > historyLength {
		s.history = s.history[len(s.history)-historyLength:]
	}
	s.recordCopy()
	s.notifyWatches()
	return o, nil
}
