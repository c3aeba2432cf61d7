// Package control is a broker's local control socket: a Unix socket that tells what the broker sees, for the command
// line and for agents on the same host, and takes what an installation's features let operators order. It speaks HTTP/1.1 with JSON.
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
	within   = 2 * time.Second // a request takes no longer
	bodyMost = 16 << 20        // of an answer
	headMost = 4 << 10
	together = 16 // connections at once
	// streamsMost is how many connections may be held open beside those.
	streamsMost = 64
)

// Served is what a socket serves, by name. Only this user reaches it.
type Served struct {
	// Pages are told: GET /v1/NAME gives what the function returns, as JSON; false is answered 503.
	Pages map[string]func() (any, bool)
	// Orders are taken: POST /v1/NAME with a query. An error is answered 409 with its text.
	Orders map[string]func(query url.Values) error
	// Streams are held open: POST /v1/NAME, after which both sides write JSON values for as long as they like.
	Streams map[string]func(query url.Values, conn io.ReadWriteCloser)
}

// Server serves the socket.
type Server struct {
	path string
	srv  *http.Server
}

// Listen opens the socket for this user alone. A socket that nobody serves any more is replaced, one that is served is not.
func Listen(path string, served Served) (*Server, error) {
	if conn, err := net.DialTimeout("unix", path, within); err == nil {
		conn.Close()
		return nil, fmt.Errorf("control socket %s: another process serves it", path)
	}
	if info, err := os.Lstat(path); err == nil {
		if info.Mode()&os.ModeSocket == 0 {
			return nil, fmt.Errorf("control socket %s: something else is there", path)
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
	open := make(chan struct{}, streamsMost)
	for name, stream := range served.Streams {
		mux.HandleFunc("POST /v1/"+name, func(w http.ResponseWriter, r *http.Request) {
			select {
			case open <- struct{}{}:
				defer func() { <-open }()
			default:
				http.Error(w, "too many are open", http.StatusConflict)
				return
			}
			conn, buffered, err := http.NewResponseController(w).Hijack()
			if err != nil {
				http.Error(w, err.Error(), http.StatusInternalServerError)
				return
			}
			defer conn.Close()
			conn.SetDeadline(time.Time{})
			if o, is := conn.(*one); is {
				o.leave() // it no longer counts among those that are short
			}
			io.WriteString(conn, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: json\r\n\r\n")
			stream(r.URL.Query(), readWriter{buffered, conn})
		})
	}
	s := &Server{path: path, srv: &http.Server{Handler: mux, ReadTimeout: within, WriteTimeout: within,
		IdleTimeout: within, MaxHeaderBytes: headMost}}
	go s.srv.Serve(&few{Listener: ln, room: make(chan struct{}, together)})
	return s, nil
}

// Close ends the server and removes the socket.
func (s *Server) Close() error { return s.srv.Close() }

// few accepts only so many connections at once: each takes a descriptor that clients need.
type few struct {
	net.Listener
	room chan struct{}
}

func (f *few) Accept() (net.Conn, error) {
	f.room <- struct{}{}
	conn, err := f.Listener.Accept()
	if err != nil {
		<-f.room
		return nil, err
	}
	return &one{Conn: conn, room: f.room}, nil
}

// readWriter reads what the server had read already, and then the connection.
type readWriter struct {
	in *bufio.ReadWriter
	net.Conn
}

func (r readWriter) Read(p []byte) (int, error) { return r.in.Read(p) }

// leave gives a connection's room back though it is open.
func (o *one) leave() {
	if !o.closed {
		o.closed = true
		<-o.room
	}
}

type one struct {
	net.Conn
	room   chan struct{}
	closed bool
}

func (o *one) Close() error {
	err := o.Conn.Close()
	if !errors.Is(err, net.ErrClosed) && !o.closed {
		o.closed = true
		<-o.room
	}
	return err
}

func dial(path string) *http.Client {
	return &http.Client{Timeout: within, Transport: &http.Transport{DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "unix", path)
		}}}
}

// Get asks the socket for a page and reads it into v.
func Get(path, page string, v any) error {
	res, err := dial(path).Get("http://broker/v1/" + page)
	if err != nil {
		return fmt.Errorf("control socket %s: %w", path, err)
	}
	body, err := answer(path, page, res)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, v); err != nil {
		return fmt.Errorf("control socket %s: %w", path, err)
	}
	return nil
}

// answer reads an answer's body; another than 200 is an error with its text.
func answer(path, name string, res *http.Response) ([]byte, error) {
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, bodyMost))
	switch {
	case err != nil:
		return nil, fmt.Errorf("control socket %s: %w", path, err)
	case res.StatusCode == http.StatusNotFound:
		return nil, fmt.Errorf("control socket %s: this broker does not tell of %s: the feature is off", path, name)
	case res.StatusCode == http.StatusConflict:
		return nil, errors.New(strings.TrimSpace(string(body)))
	case res.StatusCode != http.StatusOK:
		return nil, fmt.Errorf("control socket %s: %s: %s", path, res.Status, body)
	}
	return body, nil
}

// Post gives the socket an order.
func Post(path, order string, query url.Values) error {
	res, err := dial(path).Post("http://broker/v1/"+order+"?"+query.Encode(), "", nil)
	if err != nil {
		return fmt.Errorf("control socket %s: %w", path, err)
	}
	_, err = answer(path, order, res)
	return err
}

// Open opens a stream.
func Open(path, stream string, query url.Values) (io.ReadWriteCloser, error) {
	conn, err := net.DialTimeout("unix", path, within)
	if err != nil {
		return nil, fmt.Errorf("control socket %s: %w", path, err)
	}
	conn.SetDeadline(time.Now().Add(within))
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
		_, err := answer(path, stream, res)
		return nil, err
	}
	conn.SetDeadline(time.Time{})
	return readWriter{bufio.NewReadWriter(in, nil), conn}, nil
}
