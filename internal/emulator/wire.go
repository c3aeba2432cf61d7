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

// This file implements the emulated peers' side of the protocols of the brokers: stores, clients and discovery. It is
// written from the specification and shares no code with the broker, so that a fault in one implementation shows up as a
// mismatch with the other.

// Limits on the size of frames and HTTP bodies, in bytes.
const (
	maxFrameBytes = 1 << 20
	maxBodyBytes  = 1 << 20
)

// errProtocol is wrapped by errors about messages that violate the protocol.
var errProtocol = errors.New("protocol violation")

// readFrame reads one frame from a broker's connection to a store: a length of four bytes (big-endian), a letter that
// gives the type, and the payload. The length counts the letter.
func readFrame(in *bufio.Reader) (letter byte, payload []byte, err error) {
	var header [4]byte
	if _, err := io.ReadFull(in, header[:]); err != nil {
		return 0, nil, err
	}
	length := binary.BigEndian.Uint32(header[:])
	if length < 1 || length > maxFrameBytes {
		return 0, nil, fmt.Errorf("%w: invalid frame length %d", errProtocol, length)
	}
	frame := make([]byte, length)
	if _, err := io.ReadFull(in, frame); err != nil {
		return 0, nil, err
	}
	return frame[0], frame[1:], nil
}

// encodeFrame returns a frame with the given type and payload.
func encodeFrame(letter byte, payload string) []byte {
	frame := binary.BigEndian.AppendUint32(nil, uint32(1+len(payload)))
	return append(append(frame, letter), payload...)
}

// wirePart is a part of a request frame (R).
type wirePart struct {
	id             string
	shard          int
	timeLeft       float64 // ms until the broker stops waiting
	key            string  // for deduplication; may be empty
	answeredShards string  // step 2: the shards that answered step 1
	text           string
}

// parseCall parses the payload of a request frame (R): for each part a line "ID SHARD OPTIONS LENGTH", followed by LENGTH
// bytes of text. OPTIONS is a comma-separated list of name=value.
func parseCall(payload []byte) (parts []wirePart, err error) {
	for remaining := string(payload); remaining != ""; {
		header, tail, ok := strings.Cut(remaining, "\n")
		fields := strings.Split(header, " ")
		if !ok || len(fields) != 4 {
			return nil, fmt.Errorf("%w: line %.60q", errProtocol, header)
		}
		part := wirePart{id: fields[0]}
		length, err1 := strconv.Atoi(fields[3])
		shard, err2 := strconv.Atoi(fields[1])
		if err1 != nil || err2 != nil || length < 0 || length > len(tail) || shard < 0 {
			return nil, fmt.Errorf("%w: line %.60q", errProtocol, header)
		}
		part.shard, part.text, remaining = shard, tail[:length], tail[length:]
		for _, option := range strings.Split(fields[2], ",") {
			switch name, value, _ := strings.Cut(option, "="); name {
			case "d":
				if part.timeLeft, err = strconv.ParseFloat(value, 64); err != nil {
					return nil, fmt.Errorf("%w: %.60q", errProtocol, option)
				}
			case "k":
				part.key = value
			case "from":
				part.answeredShards = value
			}
		}
		parts = append(parts, part)
	}
	return parts, nil
}

// String returns the load report as stores send it.
func (l Load) String() string {
	return fmt.Sprintf("inflight=%d,queue=%d,util=%.2f", int(l.Running), int(l.Queued), l.Utilization)
}

// encodeRequest returns the HTTP request of a client for a scan; timeLeft is in ms. An empty tenant sends no
// X-Account header.
func encodeRequest(host string, scan *core.Scan, tableType, tenant string, timeLeft float64) ([]byte, error) {
	type segment struct {
		Segment int     `json:"segment"`
		Boost   float64 `json:"boost"`
		Work    float64 `json:"work"`
	}
	body := struct {
		Segments []segment `json:"segments"`
		Text     string    `json:"text"`
	}{Text: scan.Text}
	for _, part := range scan.Parts {
		body.Segments = append(body.Segments, segment{part.Shard, part.Weight, part.Work * 1000})
	}
	text, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	header := fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: %s\r\nX-Correlation-Id: %s\r\nX-Time-Left-Ms: %d\r\nContent-Length: %d\r\n", tableType, host,
		scan.ID, int(timeLeft), len(text))
	if scan.Key != "" {
		header += "Idempotency-Key: " + scan.Key + "\r\n"
	}
	if tenant != "" {
		header += "X-Account: " + tenant + "\r\n"
	}
	return append([]byte(header+"\r\n"), text...), nil
}

// readResponse reads a broker's HTTP response. It reports in last whether the connection can't be reused. Any status other
// than 200, 429 and 503 means that the scan was abandoned.
func readResponse(in *bufio.Reader) (reply core.Reply, last bool, err error) {
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return reply, true, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes))
	if err != nil {
		return reply, true, err
	}
	last = resp.Close
	switch resp.StatusCode {
	case http.StatusOK:
		var body struct {
			AllIn   bool `json:"all_in"`
			Matches []struct {
				Segment int    `json:"segment"`
				Payload string `json:"payload"`
			} `json:"matches"`
		}
		if err := json.Unmarshal(text, &body); err != nil {
			return reply, true, fmt.Errorf("%w: %v", errProtocol, err)
		}
		reply.Kind, reply.Complete = logic.Answer, body.AllIn
		for _, match := range body.Matches {
			reply.Hits = append(reply.Hits, core.Hit{Shard: match.Segment, Value: match.Payload})
		}
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		reply.Kind = logic.Throttle
		if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
			reply.RetryAfter = seconds * 1000
		}
	default:
		reply.Kind = logic.Abandon
	}
	return reply, last, nil
}

// healthNames holds the names of the readiness states in the protocol of discovery.
var healthNames = map[logic.Readiness]string{logic.Ready: "SERVING", logic.Draining: "DRAINING", logic.Gone: "DELETED"}

// encodeNodeList returns a node list in the JSON form of discovery; full means the full list, otherwise only changes. dial
// returns the address of a host.
func encodeNodeList(seq int64, full bool, nodes []core.Node, dial func(host string) string) map[string]any {
	hosts := []any{}
	for _, node := range nodes {
		hosts = append(hosts, map[string]any{"host": node.Host, "dial": dial(node.Host), "site": node.Zone, "class": node.Kind, "block": node.Cell,
			"health": healthNames[node.Readiness], "share": node.Units, "born_ms": node.Born})
	}
	return map[string]any{"seq": seq, "whole": full, "hosts": hosts}
}

// nestSettings converts settings with dotted keys to the nested form of a start file.
func nestSettings(flat map[string]any) any {
	root := map[string]any{}
	for key, value := range flat {
		parent := root
		path := strings.Split(key, ".")
		if path[len(path)-1] == "count" {
			continue // lists have no explicit length in the nested form
		}
		for _, name := range path[:len(path)-1] {
			child, ok := parent[name].(map[string]any)
			if !ok {
				child = map[string]any{}
				parent[name] = child
			}
			parent = child
		}
		parent[path[len(path)-1]] = value
	}
	return convertLists(root)
}

// convertLists converts objects whose keys are exactly 0 to n-1 to lists, recursively.
func convertLists(value any) any {
	object, ok := value.(map[string]any)
	if !ok {
		return value
	}
	list := make([]any, len(object))
	allNumeric := len(object) > 0
	for key, child := range object {
		object[key] = convertLists(child)
		if index, err := strconv.Atoi(key); err == nil && index >= 0 && index < len(list) {
			list[index] = object[key]
		} else {
			allNumeric = false
		}
	}
	if allNumeric {
		return list
	}
	return object
}

// serveConn serves HTTP requests on a connection, one after the other, until either side closes it or handle returns the
// status 0. A connection that stays idle for 90 s is closed.
func serveConn(conn net.Conn, handle func(*http.Request) (status int, body any)) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		conn.SetReadDeadline(time.Now().Add(90 * time.Second))
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		io.Copy(io.Discard, io.LimitReader(req.Body, maxBodyBytes))
		status, body := handle(req)
		if status == 0 {
			return
		}
		text, err := json.Marshal(body)
		if err != nil {
			return
		}
		if _, err := fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", status,
			http.StatusText(status), len(text), text); err != nil || req.Close {
			return
		}
	}
}
