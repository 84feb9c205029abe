package rig

import (
	"encoding/json"
	"net"
	"net/http"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store is a stand-in of the platform's object store. It answers at once, loses
// nothing and keeps its whole history.
type Store struct {
	address string
	server  *http.Server
	listen  net.Listener

	mutex    sync.Mutex
	revision int64
	kinds    map[string]map[string]*object
	history  []change
	changed  chan struct{}
	// back is closed when the store answers again, and nil while it answers.
	back chan struct{}
}

type metadata struct {
	Name       string   `json:"name"`
	Revision   int64    `json:"revision"`
	CreatedRev int64    `json:"createdRev"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type change struct {
	kind    string
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

// newStore starts a store at a free port of the address.
func newStore(ip string) (*Store, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &Store{address: l.Addr().String(), listen: l, kinds: map[string]map[string]*object{}, changed: make(chan struct{})}
	s.server = &http.Server{Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: time.Minute}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// Close ends the store.
func (s *Store) Close() { _ = s.server.Close() }

// Silence lets the store answer nobody until the returned function is called. It
// does nothing meanwhile.
func (s *Store) Silence() func() {
	back := make(chan struct{})
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.back = back
	close(s.changed)
	s.changed = make(chan struct{})
	return func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.back = nil
		close(back)
	}
}

// hold reports whether the store is silent, after it was. The answer is then never
// sent, and the call has no effect.
func (s *Store) hold(r *http.Request) bool {
	s.mutex.Lock()
	back := s.back
	s.mutex.Unlock()
	if back == nil {
		return false
	}
	select {
	case <-back:
	case <-r.Context().Done():
	}
	return true
}

// Write writes an object as the operator does, and returns its revision.
func (s *Store) Write(kind, name string, spec any) (int64, error) {
	data, err := json.Marshal(spec)
	if err != nil {
		return 0, err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	o := s.kinds[kind][name]
	if o == nil {
		o = &object{Metadata: metadata{Name: name, Finalizers: []string{}}, Status: json.RawMessage("null")}
	}
	copied := *o
	copied.Spec = data
	return s.keep(kind, &copied).Metadata.Revision, nil
}

// keep stores a new or changed object. The mutex is held.
func (s *Store) keep(kind string, o *object) *object {
	s.revision++
	o.Metadata.Revision = s.revision
	if o.Metadata.CreatedRev == 0 {
		o.Metadata.CreatedRev = s.revision
	}
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]*object{}
	}
	s.kinds[kind][o.Metadata.Name] = o
	s.note(change{kind: kind, Object: *o})
	return o
}

// note adds a change to the history and wakes the watches. The mutex is held.
func (s *Store) note(c change) {
	s.history = append(s.history, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) serve(w http.ResponseWriter, r *http.Request) {
	if s.hold(r) {
		panic(http.ErrAbortHandler)
	}
	path, found := strings.CutPrefix(r.URL.Path, names.ObjectsPath)
	if !found {
		http.NotFound(w, r)
		return
	}
	kind, name, _ := strings.Cut(path, "/")
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind)
	case r.Method == http.MethodGet:
		s.get(w, kind, name)
	case r.Method == http.MethodPost || r.Method == http.MethodPut:
		s.put(w, r, kind, name)
	case r.Method == http.MethodDelete:
		s.remove(w, r, kind, name)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Store) list(w http.ResponseWriter, kind string) {
	s.mutex.Lock()
	items := []object{}
	for _, o := range s.kinds[kind] {
		items = append(items, *o)
	}
	at := s.revision
	s.mutex.Unlock()
	slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	answer(w, http.StatusOK, map[string]any{"items": items, "hasMore": false, "atRev": at})
}

func (s *Store) get(w http.ResponseWriter, kind, name string) {
	s.mutex.Lock()
	o := s.kinds[kind][name]
	s.mutex.Unlock()
	if o == nil {
		answer(w, http.StatusNotFound, nil)
		return
	}
	answer(w, http.StatusOK, o)
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	over := time.After(time.Duration(wait) * time.Millisecond)
	for {
		if s.hold(r) {
			panic(http.ErrAbortHandler)
		}
		s.mutex.Lock()
		events := []change{}
		for _, c := range s.history {
			if c.kind == kind && c.Object.Metadata.Revision > from {
				events = append(events, c)
			}
		}
		at, changed := s.revision, s.changed
		s.mutex.Unlock()
		ended := len(events) > 0
		if !ended {
			select {
			case <-changed:
				continue
			case <-over:
			case <-r.Context().Done():
			}
		}
		answer(w, http.StatusOK, map[string]any{"events": events, "atRev": at})
		return
	}
}

func (s *Store) put(w http.ResponseWriter, r *http.Request, kind, name string) {
	var given object
	if err := json.NewDecoder(r.Body).Decode(&given); err != nil {
		answer(w, http.StatusBadRequest, nil)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if r.Method == http.MethodPost {
		if held := s.kinds[kind][given.Metadata.Name]; held != nil {
			answer(w, http.StatusConflict, held)
			return
		}
		given.Metadata.CreatedRev = 0
		answer(w, http.StatusOK, s.keep(kind, &given))
		return
	}
	held := s.kinds[kind][name]
	switch {
	case held == nil:
		answer(w, http.StatusNotFound, nil)
	case given.Metadata.Revision != 0 && given.Metadata.Revision != held.Metadata.Revision:
		answer(w, http.StatusConflict, held)
	case reflect.DeepEqual(held.Spec, given.Spec):
		answer(w, http.StatusOK, held)
	default:
		copied := *held
		copied.Spec, copied.Metadata.Finalizers = given.Spec, given.Metadata.Finalizers
		answer(w, http.StatusOK, s.keep(kind, &copied))
	}
}

func (s *Store) remove(w http.ResponseWriter, r *http.Request, kind, name string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	held := s.kinds[kind][name]
	if held == nil {
		answer(w, http.StatusNotFound, nil)
		return
	}
	if given := r.URL.Query().Get("revision"); given != "" && given != strconv.FormatInt(held.Metadata.Revision, 10) {
		answer(w, http.StatusConflict, held)
		return
	}
	delete(s.kinds[kind], name)
	s.revision++
	copied := *held
	copied.Metadata.Revision = s.revision
	s.note(change{kind: kind, Object: copied, Deleted: true})
	answer(w, http.StatusOK, held)
}
