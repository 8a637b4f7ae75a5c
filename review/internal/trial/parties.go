package trial

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Server is a ticket node: an HTTP/1.1 server of the case.
type Server struct {
	Name, Address string

	server *http.Server
}

// Serve starts a server at an address; port 0 stands for any.
func Serve(name, address string, handler http.HandlerFunc) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Server{Name: name, Address: listener.Addr().String(), server: &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}}
	go func() {
		if err := s.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			fmt.Println(name, err)
		}
	}()
	return s, nil
}

// Stop ends the server as a process that has been told to end does: it accepts nothing new and answers what it has.
func (s *Server) Stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), stopPatience)
	defer cancel()
	return s.server.Shutdown(ctx)
}

// Kill ends the server as a process that dies: its connections are reset or closed, new ones are refused.
func (s *Server) Kill() error { return s.server.Close() }

// Answer is what a client got for a request.
type Answer struct {
	Status   int
	Body     string
	Duration time.Duration
	Err      error // there was no complete answer
}

// String returns the answer for the record: its status and text, or why there is none.
func (a Answer) String() string {
	if a.Err != nil {
		return fmt.Sprintf("no answer after %d ms: %v", a.Duration.Milliseconds(), a.Err)
	}
	return fmt.Sprintf("%d %s", a.Status, strings.TrimSpace(a.Body))
}

// Client sends requests as an application does that keeps its connections to its sidecar.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the sidecar at an address. It gives up a request after the limit.
func NewClient(address string, limit time.Duration) *Client {
	return &Client{base: "http://" + address, http: &http.Client{Timeout: limit, Transport: &http.Transport{MaxIdleConnsPerHost: 16}}}
}

// Post sends a request and waits for its complete answer.
func (c *Client) Post(path, body string) (answer Answer) {
	start := time.Now()
	defer func() { answer.Duration = time.Since(start) }()
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, c.base+path, strings.NewReader(body))
	if err != nil {
		return Answer{Err: err}
	}
	response, err := c.http.Do(request)
	if err != nil {
		return Answer{Err: err}
	}
	defer func() { answer.Err = errors.Join(answer.Err, response.Body.Close()) }()
	answer.Status = response.StatusCode
	content, err := io.ReadAll(response.Body)
	answer.Body = string(content)
	answer.Err = err
	return answer
}
