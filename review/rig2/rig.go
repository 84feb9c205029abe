// Package rig2 runs mesh nodes as processes against small stand-ins of the platform: a
// store of objects, backend servers, callers. The names of the platform's protocol are
// read from names.txt.
package rig2

import (
	_ "embed"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync"
	"time"
)

//go:embed names.txt
var nameText string

// names maps the keys of names.txt to the names of the platform's protocol.
var names = parseNames()

func parseNames() map[string]string {
	parsed := map[string]string{}
	for line := range strings.Lines(nameText) {
		key, name, _ := strings.Cut(strings.TrimSpace(line), " ")
		parsed[key] = name
	}
	return parsed
}

// Name returns a name of the platform's protocol.
func Name(key string) string {
	name, found := names[key]
	if !found {
		panic("no name " + key)
	}
	return name
}

// Exit codes of a case.
const (
	ExitHeld   = 0
	ExitBroken = 1
	ExitNotRun = 2
)

// Trouble reports whether the case is to make its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Record writes what was sent, answered and run.
type Record struct {
	mutex   sync.Mutex
	file    *os.File
	started time.Time
}

// NewRecord creates the record of a case.
func NewRecord(path string) *Record {
	file, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(ExitNotRun)
	}
	return &Record{file: file, started: time.Now()}
}

// Printf writes a line with the time since the start of the case.
func (r *Record) Printf(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	line := fmt.Sprintf("%8.3f s  ", time.Since(r.started).Seconds()) + fmt.Sprintf(format, arguments...)
	fmt.Fprintln(r.file, line)
	if os.Getenv("VERBOSE") != "" {
		fmt.Println(line)
	}
}

// freePorts returns the first of count successive ports that are free on an address.
func freePorts(ip string, count int) int {
	for {
		first := 20000 + rand.IntN(10000)
		free := true
		for port := first; port < first+count && free; port++ {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if free = err == nil; free {
				_ = l.Close()
			}
		}
		if free {
			return first
		}
	}
}

// NewID returns a random ID of 16 digits.
func NewID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

func itoa(n int) string { return fmt.Sprint(n) }
