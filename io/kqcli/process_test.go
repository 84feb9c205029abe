package kqcli_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"

	"github.com/valyala/fasthttp"

	"kumquatlink/io/kqcli"
	"kumquatlink/io/kqwire"
)

// runAsProgram is the environment variable that makes the test binary run as the
// program kumquatlink.
const runAsProgram = "KUMQUATLINK_TEST_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(runAsProgram) != "" {
		os.Exit(kqcli.Run(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// process is a running program.
type process struct {
	command *exec.Cmd
	output  *bufio.Reader
	// rest holds the output that find did not read. It is filled by end.
	rest bytes.Buffer
}

// startProcess starts the program and kills it when the test ends.
func startProcess(t *testing.T, arguments ...string) *process {
	t.Helper()
	p := &process{command: exec.Command(os.Args[0], arguments...)}
	p.command.Env = append(os.Environ(), runAsProgram+"=1")
	p.command.Stderr = os.Stderr
	pipe, err := p.command.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = p.command.Process.Kill() })
	p.output = bufio.NewReader(pipe)
	return p
}

// find reads lines until one matches a pattern, and returns its groups.
func (p *process) find(t *testing.T, pattern string) []string {
	t.Helper()
	compiled := regexp.MustCompile(pattern)
	for {
		line, err := p.output.ReadString('\n')
		if groups := compiled.FindStringSubmatch(line); groups != nil {
			return groups[1:]
		}
		if err != nil {
			t.Fatalf("the output ended without a line that matches %q", pattern)
		}
	}
}

// end sends SIGTERM, waits for the process and checks that its exit code is 0.
func (p *process) end(t *testing.T) {
	t.Helper()
	if err := p.command.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(&p.rest, p.output); err != nil {
		t.Fatal(err)
	}
	if err := p.command.Wait(); err != nil {
		t.Errorf("%v: got %v, want exit code 0", p.command.Args[1:], err)
	}
}

// writeSettings writes a settings file and returns its path.
func writeSettings(t *testing.T, directory, name string, fields map[string]any) string {
	t.Helper()
	data, err := json.Marshal(fields)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(directory, name+".json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// run runs a command in this process, checks its exit code, and returns its output
// and its error output.
func run(t *testing.T, want int, arguments ...string) string {
	t.Helper()
	var output, errorOutput bytes.Buffer
	if got := kqcli.Run(arguments, &output, &errorOutput); got != want {
		t.Fatalf("%v: got exit code %d, want %d: %s", arguments, got, want, errorOutput.String())
	}
	return output.String() + errorOutput.String()
}

// nodeLine matches the log line with the addresses of a started node.
const nodeLine = `callers at (\S*), its backend server at (\S+), peers at ([^"\s]+), operators at ([^"\s]+)`

func TestCallThroughTwoNodeProcesses(t *testing.T) {
	directory := t.TempDir()
	const anyPort = "127.0.0.1:0"
	run(t, kqcli.ExitDone, "identity", "--directory", directory, "entry-1", "catalog-1")
	store := startProcess(t, "store", "--settings", writeSettings(t, directory, "store", map[string]any{"Address": anyPort}))
	storeAddress := store.find(t, `store serves at (\S+)`)[0]
	run(t, kqcli.ExitDone, "class", "set", "--store", storeAddress, "--complete", "95", "--within", "30s", "--services", "catalog", "browse")
	settings := func(nodeID string, peers ...string) string {
		in := func(name string) string { return filepath.Join(directory, name) }
		return writeSettings(t, directory, nodeID, map[string]any{
			"NodeID": nodeID, "Region": "lothian", "FailureDomain": "lothian-a", "Peers": peers,
			"CallerAddress": anyPort, "BackendAddress": anyPort, "PeerAddress": anyPort, "OperatorAddress": anyPort,
			"StoreAddress": storeAddress, "CertificateFile": in(nodeID + ".crt"), "KeyFile": in(nodeID + ".key"), "AuthorityFile": in("fleet.crt"),
		})
	}
	downstream := startProcess(t, "node", "--settings", settings("catalog-1"))
	downstreamAddresses := downstream.find(t, nodeLine)
	backend := startProcess(t, "backend", "--settings", writeSettings(t, directory, "backend", map[string]any{
		"Service": "catalog", "Address": anyPort, "NodeAddress": downstreamAddresses[1], "Slots": 4,
	}))
	backend.find(t, `backend server of catalog serves at (\S+)`)
	entry := startProcess(t, "node", "--settings", settings("entry-1", downstreamAddresses[2]))
	addresses := entry.find(t, nodeLine)
	got := callUntilRan(t, addresses[0])
	if want := "catalog POST /list voices"; got != want {
		t.Errorf("body: got %q, want %q", got, want)
	}
	report := run(t, kqcli.ExitDone, "class", "set", "--store", storeAddress, "--node", addresses[3], "--complete", "99.9", "--within", "2s", "--run-once", "purchase")
	if want := "version 2 is in force on 2 of 2 nodes"; !strings.Contains(report, want) {
		t.Errorf("report: got %q, want it to contain %q", report, want)
	}
	run(t, kqcli.ExitDone, "status", "--node", addresses[3])
	entry.end(t)
	backend.end(t)
	downstream.end(t)
	store.end(t)
	if !strings.Contains(entry.rest.String()+downstream.rest.String(), "Decision") {
		t.Error("logs of the nodes: got no decisions, want some")
	}
}

// callUntilRan sends calls to a node until one runs, and returns the body of its
// answer. Until the node knows the service, each answer must say that the call was
// not run.
func callUntilRan(t *testing.T, address string) string {
	t.Helper()
	client := &fasthttp.HostClient{Addr: address, MaxIdemponentCallAttempts: 1}
	for {
		request, response := &fasthttp.Request{}, &fasthttp.Response{}
		request.Header.SetMethod(fasthttp.MethodPost)
		request.SetRequestURI("/list")
		request.Header.SetHost(address)
		request.Header.Set(kqwire.HeaderService, "catalog")
		request.SetBodyString("voices")
		if err := client.Do(request, response); err != nil {
			t.Fatal(err)
		}
		switch got := string(response.Header.Peek(kqwire.HeaderOutcome)); got {
		case "ran":
			return string(response.Body())
		case "not-run":
		default:
			t.Fatalf("outcome: got %q, want ran or not-run", got)
		}
	}
}

func TestBadInputHasExitCodeTwo(t *testing.T) {
	path := writeSettings(t, t.TempDir(), "node", map[string]any{"NodeID": "A B"})
	for _, arguments := range [][]string{
		{"settings", "check", path},
		{"settings", "check", path + ".missing"},
		{"node", "--settings", path},
		{"class", "set", "--store", "127.0.0.1:1"},
		{"unknown"},
		{},
	} {
		text := run(t, kqcli.ExitBadInput, arguments...)
		if !strings.HasPrefix(text, "kumquatlink: ") {
			t.Errorf("%v: got output %q, want an error message that begins with the name of the program", arguments, text)
		}
	}
}

func TestEveryCommandHasAnExample(t *testing.T) {
	pages, err := filepath.Glob(filepath.Join("..", "..", "docs", "cli", "*.md"))
	if err != nil || len(pages) == 0 {
		t.Fatalf("pages of the commands: got %v and error %v, want some pages", pages, err)
	}
	for _, p := range pages {
		data, err := os.ReadFile(p)
		if err != nil {
			t.Fatal(err)
		}
		got, want := strings.Count(string(data), "Example:"), strings.Count(string(data), "```\nkumquatlink ")
		if got != want {
			t.Errorf("%s: got %d examples, want one for each of %d commands", filepath.Base(p), got, want)
		}
	}
}
