package kqmesh_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"kumquatlink/core/kqroutes"
	"kumquatlink/core/kqserver"
)

// Keys of the teams of a test fleet, and the name of one of them.
const (
	goldKey  = "gold-5f0c91"
	ironKey  = "iron-77ab20"
	goldTeam = "Gold"
)

// teamFleet is a fleet with two teams: near has the backend server of the routes, and
// callers of far reach it over a link. seen holds the heads and bodies that it got.
type teamFleet struct {
	*fleet
	near, far *host
	mutex     sync.Mutex
	seen      map[string]string
	teams     map[string][]string
}

func startTeams(t *testing.T) *teamFleet {
	t.Helper()
	f := &teamFleet{fleet: newFleet(t), seen: map[string]string{}, teams: map[string][]string{}}
	f.near, f.far = f.add("orders-1", "orders"), f.add("packs-1", "packs")
	open := route("/open/", "orders", false)
	open.Public = true
	f.writeKeys(1, []string{ironKey}, route("/look/", "orders", false), open)
	f.near.reportState(kqserver.Ready)
	f.far.reportState(kqserver.Ready)
	f.awaitConvergence(1, 2)
	f.near.setAnswer(func(c net.Conn, q *fasthttp.Request) {
		f.mutex.Lock()
		id := string(q.Header.Peek("Kumquatlink-Request-Id"))
		f.seen[id] = q.Header.String() + string(q.Body())
		for _, team := range q.Header.PeekAll("Kumquatlink-Team") {
			f.teams[id] = append(f.teams[id], string(team))
		}
		f.mutex.Unlock()
		echo(c, q)
	})
	return f
}

// writeKeys writes routes and two teams, of which the second one holds the given keys.
func (f *teamFleet) writeKeys(version int64, ironKeys []string, routes ...kqroutes.Route) {
	f.t.Helper()
	f.writeTeams(version, []kqroutes.Team{
		{Name: goldTeam, Keys: []string{goldKey, "gold-spare"}}, {Name: "Iron", Keys: ironKeys, Rank: 1},
	}, routes...)
}

// awaitStatuses sends the text to a node until the statuses of its answers are those. A
// node that did not hear from the store of late answers 503 for 401; any other status
// fails the test.
func (f *teamFleet) awaitStatuses(conn func() *callerConn, text string, want ...int) {
	f.t.Helper()
	for begun := time.Now(); time.Since(begun) < testTimeout; {
		c, isSame := conn(), true
		c.send(text)
		for i, w := range want {
			got := c.status()
			if got != w && (w != fasthttp.StatusUnauthorized || got != fasthttp.StatusServiceUnavailable) {
				f.t.Fatalf("answer %d to %q: got %d, want %d", i, text, got, w)
			}
			isSame = isSame && got == w
		}
		if isSame {
			return
		}
		// The connection stays open: conn may return it again.
		<-time.After(10 * time.Millisecond)
	}
	f.t.Fatalf("answers to %q: got 503, want 401 within the test timeout", text)
}

// callerConn is the connection of a caller.
type callerConn struct {
	t *testing.T
	net.Conn
	reader *bufio.Reader
}

func (h *host) dial() *callerConn {
	h.t.Helper()
	c, err := net.Dial("tcp", h.settings.CallerAddress)
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	return &callerConn{t: h.t, Conn: c, reader: bufio.NewReader(c)}
}

// send sends bytes to the node.
func (c *callerConn) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c.Conn, text); err != nil {
		c.t.Fatal(err)
	}
}

// status returns the status of the next answer, which must hold no key.
func (c *callerConn) status() int {
	c.t.Helper()
	response := &fasthttp.Response{}
	if err := response.Read(c.reader); err != nil {
		c.t.Fatalf("read answer: %v", err)
	}
	if text := response.String(); strings.Contains(text, goldKey) || strings.Contains(text, ironKey) {
		c.t.Errorf("answer: got %q, want one without a key", text)
	}
	return response.StatusCode()
}

// requestOf returns a request with the header lines, each with its line end.
func requestOf(path, id, lines string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: shop\r\nKumquatlink-Request-Id: " + id + "\r\n" + lines + "\r\n"
}

func keyLine(key string) string { return "Kumquatlink-Team-Key: " + key + "\r\n" }

// checkKeysHidden checks that no key reached the server or the log.
func (f *teamFleet) checkKeysHidden() {
	f.t.Helper()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, key := range []string{goldKey, ironKey} {
		for id, text := range f.seen {
			if strings.Contains(text, key) {
				f.t.Errorf("request %s at the server: got a key in %q, want none", id, text)
			}
		}
		if f.logCount(key) > 0 {
			f.t.Errorf("log: got the key %s, want none", key)
		}
	}
}

// TestRequestWithoutAKeyOfATeamIsRun sends keys that no team holds, and none.
func TestRequestWithoutAKeyOfATeamIsRun(t *testing.T) {
	t.Parallel()
	f := startTeams(t)
	for i, c := range []struct {
		name, lines string
		want        int
	}{
		{"key", keyLine(goldKey), 200},
		{"key of another team", keyLine(ironKey), 200},
		{"name in another case", "kumquatlink-TEAM-key:" + goldKey + "\r\n", 200},
		{"blanks around the key", "Kumquatlink-Team-Key: \t" + goldKey + " \r\n", 200},
		{"no key", "", 401},
		{"empty key", keyLine(""), 401},
		{"unknown key", keyLine("tin-000000"), 401},
		{"key in another case", keyLine(strings.ToUpper(goldKey)), 401},
		{"begin of a key", keyLine(goldKey[:5]), 401},
		{"key and more", keyLine(goldKey + "1"), 401},
		{"two keys in one", keyLine(goldKey + ", " + ironKey), 401},
		{"name of a team for a key", keyLine(goldTeam), 401},
		{"name of a team alone", "Kumquatlink-Team: " + goldTeam + "\r\n", 401},
		{"key under another name", "X-Kumquatlink-Team-Key: tin-111111\r\n", 401},
	} {
		for _, entry := range []*host{f.near, f.far} {
			id := fmt.Sprintf("%s-%d", entry.settings.NodeID, i)
			f.awaitStatuses(entry.dial, requestOf("/look/a", id, c.lines), c.want)
			if got, want := f.near.runCount(id) > 0, c.want == 200; got != want {
				t.Errorf("%s at %s: got run %t, want %t", c.name, entry.settings.NodeID, got, want)
			}
		}
	}
	f.checkKeysHidden()
}

// TestKeyReachesTheServer sends keys where a careless entry passes them on, and names of
// teams that are not the caller's.
func TestKeyReachesTheServer(t *testing.T) {
	t.Parallel()
	f := startTeams(t)
	const chunked = "Transfer-Encoding: chunked\r\n"
	for i, c := range []struct {
		name, path, lines, rest string
		want                    int
		team                    []string
	}{
		{"key", "/look/a", keyLine(goldKey), "", 200, []string{goldTeam}},
		{"key in odd case", "/look/a", "kUMQUATLINK-tEAM-kEY: " + goldKey + "\r\n", "", 200, []string{goldTeam}},
		{"key twice", "/look/a", keyLine(goldKey) + keyLine(goldKey), "", 200, []string{goldTeam}},
		{"keys of two teams", "/look/a", keyLine(goldKey) + "kumquatlink-team-key: " + ironKey + "\r\n", "", 200, []string{goldTeam}},
		{"key as a hop's field", "/look/a", keyLine(goldKey) + "Connection: Kumquatlink-Team-Key\r\n", "", 200, []string{goldTeam}},
		{"key in a trailer too", "/look/a", keyLine(goldKey) + "Trailer: Kumquatlink-Team-Key\r\n" + chunked, "1\r\na\r\n0\r\n" + keyLine(goldKey) + "\r\n", 200, []string{goldTeam}},
		{"key in a trailer alone", "/look/a", "Trailer: Kumquatlink-Team-Key\r\n" + chunked, "1\r\na\r\n0\r\n" + keyLine(goldKey) + "\r\n", 401, nil},
		{"name of another team", "/look/a", keyLine(goldKey) + "Kumquatlink-Team: Iron\r\n", "", 200, []string{goldTeam}},
		{"name twice in odd case", "/look/a", "kumquatlink-TEAM: Iron\r\n" + keyLine(goldKey) + "KUMQUATLINK-team: Iron\r\n", "", 200, []string{goldTeam}},
		{"name in a trailer", "/look/a", keyLine(goldKey) + "Trailer: Kumquatlink-Team\r\n" + chunked, "0\r\nKumquatlink-Team: Iron\r\n\r\n", 200, []string{goldTeam}},
		{"no key on a public route", "/open/a", "", "", 200, nil},
		{"key and name on a public route", "/open/a", keyLine(goldKey) + "Kumquatlink-Team: Iron\r\n", "", 200, nil},
		{"unknown key on a public route", "/open/a", keyLine("tin-000000"), "", 200, nil},
	} {
		for _, entry := range []*host{f.near, f.far} {
			id := fmt.Sprintf("%s-%d", entry.settings.NodeID, i)
			f.awaitStatuses(entry.dial, strings.Replace(requestOf(c.path, id, c.lines), "GET ", "POST ", 1)+c.rest, c.want)
			f.mutex.Lock()
			if got := f.teams[id]; strings.Join(got, "|") != strings.Join(c.team, "|") {
				t.Errorf("%s at %s: got the teams %q at the server, want %q", c.name, entry.settings.NodeID, got, c.team)
			}
			if strings.Contains(f.seen[id], "tin-000000") {
				t.Errorf("%s at %s: got the key at the server, want none", c.name, entry.settings.NodeID)
			}
			f.mutex.Unlock()
		}
	}
	f.checkKeysHidden()
}

// TestMalformedRequestShowsAKey sends requests with keys that are refused before they are
// routed.
func TestMalformedRequestShowsAKey(t *testing.T) {
	t.Parallel()
	f := startTeams(t)
	for _, lines := range []string{
		"Kumquatlink-Team-Key : " + goldKey + "\r\n",
		"Kumquatlink Team-Key: " + goldKey + "\r\n",
		keyLine(goldKey) + "Host: shop\r\n",
		keyLine(goldKey) + "Content-Type: a/b\r\nContent-Type: b/a\r\n",
		"X-A: a\r\n " + goldKey + "\r\n",
		keyLine(goldKey + "\x01"),
	} {
		conn := f.near.dial()
		conn.send(requestOf("/look/a", "malformed", lines))
		if got := conn.status(); got != fasthttp.StatusBadRequest {
			t.Errorf("%q: got %d, want 400", lines, got)
		}
	}
	f.awaitLines(6, `"Cause":"BadRequest"`)
	f.checkKeysHidden()
}

// TestWithdrawnKeyIsAccepted withdraws a key while a connection that used it is kept.
func TestWithdrawnKeyIsAccepted(t *testing.T) {
	t.Parallel()
	f := startTeams(t)
	kept := map[*host]*callerConn{}
	for _, entry := range []*host{f.near, f.far} {
		kept[entry] = entry.dial()
		kept[entry].send(requestOf("/look/a", "before-"+entry.settings.NodeID, keyLine(ironKey)))
		if got := kept[entry].status(); got != 200 {
			t.Fatalf("key before it is withdrawn, at %s: got %d, want 200", entry.settings.NodeID, got)
		}
	}
	f.writeKeys(2, []string{"iron-new"}, route("/look/", "orders", false))
	f.awaitConvergence(2, 2)
	for entry, conn := range kept {
		id := entry.settings.NodeID
		f.awaitStatuses(func() *callerConn { return conn },
			requestOf("/look/a", "after-"+id, keyLine(ironKey))+requestOf("/look/a", "queued-"+id, keyLine(ironKey))+requestOf("/look/a", "new-"+id, keyLine("iron-new")), 401, 401, 200)
		if got := f.near.runCount("after-"+id) + f.near.runCount("queued-"+id); got != 0 {
			t.Errorf("runs with the withdrawn key, at %s: got %d, want none", id, got)
		}
	}
	f.checkKeysHidden()
}

// TestKeyIsRefusedWithoutRoutes sends a key to a node that knows no routes yet.
func TestKeyIsRefusedWithoutRoutes(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	h := f.add("orders-1", "orders")
	for _, lines := range []string{"", keyLine(goldKey)} {
		conn := h.dial()
		conn.send(requestOf("/look/a", "early", lines))
		if got := conn.status(); got != fasthttp.StatusServiceUnavailable {
			t.Errorf("request with %q: got %d, want 503", lines, got)
		}
	}
	if f.logCount(goldKey) > 0 {
		t.Error("log: got the key, want none")
	}
}
