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

const (
	// exitTimeout is how long a process may take to exit before it is killed.
	exitTimeout = 8 * time.Second
	// dumpTimeout is how long it may take before that to write to its log what its
	// goroutines wait for.
	dumpTimeout = time.Second
)

// process runs the program with fixed arguments; it can be ended and restarted.
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

// start starts the process unless it is running.
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

// signal sends a signal to the process by its ID. It reports whether the
// process was running and the signal was sent.
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

// wait waits until the process has exited, and kills it after exitTimeout, with its
// goroutines in its log. It reports whether it had to.
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
	case <-time.After(exitTimeout):
	}
	p.signal(syscall.SIGQUIT)
	select {
	case <-done:
	case <-time.After(dumpTimeout):
		p.signal(syscall.SIGKILL)
		<-done
	}
	return true
}

// kill kills the process and waits until it has exited.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.wait()
}

// storeProcess is the process of the store stand-in, with a proxy before it.
type storeProcess struct {
	*process
	address string
	proxy   *proxy
}

func startStore(o Options, free *addressAllocator, observe func(err error)) (*storeProcess, error) {
	address, err := free.allocate()
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
	s.proxy, err = newProxy("", address, observe)
	return s, err
}

// setFaults sets the store's faults; the zero value clears them.
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

func (s *storeProcess) close() {
	s.kill()
	if s.proxy != nil {
		s.proxy.close()
	}
}

// Ports of the processes, below the ephemeral ports that the operating system
// assigns to outgoing connections.
const (
	firstPort = 12000
	lastPort  = 31000
)

// addressAllocator allocates unused loopback addresses, each once. It keeps other soaks
// from the same ones until it is closed: a process that is started or restarted later
// must find its address free.
type addressAllocator struct {
	mutex  sync.Mutex
	random *rand.Rand
	// claims holds a UDP socket for each address, which no process of the fleet uses.
	claims map[string]net.PacketConn
}

// newAddressAllocator seeds the choice of ports differently in each process, so
// that soaks that run at the same time rarely try the same ones.
func newAddressAllocator() *addressAllocator {
	return &addressAllocator{random: rand.New(rand.NewPCG(uint64(os.Getpid()), uint64(time.Now().UnixNano()))), claims: map[string]net.PacketConn{}}
}

// allocate returns an address at which nobody listens.
func (a *addressAllocator) allocate() (string, error) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for range lastPort - firstPort {
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(firstPort+a.random.IntN(lastPort-firstPort)))
		claim, err := net.ListenPacket("udp", address)
		if err != nil {
			continue
		}
		l, err := net.Listen("tcp", address)
		if err != nil {
			_ = claim.Close()
			continue
		}
		_ = l.Close()
		a.claims[address] = claim
		return address, nil
	}
	return "", errors.New("no loopback port is free")
}

// close gives the addresses back.
func (a *addressAllocator) close() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for _, c := range a.claims {
		_ = c.Close()
	}
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
