package rig

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

var lastID atomic.Int64

// NewID returns an ID that no other request has.
func NewID() string { return fmt.Sprintf("%08x%08x", time.Now().UnixNano()&0xffffffff, lastID.Add(1)) }

// Connection is a connection of a client to the node on its machine.
type Connection struct {
	net.Conn
	reader *bufio.Reader
}

// Dial opens a connection.
func Dial(address string) (*Connection, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &Connection{Conn: c, reader: bufio.NewReader(c)}, nil
}

// Request is a request of a client.
type Request struct {
	ID       string
	Method   string
	Host     string
	Path     string
	Deadline time.Duration
	// Headers are further header lines, each without its line end.
	Headers []string
	Body    []byte
}

// Head returns the request as it is sent, up to its body.
func (r Request) Head() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", r.Method, r.Path, r.Host, names.RequestID, r.ID, names.Deadline, r.Deadline.Milliseconds())
	for _, h := range r.Headers {
		b.WriteString(h + "\r\n")
	}
	if len(r.Body) > 0 || r.Method != http.MethodGet {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// Send writes a request.
func (c *Connection) Send(r Request) error {
	_, err := c.Write(append(r.Head(), r.Body...))
	return err
}

// Answer is an answer that a client has read whole.
type Answer struct {
	Status int
	ID     string
	Stamp  string
	Body   []byte
	Closes bool
}

// Read reads an answer.
func (c *Connection) Read(method string) (Answer, error) {
	r, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return Answer{}, err
	}
	defer r.Body.Close()
	body, err := io.ReadAll(r.Body)
	a := Answer{Status: r.StatusCode, ID: r.Header.Get(names.RequestID), Stamp: r.Header.Get(names.Stamp), Body: body, Closes: r.Close}
	return a, err
}

// Reader returns the buffered reader of the connection.
func (c *Connection) Reader() *bufio.Reader { return c.reader }
