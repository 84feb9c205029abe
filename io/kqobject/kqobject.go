// Package kqobject is a stand-in of the platform's object API for tests and
// trials: objects with versions, conditional updates and watches, in memory,
// with switches that make it fail the way the real one does.
//
// # Usage
//
//	store := kqobject.New()
//	err := store.Listen("127.0.0.1:0")
//	store.SetFaults(kqobject.Faults{Down: true})
//
// Paths follow the Kubernetes conventions: GET, PUT and POST of
// /apis/GROUP/VERSION/KIND[/NAME], ?watch=1&resourceVersion=N for a stream of
// JSON events, 409 on a stale version and 410 on one that is too old.
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

// MaxValueBytes bounds one object.
const MaxValueBytes = 1 << 20

// historyLength is how many events a watch can resume over.
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

// Event is one line of a watch.
type Event struct {
	Type   string `json:"type"`
	Object Object `json:"object"`
}

// Faults are the switches.
type Faults struct {
	// Down refuses every call.
	Down bool
	// Delay holds every call.
	Delay time.Duration
	// LoseAnswers takes that many writes and answers none of them.
	LoseAnswers int
	// CutWatches ends every watch and refuses new ones.
	CutWatches bool
	// SilentWatches keeps every watch open without telling it anything.
	SilentWatches bool
}

// Counts are the calls taken since the start.
type Counts struct {
	Reads   int64
	Writes  int64
	Watches int64
}

type entry struct {
	kind    string
	version int64
	event   Event
}

// Store is the stand-in.
type Store struct {
	mutex   sync.Mutex
	changed chan struct{}
	// epoch counts the restores; a watch of an earlier epoch ends.
	epoch   int
	version int64
	objects map[string]Object
	history []entry
	faults  Faults
	counts  Counts
	server  *fasthttp.Server
	address string
}

// New makes an empty store.
func New() *Store {
	return &Store{changed: make(chan struct{}), objects: map[string]Object{}}
}

// SetFaults sets the switches.
func (s *Store) SetFaults(f Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = f
	s.wake()
}

// Snapshot is a copy of all objects, as a backup would hold it.
type Snapshot struct {
	version int64
	objects map[string]Object
}

// Backup makes a copy of all objects.
func (s *Store) Backup() Snapshot {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return Snapshot{version: s.version, objects: maps.Clone(s.objects)}
}

// Restore puts an older copy in the place of all objects and ends all watches,
// as an operator of the platform would after a loss.
func (s *Store) Restore(c Snapshot) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.version = c.version
	s.objects = maps.Clone(c.objects)
	s.history = nil
	s.epoch++
	s.wake()
}

// Counts gives the calls taken so far.
func (s *Store) Counts() Counts {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.counts
}

// Address is the address that the store listens at.
func (s *Store) Address() string {
	return s.address
}

// wake lets every watch look again. The caller holds the mutex.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// path is a request path taken apart.
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

// list gives the objects of a kind and the version of the whole store.
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

// remove deletes an object when its version is the one that is held.
func (s *Store) remove(p path, version string) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.counts.Writes++
	held, found := s.objects[p.key()]
	if !found || held.Metadata.ResourceVersion != version {
		return errStale
	}
	s.version++
	held.Metadata.ResourceVersion = strconv.FormatInt(s.version, 10)
	delete(s.objects, p.key())
	s.history = append(s.history, entry{kind: p.kind, version: s.version, event: Event{Type: "DELETED", Object: held}})
	s.wake()
	return nil
}

var errStale = errors.New("stale version")

// put writes an object when its version is the one that is held; an empty
// version writes only an object that is not there.
func (s *Store) put(p path, o Object) (Object, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.counts.Writes++
	held, found := s.objects[p.key()]
	if held.Metadata.ResourceVersion != o.Metadata.ResourceVersion {
		return held, errStale
	}
	s.version++
	o.Metadata = Metadata{Name: p.name, ResourceVersion: strconv.FormatInt(s.version, 10)}
	s.objects[p.key()] = o
	kind := "MODIFIED"
	if !found {
		kind = "ADDED"
	}
	s.history = append(s.history, entry{kind: p.kind, version: s.version, event: Event{Type: kind, Object: o}})
	if len(s.history) > historyLength {
		s.history = s.history[len(s.history)-historyLength:]
	}
	s.wake()
	return o, nil
}
