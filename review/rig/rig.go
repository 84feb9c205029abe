// Package rig runs a small deployment for the cases of the review: nodes as
// separate processes with the command of the deploy file, each on a loopback
// address of its own, and stand-ins of the platform, its store, servers and
// clients in the process of the case.
//
// The names of the platform's protocol are read from the files in wire/.
package rig

import (
	"embed"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

//go:embed wire
var wire embed.FS

// Names are the names of the platform's protocol.
type Names struct {
	SettingsVariable string
	RequestID        string
	Deadline         string
	ExpectServer     string
	CallerService    string
	NotRun           string
	Stamp            string
	ServerID         string
	Load             string
	ReadyPath        string
	ObjectsPath      string
	BeatPath         string
	LeavePath        string
	ColdField        string
}

var names = readNames()

func readNames() Names {
	data, err := wire.ReadFile("wire/names.json")
	if err != nil {
		panic(err)
	}
	var n Names
	if err := json.Unmarshal(data, &n); err != nil {
		panic(err)
	}
	return n
}

// Wire returns the names of the platform's protocol.
func Wire() Names { return names }

// Exit statuses of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Trouble reports whether the case runs with its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Route is a route of the operator's configuration.
type Route struct {
	Host     string
	Prefix   string
	Kind     string
	Service  string
	Timeout  time.Duration
	Attempts int
}

// The kinds of routes.
const (
	Idempotent    = "idempotent"
	NonIdempotent = "non_idempotent"
)

// Machine is a machine of the deployment, with a node and a server.
type Machine struct {
	ID      string
	IP      string
	Zone    string
	Region  string
	Service string
	// App is the address of the server, Outbound that for clients, Ready that
	// for readiness probes and Control that for heartbeats.
	App      string
	Outbound string
	Ready    string
	Control  string
	internal int
	metrics  int

	mutex   sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
	log     string
}

// Fleet is a running deployment.
type Fleet struct {
	Store    *Store
	Record   *Record
	Machines []*Machine
	// Before, if set, is a command and its arguments that start the node's own
	// command, such as a shell that sets a limit.
	Before []string

	folder  string
	root    string
	version int64
}

// NewFleet starts a store. The record is written into the folder of the case, the
// rest into a temporary one.
func NewFleet() (*Fleet, error) {
	root, folder := os.Getenv("REVIEW_ROOT"), os.Getenv("REVIEW_CASE")
	if root == "" || folder == "" {
		return nil, fmt.Errorf("REVIEW_ROOT and REVIEW_CASE are not set: start run.sh")
	}
	record, err := NewRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	temporary, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	store, err := newStore("127.0.0.1")
	if err != nil {
		return nil, err
	}
	return &Fleet{Store: store, Record: record, folder: temporary, root: root}, nil
}

// AddMachine adds a machine with free ports on a loopback address of its own.
func (f *Fleet) AddMachine(zone, service string) (*Machine, error) {
	n := len(f.Machines) + 1
	m := &Machine{
		ID: fmt.Sprintf("machine-%d", n), IP: fmt.Sprintf("127.0.7.%d", 10+n), Zone: "zone-" + zone, Region: "region-" + zone, Service: service,
	}
	const internalPorts = 16
	var held []net.Listener
	defer func() {
		for _, l := range held {
			_ = l.Close()
		}
	}()
	addresses := make([]string, 6)
	for i := range addresses {
		l, err := net.Listen("tcp", m.IP+":0")
		if err != nil {
			return nil, err
		}
		held = append(held, l)
		addresses[i] = l.Addr().String()
	}
	m.App, m.Outbound, m.Ready, m.Control = addresses[0], addresses[1], addresses[2], addresses[3]
	_, port, err := net.SplitHostPort(addresses[4])
	if err != nil {
		return nil, err
	}
	if m.internal, err = strconv.Atoi(port); err != nil {
		return nil, err
	}
	m.internal = min(m.internal, 65535-internalPorts)
	_, port, err = net.SplitHostPort(addresses[5])
	if err != nil {
		return nil, err
	}
	if m.metrics, err = strconv.Atoi(port); err != nil {
		return nil, err
	}
	f.Machines = append(f.Machines, m)
	return m, nil
}

// Configure writes the next version of the operator's configuration.
func (f *Fleet) Configure(routes ...Route) error {
	f.version += 3
	services := map[string]bool{}
	rules := map[string][]any{}
	for i, r := range routes {
		services[r.Service] = true
		rules[r.Host] = append(rules[r.Host], map[string]any{
			"name": fmt.Sprintf("r-%d", i), "kind": r.Kind, "targetLatency": "1500ms", "priority": 0,
			"match":  map[string]any{"pathPrefix": r.Prefix},
			"action": map[string]any{"service": r.Service, "timeout": fmt.Sprintf("%dms", r.Timeout.Milliseconds()), "maxAttempts": r.Attempts},
		})
	}
	for _, m := range f.Machines {
		services[m.Service] = true
	}
	var listeners, clusters []any
	for host, list := range rules {
		listeners = append(listeners, map[string]any{"hostname": host, "rules": list})
	}
	for service := range services {
		clusters = append(clusters, map[string]any{"name": service, "healthPath": "/health", "maxConnections": 316, "protocol": "h1", "tls": false})
	}
	_, err := f.Store.Write("config", "main", map[string]any{
		"version":   f.version,
		"limits":    map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms"},
		"listeners": listeners, "clusters": clusters,
	})
	f.Record.Printf("the operator writes configuration %d", f.version)
	return err
}

// Start starts the node of a machine. Bootstrap is true at the first start of the
// whole system.
func (f *Fleet) Start(m *Machine, bootstrap bool) error {
	template, err := wire.ReadFile("wire/node.toml")
	if err != nil {
		return err
	}
	text := os.Expand(string(template), func(name string) string {
		return map[string]string{
			"ID": m.ID, "IP": m.IP, "ZONE": m.Zone, "REGION": m.Region, "PORT": strconv.Itoa(m.internal), "LASTPORT": strconv.Itoa(m.internal + 15),
			"BOOTSTRAP": strconv.FormatBool(bootstrap), "APP": m.App, "SERVICE": m.Service,
			"INBOUND": net.JoinHostPort(m.IP, strconv.Itoa(m.internal+1)), "OUTBOUND": m.Outbound, "READY": m.Ready, "CONTROL": m.Control, "STORE": f.Store.address,
		}[name]
	})
	settings := filepath.Join(f.folder, m.ID+".toml")
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return err
	}
	m.log = filepath.Join(f.folder, m.ID+".log")
	log, err := os.OpenFile(m.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	words := append(append([]string{}, f.Before...), filepath.Join(f.root, "target", "kumquatlink"), "mesh", "--metrics-port", strconv.Itoa(m.metrics))
	c := exec.Command(words[0], words[1:]...)
	c.Dir, c.Stdout, c.Stderr = f.root, log, log
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), names.SettingsVariable + "=" + settings}
	// A case that dies takes its nodes with it.
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	m.mutex.Lock()
	m.process, m.ended = c, ended
	m.mutex.Unlock()
	f.Record.Printf("node of %s starts as process %d", m.ID, c.Process.Pid)
	go func() {
		err := c.Wait()
		f.Record.Printf("node of %s has ended: %v", m.ID, err)
		close(ended)
	}()
	return nil
}

// PID returns the process of the machine's node.
func (m *Machine) PID() int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.process.Process.Pid
}

// Ended returns a channel that is closed when the machine's node has ended.
func (m *Machine) Ended() <-chan struct{} {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.ended
}

// Signal sends a signal to the node of the machine.
func (f *Fleet) Signal(m *Machine, s syscall.Signal) {
	f.Record.Printf("node of %s gets the signal %s", m.ID, s)
	m.mutex.Lock()
	defer m.mutex.Unlock()
	_ = m.process.Process.Signal(s)
}

// IsReady asks the node of the machine whether it is ready.
func (f *Fleet) IsReady(m *Machine) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := client.Get("http://" + m.Ready + names.ReadyPath)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, r.Body)
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// AwaitReady waits until the nodes of all machines are ready.
func (f *Fleet) AwaitReady() error {
	until := time.Now().Add(20 * time.Second)
	for _, m := range f.Machines {
		for !f.IsReady(m) {
			if time.Now().After(until) {
				return fmt.Errorf("node of %s is not ready", m.ID)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// Close ends all processes of the deployment.
func (f *Fleet) Close() {
	for _, m := range f.Machines {
		m.mutex.Lock()
		c, ended := m.process, m.ended
		m.mutex.Unlock()
		if c == nil {
			continue
		}
		_ = c.Process.Kill()
		<-ended
	}
	f.Store.Close()
	f.Record.Close()
	if os.Getenv("REVIEW_KEEP") != "" {
		fmt.Println("logs of the nodes:", f.folder)
		return
	}
	_ = os.RemoveAll(f.folder)
}

// Run runs a case and exits with its status.
func Run(play func(f *Fleet) (int, string, error)) {
	// A node ends with the thread that has started it, see Start.
	runtime.LockOSThread()
	f, err := NewFleet()
	if err != nil {
		fmt.Println("the case can't run:", err)
		os.Exit(NotRun)
	}
	status, verdict, err := play(f)
	if err != nil {
		status, verdict = NotRun, "the case can't run: "+err.Error()
	}
	f.Record.Printf("%s", verdict)
	fmt.Println(strings.TrimSpace(verdict))
	f.Close()
	os.Exit(status)
}
