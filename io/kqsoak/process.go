package kqsoak

import (
	"bytes"
	"encoding/json"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"kumquatlink/io/kqobject"
	"kumquatlink/io/kqsettings"
)

// killTime is how long a process that was told to end may take.
const killTime = 8 * time.Second

// process is one process of the program, which may be ended and started again.
type process struct {
	program   string
	arguments []string
	logPath   string

	mutex   sync.Mutex
	command *exec.Cmd
	done    chan struct{}
	paused  bool
}

func newProcess(o Options, name string, arguments ...string) *process {
	return &process{program: o.Program, arguments: arguments, logPath: filepath.Join(o.Directory, name+".log")}
}

// start starts the process unless it runs.
func (p *process) start() error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.command != nil {
		return nil
	}
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	defer func() { _ = log.Close() }()
	c := exec.Command(p.program, p.arguments...) //nolint:gosec // The program is the caller's own.
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return errors.Wrap(err, "start process")
	}
	done := make(chan struct{})
	p.command, p.done = c, done
	go func() {
		_ = c.Wait()
		p.mutex.Lock()
		if p.command == c {
			p.command, p.paused = nil, false
		}
		p.mutex.Unlock()
		close(done)
	}()
	return nil
}

// signal sends a signal to the process, if it runs, by its ID.
func (p *process) signal(s syscall.Signal) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.command == nil || p.command.Process.Signal(s) != nil {
		return false
	}
	switch s {
	case syscall.SIGSTOP:
		p.paused = true
	case syscall.SIGCONT:
		p.paused = false
	}
	return true
}

// wait waits until the process has ended, and kills it after killTime.
func (p *process) wait() (killed bool) {
	p.mutex.Lock()
	done := p.done
	p.mutex.Unlock()
	if done == nil {
		return false
	}
	select {
	case <-done:
		return false
	case <-time.After(killTime):
		p.signal(syscall.SIGKILL)
		<-done
		return true
	}
}

// kill ends the process at once.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.wait()
}

// storeProcess is the store stand-in behind a proxy.
type storeProcess struct {
	*process
	address string
	proxy   *proxy
}

func startStore(o Options, free *addresses) (*storeProcess, error) {
	address, err := free.take()
	if err != nil {
		return nil, err
	}
	path := filepath.Join(o.Directory, "store.json")
	if err := writeJSON(path, kqsettings.Store{Address: address}); err != nil {
		return nil, err
	}
	s := &storeProcess{process: newProcess(o, "store", "store", "--settings", path), address: address}
	if err := s.start(); err != nil {
		return nil, err
	}
	s.proxy, err = newProxy("", address)
	return s, err
}

// setFaults sets the switches of the store.
func (s *storeProcess) setFaults(f kqobject.Faults) error {
	data, err := json.Marshal(f)
	if err != nil {
		return errors.Wrap(err, "write faults")
	}
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(fasthttp.MethodPut)
	request.SetRequestURI("http://" + s.address + "/faults")
	request.SetBody(data)
	return errors.Wrap(fasthttp.DoTimeout(request, response, time.Second), "set faults")
}

func (s *storeProcess) end() {
	s.kill()
	if s.proxy != nil {
		s.proxy.close()
	}
}

// Ports of the nodes, below those that the system gives to connections.
const (
	firstPort = 12000
	lastPort  = 31000
)

// addresses gives loopback addresses at which nobody listens, each once.
type addresses struct {
	mutex  sync.Mutex
	random *rand.Rand
	given  map[string]bool
}

// newAddresses begins at a place that differs between processes.
func newAddresses() *addresses {
	return &addresses{random: rand.New(rand.NewPCG(uint64(os.Getpid()), uint64(time.Now().UnixNano()))), given: map[string]bool{}}
}

func (a *addresses) take() (string, error) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for range lastPort - firstPort {
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(firstPort+a.random.IntN(lastPort-firstPort)))
		if a.given[address] {
			continue
		}
		a.given[address] = true
		if l, err := net.Listen("tcp", address); err == nil {
			_ = l.Close()
			return address, nil
		}
	}
	return "", errors.New("no address is free")
}

func writeJSON(path string, value any) error {
	var text bytes.Buffer
	e := json.NewEncoder(&text)
	e.SetIndent("", "  ")
	if err := e.Encode(value); err != nil {
		return errors.Wrap(err, "write settings")
	}
	return errors.Wrap(os.WriteFile(path, text.Bytes(), 0o600), "write settings")
}
