package rig2

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is an object of the store.
type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type metadata struct {
	Name       string   `json:"name"`
	Revision   int64    `json:"revision"`
	CreatedRev int64    `json:"createdRev"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type change struct {
	kind    string
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

// Verdict is what a listener of the store does with a call.
type Verdict int

// Verdicts on calls.
const (
	Serve Verdict = iota
	Busy
	Silent
	// Lose carries the call out and gives no answer.
	Lose
)

// Store is a stand-in of the platform's store.
type Store struct {
	mutex    sync.Mutex
	revision int64
	kinds    map[string]map[string]object
	history  []change
	changed  chan struct{}
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{revision: 1, kinds: map[string]map[string]object{}, changed: make(chan struct{})}
}

// Listen serves the store at an address. The function decides on each call.
func (s *Store) Listen(address string, decide func(r *http.Request) Verdict) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch decide(r) {
		case Busy:
			w.WriteHeader(http.StatusServiceUnavailable)
		case Silent:
			<-r.Context().Done()
		case Lose:
			s.serve(&discard{header: http.Header{}}, r)
			hijack(w)
		default:
			s.serve(w, r)
		}
	})}
	go func() { _ = server.Serve(l) }()
	return nil
}

func hijack(w http.ResponseWriter) {
	if c, _, err := w.(http.Hijacker).Hijack(); err == nil {
		_ = c.Close()
	}
}

type discard struct{ header http.Header }

func (d *discard) Header() http.Header         { return d.header }
func (d *discard) Write(p []byte) (int, error) { return len(p), nil }
func (d *discard) WriteHeader(int)             {}

// Put writes the spec of an object, as the operator does, and returns when it is written.
func (s *Store) Put(kind, name string, spec any) {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	o, found := s.kinds[kind][name]
	if !found {
		o.Metadata.Name = name
	}
	o.Spec = text
	s.write(kind, o)
}

// Specs returns the specs of the objects of a kind, by name.
func (s *Store) Specs(kind string) map[string]string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	specs := map[string]string{}
	for name, o := range s.kinds[kind] {
		specs[name] = string(o.Spec)
	}
	return specs
}

// Kinds returns the kinds of which there are objects.
func (s *Store) Kinds() []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var kinds []string
	for kind := range s.kinds {
		kinds = append(kinds, kind)
	}
	return kinds
}

// write stores an object with the next revision. The mutex is held.
func (s *Store) write(kind string, o object) object {
	s.revision++
	o.Metadata.Revision = s.revision
	if o.Metadata.CreatedRev == 0 {
		o.Metadata.CreatedRev = s.revision
	}
	if o.Metadata.Finalizers == nil {
		o.Metadata.Finalizers = []string{}
	}
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]object{}
	}
	s.kinds[kind][o.Metadata.Name] = o
	s.history = append(s.history, change{kind: kind, Object: o})
	close(s.changed)
	s.changed = make(chan struct{})
	return o
}

func (s *Store) serve(w http.ResponseWriter, r *http.Request) {
	path, isObjects := strings.CutPrefix(r.URL.Path, Name("objects"))
	if !isObjects {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	kind, name, _ := strings.Cut(path, "/")
	if unescaped, err := url.PathUnescape(name); err == nil {
		name = unescaped
	}
	name, isStatus := strings.CutSuffix(name, "/status")
	switch r.Method {
	case http.MethodGet:
		switch {
		case r.URL.Query().Has("watch"):
			s.watch(w, r, kind)
		case name == "":
			s.list(w, r, kind)
		default:
			s.mutex.Lock()
			o, found := s.kinds[kind][name]
			s.mutex.Unlock()
			if !found {
				w.WriteHeader(http.StatusNotFound)
				return
			}
			answer(w, http.StatusOK, o)
		}
	case http.MethodPost, http.MethodPut, http.MethodDelete:
		s.change(w, r, kind, name, isStatus)
	default:
		w.WriteHeader(http.StatusBadRequest)
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	text, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

func (s *Store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mutex.Lock()
	after := r.URL.Query().Get("after")
	items := []object{}
	for name, o := range s.kinds[kind] {
		if name > after {
			items = append(items, o)
		}
	}
	at := s.revision
	s.mutex.Unlock()
	slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	answer(w, http.StatusOK, map[string]any{"items": items, "hasMore": false, "atRev": at})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	end := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	for {
		s.mutex.Lock()
		events := []change{}
		for _, c := range s.history {
			if c.kind == kind && c.Object.Metadata.Revision > from {
				events = append(events, c)
			}
		}
		at, changed := s.revision, s.changed
		s.mutex.Unlock()
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "atRev": at})
			return
		}
		select {
		case <-changed:
		case <-end.C:
			answer(w, http.StatusOK, map[string]any{"events": events, "atRev": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) change(w http.ResponseWriter, r *http.Request, kind, name string, isStatus bool) {
	var sent object
	text, _ := io.ReadAll(r.Body)
	if len(text) > 0 {
		if err := json.Unmarshal(text, &sent); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	if name == "" {
		name = sent.Metadata.Name
	}
	condition := sent.Metadata.Revision
	if text := r.URL.Query().Get("revision"); text != "" {
		condition, _ = strconv.ParseInt(text, 10, 64)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	held, found := s.kinds[kind][name]
	switch {
	case r.Method == http.MethodPost && found, r.Method != http.MethodPost && found && condition != 0 && condition != held.Metadata.Revision:
		answer(w, http.StatusConflict, held)
		return
	case r.Method != http.MethodPost && !found:
		w.WriteHeader(http.StatusNotFound)
		return
	}
	switch {
	case r.Method == http.MethodDelete:
		s.revision++
		held.Metadata.Revision = s.revision
		delete(s.kinds[kind], name)
		s.history = append(s.history, change{kind: kind, Object: held, Deleted: true})
		close(s.changed)
		s.changed = make(chan struct{})
		answer(w, http.StatusOK, held)
		return
	case isStatus:
		held.Status = sent.Status
	default:
		held.Metadata.Name = name
		held.Spec, held.Metadata.Finalizers = sent.Spec, sent.Metadata.Finalizers
	}
	answer(w, http.StatusOK, s.write(kind, held))
}
