package rig2

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Request is a request of a caller.
type Request struct {
	Method, Host, Path, Key, ID string
	Body                        string
	// Deadline is how long the caller waits, in milliseconds.
	Deadline string
}

// Bytes returns the bytes of the request.
func (r Request) Bytes() string {
	lines := []string{r.Method + " " + r.Path + " HTTP/1.1", "Host: " + r.Host, Name("request") + ": " + r.ID, Name("deadline") + ": " + r.Deadline}
	if r.Key != "" {
		lines = append(lines, Name("key")+": "+r.Key)
	}
	if r.Body != "" || r.Method != http.MethodGet {
		lines = append(lines, "Content-Length: "+itoa(len(r.Body)))
	}
	return strings.Join(lines, "\r\n") + "\r\n\r\n" + r.Body
}

// Send sends the request on a connection of its own, and returns the status, 0 if there is
// no whole answer, and the body.
func (n *Node) Send(r Request, wait time.Duration) (int, http.Header, []byte) {
	c, err := net.DialTimeout("tcp", n.Outbound(), time.Second)
	if err != nil {
		return 0, nil, nil
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(wait))
	n.fleet.Record.Printf("caller at %s sends %s %s%s, %s", n.Name, r.Method, r.Host, r.Path, r.ID)
	if _, err := io.WriteString(c, r.Bytes()); err != nil {
		return 0, nil, nil
	}
	answer, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, nil, nil
	}
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return 0, nil, nil
	}
	return answer.StatusCode, answer.Header, body
}
