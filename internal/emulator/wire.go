package emulator

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"gullstair/internal/core"
	"gullstair/logic"
)

// The users' protocol at the stand-ins' end, written from its page and apart from the broker's own code, so that a mistake
// of one is seen by the other.

const (
	frameMost = 1 << 20
	bodyMost  = 1 << 20
)

var errWire = errors.New("not as the protocol says")

// readFrame reads one frame of a node's connection.
func readFrame(in *bufio.Reader) (letter byte, rest []byte, err error) {
	var head [4]byte
	if _, err := io.ReadFull(in, head[:]); err != nil {
		return 0, nil, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n < 1 || n > frameMost {
		return 0, nil, fmt.Errorf("%w: a frame of %d bytes", errWire, n)
	}
	b := make([]byte, n)
	if _, err := io.ReadFull(in, b); err != nil {
		return 0, nil, err
	}
	return b[0], b[1:], nil
}

func frameOf(letter byte, rest string) []byte {
	b := binary.BigEndian.AppendUint32(nil, uint32(1+len(rest)))
	return append(append(b, letter), rest...)
}

// wirePart is a part as a frame R brings it.
type wirePart struct {
	id    string
	shard int
	wait  float64 // ms
	key   string
	from  string
	text  string
}

// readCall reads a frame R: for each part a line ID SHARD LIST LENGTH, and so many bytes.
func readCall(rest []byte) (parts []wirePart, err error) {
	for s := string(rest); s != ""; {
		line, tail, ok := strings.Cut(s, "\n")
		words := strings.Split(line, " ")
		if !ok || len(words) != 4 {
			return nil, fmt.Errorf("%w: line %.60q", errWire, line)
		}
		p := wirePart{id: words[0]}
		n, err1 := strconv.Atoi(words[3])
		shard, err2 := strconv.Atoi(words[1])
		if err1 != nil || err2 != nil || n < 0 || n > len(tail) || shard < 0 {
			return nil, fmt.Errorf("%w: line %.60q", errWire, line)
		}
		p.shard, p.text, s = shard, tail[:n], tail[n:]
		for _, item := range strings.Split(words[2], ",") {
			switch name, val, _ := strings.Cut(item, "="); name {
			case "d":
				if p.wait, err = strconv.ParseFloat(val, 64); err != nil {
					return nil, fmt.Errorf("%w: %.60q", errWire, item)
				}
			case "k":
				p.key = val
			case "from":
				p.from = val
			}
		}
		parts = append(parts, p)
	}
	return parts, nil
}

func (l Load) String() string {
	return fmt.Sprintf("inflight=%d,queue=%d,util=%.2f", int(l.Running), int(l.Waiting), l.Busy)
}

// request words a client's scan.
func request(host string, sc *core.Scan, typ, tenant string, left float64) ([]byte, error) {
	type segment struct {
		Segment int     `json:"segment"`
		Boost   float64 `json:"boost"`
		Work    float64 `json:"work"`
	}
	body := struct {
		Segments []segment `json:"segments"`
		Text     string    `json:"text"`
	}{Text: sc.Text}
	for _, p := range sc.Parts {
		body.Segments = append(body.Segments, segment{p.Shard, p.Weight, p.Work * 1000})
	}
	text, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	head := fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: %s\r\nX-Correlation-Id: %s\r\nX-Time-Left-Ms: %d\r\nContent-Length: %d\r\n", typ, host,
		sc.ID, int(left), len(text))
	if sc.Key != "" {
		head += "Idempotency-Key: " + sc.Key + "\r\n"
	}
	if tenant != "" {
		head += "X-Account: " + tenant + "\r\n"
	}
	return append([]byte(head+"\r\n"), text...), nil
}

// response reads a broker's answer.
func response(in *bufio.Reader) (r core.Reply, last bool, err error) {
	res, err := http.ReadResponse(in, nil)
	if err != nil {
		return r, true, err
	}
	defer res.Body.Close()
	text, err := io.ReadAll(io.LimitReader(res.Body, bodyMost))
	if err != nil {
		return r, true, err
	}
	last = res.Close
	switch res.StatusCode {
	case http.StatusOK:
		var body struct {
			AllIn   bool `json:"all_in"`
			Matches []struct {
				Segment int    `json:"segment"`
				Payload string `json:"payload"`
			} `json:"matches"`
		}
		if err := json.Unmarshal(text, &body); err != nil {
			return r, true, fmt.Errorf("%w: %v", errWire, err)
		}
		r.Kind, r.Complete = logic.Answer, body.AllIn
		for _, m := range body.Matches {
			r.Hits = append(r.Hits, core.Hit{Shard: m.Segment, Value: m.Payload})
		}
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		r.Kind = logic.Throttle
		if s, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64); err == nil {
			r.RetryAfter = s * 1000
		}
	default:
		r.Kind = logic.Abandon
	}
	return r, last, nil
}

var healthWords = map[logic.Readiness]string{logic.Ready: "SERVING", logic.Draining: "DRAINING", logic.Gone: "DELETED"}

// listing words a list as discovery does.
func listing(seq int64, whole bool, nodes []core.Node, dial func(host string) string) map[string]any {
	hosts := []any{}
	for _, n := range nodes {
		hosts = append(hosts, map[string]any{"host": n.Host, "dial": dial(n.Host), "site": n.Zone, "class": n.Kind, "block": n.Cell,
			"health": healthWords[n.Readiness], "share": n.Units, "born_ms": n.Born})
	}
	return map[string]any{"seq": seq, "whole": whole, "hosts": hosts}
}

// tree makes the nested form that a start file has of the flat settings.
func tree(flat map[string]any) any {
	top := map[string]any{}
	for key, v := range flat {
		at := top
		words := strings.Split(key, ".")
		if words[len(words)-1] == "count" {
			continue // a list says its length by itself
		}
		for _, w := range words[:len(words)-1] {
			next, known := at[w].(map[string]any)
			if !known {
				next = map[string]any{}
				at[w] = next
			}
			at = next
		}
		at[words[len(words)-1]] = v
	}
	return listed(top)
}

// listed turns objects whose keys are all numbers into lists.
func listed(v any) any {
	m, is := v.(map[string]any)
	if !is {
		return v
	}
	list := make([]any, len(m))
	numbers := len(m) > 0
	for k, child := range m {
		m[k] = listed(child)
		if n, err := strconv.Atoi(k); err == nil && n >= 0 && n < len(list) {
			list[n] = m[k]
		} else {
			numbers = false
		}
	}
	if numbers {
		return list
	}
	return m
}

// answerOnce serves one HTTP request after the other on a connection, until either side ends it.
func answerOnce(conn net.Conn, handle func(*http.Request) (status int, body any)) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		conn.SetReadDeadline(time.Now().Add(90 * time.Second))
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		io.Copy(io.Discard, io.LimitReader(req.Body, bodyMost))
		status, v := handle(req)
		if status == 0 {
			return
		}
		text, err := json.Marshal(v)
		if err != nil {
			return
		}
		if _, err := fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", status,
			http.StatusText(status), len(text), text); err != nil || req.Close {
			return
		}
	}
}
