// Package control provides the server and the client of a broker's local control socket, a Unix socket that speaks HTTP/1.1
// with JSON. The command line and agents on the same host use it to read the broker's state and to send the orders that the
// enabled features offer.
package control

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"
)

const (
	requestTimeout = 2 * time.Second // timeout of a request
	maxBodyBytes   = 16 << 20        // size limit of an answer
	maxHeaderBytes = 4 << 10
	maxConnections = 16 // limit of concurrent connections, without streams
	// maxStreams limits the streams, which do not count as connections.
	maxStreams = 64
)

// Handlers holds the handlers of a socket by name. Only processes of the same user can connect to the socket.
type Handlers struct {
	// Pages answer GET /v1/NAME with the JSON of the returned value, or with 503 if the function returns false.
	Pages map[string]func() (any, bool)
	// Orders execute POST /v1/NAME with a query. An error is answered with 409 and its text.
	Orders map[string]func(query url.Values) error
	// Streams upgrade the connection of POST /v1/NAME, after which both sides may write JSON values until one closes it.
	Streams map[string]func(query url.Values, conn io.ReadWriteCloser)
}

// Server serves the socket.
type Server struct {
	path   string
	server *http.Server
}

// Listen opens the socket with access for the current user only. It replaces a stale socket file, but returns an error if
// another process serves the socket or if the path is not a socket.
func Listen(path string, served Handlers) (*Server, error) {
	if conn, err := net.DialTimeout("unix", path, requestTimeout); err == nil {
		conn.Close()
		return nil, fmt.Errorf("control socket %s: another process serves it", path)
	}
	if info, err := os.Lstat(path); err == nil {
		if info.Mode()&os.ModeSocket == 0 {
			return nil, fmt.Errorf("control socket %s: the path exists and is not a socket", path)
		}
		os.Remove(path)
	}
	ln, err := net.Listen("unix", path)
	if err != nil {
		return nil, fmt.Errorf("control socket: %w", err)
	}
	if err := os.Chmod(path, 0o600); err != nil {
		ln.Close()
		return nil, fmt.Errorf("control socket: %w", err)
	}
	mux := http.NewServeMux()
	for name, page := range served.Pages {
		mux.HandleFunc("GET /v1/"+name, func(w http.ResponseWriter, _ *http.Request) {
			v, ok := page()
			if !ok {
				http.Error(w, "not running", http.StatusServiceUnavailable)
				return
			}
			w.Header().Set("Content-Type", "application/json")
			json.NewEncoder(w).Encode(v)
		})
	}
	for name, order := range served.Orders {
		mux.HandleFunc("POST /v1/"+name, func(w http.ResponseWriter, r *http.Request) {
			if err := order(r.URL.Query()); err != nil {
				http.Error(w, err.Error(), http.StatusConflict)
			}
		})
	}
	open := make(chan struct{}, maxStreams)
	for name, stream := range served.Streams {
		mux.HandleFunc("POST /v1/"+name, func(w http.ResponseWriter, r *http.Request) {
			select {
			case open <- struct{}{}:
				defer func() { <-open }()
			default:
				http.Error(w, "too many streams are open", http.StatusConflict)
				return
			}
			conn, buffered, err := http.NewResponseController(w).Hijack()
			if err != nil {
				http.Error(w, err.Error(), http.StatusInternalServerError)
				return
			}
			defer conn.Close()
			conn.SetDeadline(time.Time{})
			if limited, ok := conn.(*limitedConn); ok {
				limited.release() // a stream does not count toward the connection limit
			}
			io.WriteString(conn, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: json\r\n\r\n")
			stream(r.URL.Query(), readWriter{buffered, conn})
		})
	}
	s := &Server{path: path, server: &http.Server{Handler: mux, ReadTimeout: requestTimeout, WriteTimeout: requestTimeout,
		IdleTimeout: requestTimeout, MaxHeaderBytes: maxHeaderBytes}}
	go s.server.Serve(&limitListener{Listener: ln, slots: make(chan struct{}, maxConnections)})
	return s, nil
}

// Close ends the server and removes the socket.
func (s *Server) Close() error { return s.server.Close() }

// limitListener limits the number of concurrent connections, since each uses a file descriptor that is then not available
// for clients.
type limitListener struct {
	net.Listener
	slots chan struct{}
}

func (l *limitListener) Accept() (net.Conn, error) {
	l.slots <- struct{}{}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &limitedConn{Conn: conn, slots: l.slots}, nil
}

// readWriter is a connection whose Read first returns the bytes that are already buffered.
type readWriter struct {
	in *bufio.ReadWriter
	net.Conn
}

func (r readWriter) Read(p []byte) (int, error) { return r.in.Read(p) }

// release frees the slot of a connection that stays open.
func (c *limitedConn) release() {
	if !c.released {
		c.released = true
		<-c.slots
	}
}

// limitedConn is a connection that holds a slot of a limitListener.
type limitedConn struct {
	net.Conn
	slots    chan struct{}
	released bool
}

func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	if !errors.Is(err, net.ErrClosed) && !c.released {
		c.released = true
		<-c.slots
	}
	return err
}

func dial(path string) *http.Client {
	return &http.Client{Timeout: requestTimeout, Transport: &http.Transport{DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "unix", path)
		}}}
}

// Get requests a page from the socket and decodes it into v.
func Get(path, page string, v any) error {
	res, err := dial(path).Get("http://broker/v1/" + page)
	if err != nil {
		return fmt.Errorf("control socket %s: %w", path, err)
	}
	body, err := readAnswer(path, page, res)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, v); err != nil {
		return fmt.Errorf("control socket %s: %w", path, err)
	}
	return nil
}

// readAnswer reads the body of an answer. Any status other than 200 becomes an error.
func readAnswer(path, name string, res *http.Response) ([]byte, error) {
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxBodyBytes))
	switch {
	case err != nil:
		return nil, fmt.Errorf("control socket %s: %w", path, err)
	case res.StatusCode == http.StatusNotFound:
		return nil, fmt.Errorf("control socket %s: this broker does not serve %s: the feature is off", path, name)
	case res.StatusCode == http.StatusConflict:
		return nil, errors.New(strings.TrimSpace(string(body)))
	case res.StatusCode != http.StatusOK:
		return nil, fmt.Errorf("control socket %s: %s: %s", path, res.Status, body)
	}
	return body, nil
}

// Post sends an order to the socket.
func Post(path, order string, query url.Values) error {
	res, err := dial(path).Post("http://broker/v1/"+order+"?"+query.Encode(), "", nil)
	if err != nil {
		return fmt.Errorf("control socket %s: %w", path, err)
	}
	_, err = readAnswer(path, order, res)
	return err
}

// Open opens a stream.
func Open(path, stream string, query url.Values) (io.ReadWriteCloser, error) {
	conn, err := net.DialTimeout("unix", path, requestTimeout)
	if err != nil {
		return nil, fmt.Errorf("control socket %s: %w", path, err)
	}
	conn.SetDeadline(time.Now().Add(requestTimeout))
	req, err := http.NewRequest(http.MethodPost, "http://broker/v1/"+stream+"?"+query.Encode(), nil)
	if err == nil {
		err = req.Write(conn)
	}
	in := bufio.NewReader(conn)
	var res *http.Response
	if err == nil {
		res, err = http.ReadResponse(in, req)
	}
	if err != nil {
		conn.Close()
		return nil, fmt.Errorf("control socket %s: %w", path, err)
	}
	if res.StatusCode != http.StatusSwitchingProtocols {
		defer conn.Close()
		_, err := readAnswer(path, stream, res)
		return nil, err
	}
	conn.SetDeadline(time.Time{})
	return readWriter{bufio.NewReadWriter(in, nil), conn}, nil
}
