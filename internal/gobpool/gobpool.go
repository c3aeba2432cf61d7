// Package gobpool encodes and decodes the gob streams of many connections with a few shared encoders and decoders.
//
// An encoder or decoder of encoding/gob belongs to one stream. It analyzes its types anew and keeps the result, tens
// of KB, as long as the stream is open. However, two streams differ only in the type definitions that they have
// carried. So all encoders of a pool define the same types before their first message, and one decoder can read all
// streams that begin with exactly these definitions. On the wire the streams are ordinary gob streams. A stream that
// begins with other definitions, such as one from another release, gets its own decoder. The package does no I/O.
package gobpool

import (
	"bytes"
	"encoding/gob"
	"reflect"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
)

const (
	maxIdle        = 4       // maximum number of idle encoders, and of idle decoders
	maxKeptMessage = 1 << 16 // an encoder or decoder is discarded with its buffers after a message of more bytes
)

// encoder has defined all types of its pool. It writes to text.
type encoder struct {
	text bytes.Buffer
	gob  *gob.Encoder
}

// Encoders is a pool of encoders for values of the samples' types. Interface fields may hold values of these types
// too.
type Encoders struct {
	samples     []any
	types       map[reflect.Type]bool
	definitions []byte

	mu   sync.Mutex
	idle []*encoder
}

// NewEncoders creates a pool. Types that interface fields hold must be registered with gob, and their samples come
// first.
func NewEncoders(samples ...any) (*Encoders, error) {
	p := &Encoders{samples: samples, types: map[reflect.Type]bool{}}
	for _, sample := range samples {
		p.types[reflect.TypeOf(sample)] = true
	}
	first, definitions, err := p.newEncoder()
	if err != nil {
		return nil, err
	}
	p.definitions, p.idle = definitions, []*encoder{first}
	return p, nil
}

// Definitions returns the type definitions that each stream of these encoders begins with.
func (p *Encoders) Definitions() []byte { return p.definitions }

// newEncoder creates an encoder and returns it with the definitions that it has written.
func (p *Encoders) newEncoder() (*encoder, []byte, error) {
	e := &encoder{}
	e.gob = gob.NewEncoder(&e.text)
	var all []byte
	for _, sample := range p.samples {
		if err := e.gob.Encode(sample); err != nil {
			return nil, nil, errors.Wrap(err, "encode a sample")
		}
		definitions, _, err := split(e.text.Bytes())
		if err != nil {
			return nil, nil, err
		}
		all = append(all, definitions...)
		e.text.Reset()
	}
	return e, all, nil
}

func (p *Encoders) take() (*encoder, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if last := len(p.idle) - 1; last >= 0 {
		e := p.idle[last]
		p.idle = p.idle[:last]
		return e, nil
	}
	e, _, err := p.newEncoder()
	return e, err
}

func (p *Encoders) release(e *encoder) {
	if e.text.Cap() > maxKeptMessage {
		return
	}
	e.text.Reset()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) < maxIdle {
		p.idle = append(p.idle, e)
	}
}

// Append encodes a value and appends it to a buffer. The message is valid in any stream that has begun with the
// definitions. contents are the values in the interface fields of the value.
func (p *Encoders) Append(to []byte, value any, contents ...any) ([]byte, error) {
	for _, content := range contents {
		if t := reflect.TypeOf(content); t != nil && !p.types[t] {
			return nil, errors.Newf("%s is not among the samples", t) // other streams lack its definition
		}
	}
	e, err := p.take()
	if err != nil {
		return nil, err
	}
	if err := e.gob.Encode(value); err != nil {
		return nil, errors.Wrap(err, "encode")
	}
	to = append(to, e.text.Bytes()...)
	p.release(e)
	return to, nil
}

// decoder decodes one stream, or all streams that have begun with the same definitions.
type decoder struct {
	text bytes.Reader
	gob  *gob.Decoder
}

func newDecoder() *decoder {
	d := &decoder{}
	d.gob = gob.NewDecoder(&d.text)
	return d
}

func (d *decoder) decode(message []byte, value any) error {
	d.text.Reset(message)
	defer d.text.Reset(nil)
	if err := d.gob.Decode(value); err != nil {
		return errors.Wrap(err, "decode")
	}
	if d.text.Len() > 0 {
		return errors.Newf("%d bytes follow a message", d.text.Len())
	}
	return nil
}

// Stream is the state of a stream that is being read.
type Stream struct {
	started    bool
	ownDecoder *decoder // nil as long as the stream has carried exactly the pool's definitions
}

// Decoders is a pool of decoders that all streams share.
type Decoders struct {
	definitions []byte

	mu   sync.Mutex
	idle []*decoder
}

// NewDecoders creates a pool for streams that begin with these definitions.
func NewDecoders(definitions []byte) *Decoders { return &Decoders{definitions: definitions} }

// Decode decodes the next message of a stream into a value. After an error the stream cannot be read further.
func (p *Decoders) Decode(s *Stream, message []byte, value any) error {
	if s.ownDecoder != nil {
		return s.ownDecoder.decode(message, value)
	}
	first := !s.started
	s.started = true
	rest := message
	if first {
		rest = bytes.TrimPrefix(message, p.definitions)
	}
	more, _, err := split(rest)
	if err != nil {
		return err
	}
	if len(more) > 0 || first && len(rest) == len(message) {
		return p.decodeAlone(s, first, message, value)
	}
	return p.decode(rest, value)
}

// decodeAlone gives the stream its own decoder from now on and decodes the message with it.
func (p *Decoders) decodeAlone(s *Stream, first bool, message []byte, value any) error {
	s.ownDecoder = newDecoder()
	if !first {
		message = slices.Concat(p.definitions, message)
	}
	return s.ownDecoder.decode(message, value)
}

func (p *Decoders) decode(message []byte, value any) error {
	size := len(message)
	d := p.take()
	if d == nil {
		d, message = newDecoder(), slices.Concat(p.definitions, message)
	}
	if err := d.decode(message, value); err != nil {
		return err
	}
	if size <= maxKeptMessage {
		p.release(d)
	}
	return nil
}

// take returns an idle decoder, which has read the definitions, or nil.
func (p *Decoders) take() *decoder {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := len(p.idle) - 1
	if last < 0 {
		return nil
	}
	d := p.idle[last]
	p.idle = p.idle[:last]
	return d
}

func (p *Decoders) release(d *decoder) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) < maxIdle {
		p.idle = append(p.idle, d)
	}
}
