package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// tcpClient is one connection of a client to the front of a machine.
type tcpClient struct {
	conn   net.Conn
	reader *bufio.Reader
	served int // answers so far
}

func (f *fleet) connect(machine int) (*tcpClient, error) {
	conn, err := net.DialTimeout("tcp4", f.at(machine, portFront), time.Second)
	if err != nil {
		return nil, err
	}
	return &tcpClient{conn: conn, reader: bufio.NewReader(conn)}, nil
}

func (c *tcpClient) close() { c.conn.Close() }

// head is the head of a request with more lines of its own, each with its end.
func head(method, target, host, id string, budget time.Duration, more string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nTime-Budget-Ms: %d\r\n%s\r\n", method, target, host, id, budget.Milliseconds(), more)
}

// read reads one whole answer; with an error, the status is that of a head that came without its whole body.
func (c *tcpClient) read(timeout time.Duration) (status int, header http.Header, body []byte, err error) {
	_ = c.conn.SetReadDeadline(time.Now().Add(timeout))
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, nil, nil, err
	}
	body, err = io.ReadAll(response.Body)
	if err != nil {
		return response.StatusCode, response.Header, body, err
	}
	c.served++
	return response.StatusCode, response.Header, body, nil
}

// post sends a request with a length and reads the answer.
func (c *tcpClient) post(target, host, id string, budget time.Duration, body []byte) (int, http.Header, []byte, error) {
	request := head("POST", target, host, id, budget, fmt.Sprintf("Content-Length: %d\r\n", len(body)))
	if _, err := c.conn.Write(append([]byte(request), body...)); err != nil {
		return 0, nil, nil, err
	}
	return c.read(budget + 2*time.Second)
}

// postChunked sends a request in chunks, at a rate in bytes a second, and reads the answer.
func (c *tcpClient) postChunked(target, host, id string, budget time.Duration, size, rate int) (int, http.Header, []byte, error) {
	const chunkBytes = 64 << 10
	if _, err := c.conn.Write([]byte(head("POST", target, host, id, budget, "Transfer-Encoding: chunked\r\n"))); err != nil {
		return 0, nil, nil, err
	}
	start := time.Now()
	for sent := 0; sent < size; {
		n := min(chunkBytes, size-sent)
		chunk := append(fmt.Appendf(nil, "%x\r\n", n), bytes.Repeat([]byte("x"), n)...)
		if _, err := c.conn.Write(append(chunk, "\r\n"...)); err != nil {
			break // an answer may have come
		}
		sent += n
		time.Sleep(time.Until(start.Add(time.Duration(sent) * time.Second / time.Duration(rate))))
	}
	_, _ = c.conn.Write([]byte("0\r\n\r\n"))
	return c.read(budget + 2*time.Second)
}
