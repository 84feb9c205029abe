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
// with 409, and a watch from a version that is too old with 410. A PUT of
// /faults with the JSON form of [Faults] injects faults from another process,
// and a GET of it returns [Counts].
package kqobject

import (
	"encoding/json"
	"maps"
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
	// epoch is the number of restores. Watches from an earlier epoch end.
	epoch   int
	version int64
	objects map[string]Object
	history []historyEntry
	faults  Faults
	counts  Counts
	server  *fasthttp.Server
	address string
}

// New returns an empty store. It serves no calls before [Store.Listen].
func New() *Store {
	return &Store{changed: make(chan struct{}), objects: map[string]Object{}}
}

// SetFaults replaces the faults that the store injects.
func (s *Store) SetFaults(f Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = f
	s.notifyWatches()
}

// Snapshot is a copy of all objects, for [Store.Restore].
type Snapshot struct {
	version int64
	objects map[string]Object
}

// Backup returns a snapshot of all objects.
func (s *Store) Backup() Snapshot {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return Snapshot{version: s.version, objects: maps.Clone(s.objects)}
}

// Restore replaces all objects and the version of the store by those of a
// snapshot, and ends all watches. It stands for a restore from a backup after a
// loss of data.
func (s *Store) Restore(c Snapshot) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.version = c.version
	s.objects = maps.Clone(c.objects)
	s.history = nil
	s.epoch++
	s.notifyWatches()
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
	s.notifyWatches()
	return o, nil
}
