package peerlink

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/gob"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	"gullstair/internal/dissemination"
	"gullstair/internal/memnet"
	"gullstair/internal/register"
)

type note struct{ Text string }

func init() { dissemination.RegisterBody("test note", note{}) }

const address = "10.0.0.1:9000"

// randomMessage returns a random call, small or large.
func randomMessage(random *rand.Rand) Message {
	switch random.IntN(4) {
	case 0:
		return Message{Digest: &Digest{From: fmt.Sprint(random.Uint32()), View: []string{"10.0.0.1", "10.0.0.2"}}}
	case 1:
		return Message{Accept: &register.Accept{Value: register.Value{Payload: bytes.Repeat([]byte{byte(random.Uint32())}, random.IntN(1<<16))}}}
	case 2:
		return Message{Lacks: true}
	default:
		m := Message{Records: &Records{From: "10.0.0.3"}}
		for number := range 1 + random.IntN(20) {
			m.Records.Records = append(m.Records.Records, dissemination.Record{Kind: 't', Key: fmt.Sprint(number),
				Version: dissemination.Version{Sequence: random.Uint64()}, Body: note{strings.Repeat("z", random.IntN(200))}})
		}
		return m
	}
}

// echo serves at the address until the test ends and replies to each call with the same message.
func echo(t *testing.T, network *memnet.Net) {
	listener, err := network.Host("10.0.0.1").Listen(address)
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = Serve(listener, &Traffic{}, nil, func(m *Message) *Message {
			reply := *m
			return &reply
		})
	}()
	t.Cleanup(func() { listener.Close() })
}

// mustEcho makes a call to an echo server and checks the reply.
func mustEcho(t *testing.T, client *Client, to string, call Message) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	reply, err := client.Call(ctx, to, call)
	if err != nil {
		t.Errorf("a call failed: %v", err)
		return
	}
	call.ID, call.Reply = reply.ID, true
	if !reflect.DeepEqual(*reply, call) {
		t.Errorf("sent %+v, received %+v", call, *reply)
	}
}

// TestCalls runs concurrent calls of many clients, several on each connection. Every reply must belong to its call.
func TestCalls(t *testing.T) {
	network := memnet.New(0)
	echo(t, network)
	var all sync.WaitGroup
	for seed := range uint64(40) {
		client := NewClient(network.Host(fmt.Sprint("10.0.1.", seed)), &Traffic{})
		t.Cleanup(client.Close)
		for caller := range uint64(3) {
			all.Go(func() {
				random := rand.New(rand.NewPCG(seed, caller))
				for range 20 {
					mustEcho(t, client, address, randomMessage(random))
				}
			})
		}
	}
	all.Wait()
}

// legacyPeer speaks the protocol as earlier releases did: each connection has its own encoder and decoder, and types
// are defined when they are first used.
type legacyPeer struct {
	conn    net.Conn
	out, in bytes.Buffer
	encoder *gob.Encoder
	decoder *gob.Decoder
}

func newLegacyPeer(conn net.Conn) *legacyPeer {
	e := &legacyPeer{conn: conn}
	e.encoder, e.decoder = gob.NewEncoder(&e.out), gob.NewDecoder(&e.in)
	return e
}

func (e *legacyPeer) write(m *Message) error {
	e.out.Reset()
	if err := e.encoder.Encode(m); err != nil {
		return err
	}
	frame := binary.LittleEndian.AppendUint32(nil, uint32(e.out.Len()))
	_, err := e.conn.Write(append(frame, e.out.Bytes()...))
	return err
}

func (e *legacyPeer) read(m *Message) error {
	var header [frameHeader]byte
	if _, err := io.ReadFull(e.conn, header[:]); err != nil {
		return err
	}
	if _, err := io.CopyN(&e.in, e.conn, int64(binary.LittleEndian.Uint32(header[:]))); err != nil {
		return err
	}
	return e.decoder.Decode(m)
}

// TestEarlierRelease makes calls from an earlier release to this one, and the reverse.
func TestEarlierRelease(t *testing.T) {
	network := memnet.New(0)
	echo(t, network)
	conn, err := network.Host("10.0.0.2").Dial(context.Background(), address, time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	old, random := newLegacyPeer(conn), rand.New(rand.NewPCG(3, 1))
	for number := range uint64(100) {
		call, reply := randomMessage(random), Message{}
		call.ID = number + 1
		if err := old.write(&call); err != nil {
			t.Fatal(err)
		}
		if err := old.read(&reply); err != nil {
			t.Fatal(err)
		}
		call.Reply = true
		if !reflect.DeepEqual(call, reply) {
			t.Fatalf("call %d: sent %+v, received %+v", number, call, reply)
		}
	}

	listener, err := network.Host("10.0.0.3").Listen("10.0.0.3:9000")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		old := newLegacyPeer(conn)
		for {
			m := Message{}
			if old.read(&m) != nil {
				return
			}
			m.Reply = true
			if old.write(&m) != nil {
				return
			}
		}
	}()
	client := NewClient(network.Host("10.0.0.4"), &Traffic{})
	defer client.Close()
	for range 100 {
		mustEcho(t, client, "10.0.0.3:9000", randomMessage(random))
	}
}

// TestCorruptFrames sends frames that are invalid or cut short. Each must lose its connection, and calls of other
// clients must still succeed.
func TestCorruptFrames(t *testing.T) {
	network := memnet.New(0)
	echo(t, network)
	good := NewClient(network.Host("10.0.0.9"), &Traffic{})
	defer good.Close()
	random := rand.New(rand.NewPCG(5, 1))
	for range 200 {
		conn, err := network.Host("10.0.0.8").Dial(context.Background(), address, time.Minute)
		if err != nil {
			t.Fatal(err)
		}
		noise := make([]byte, random.IntN(100))
		for at := range noise {
			noise[at] = byte(random.Uint32())
		}
		length := []int{len(noise), len(noise) + 1, maxFrame + 1}[random.IntN(3)]
		_, _ = conn.Write(append(binary.LittleEndian.AppendUint32(nil, uint32(length)), noise...))
		conn.Close()
		mustEcho(t, good, address, randomMessage(random))
	}
}
