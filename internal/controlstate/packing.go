package controlstate

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"io"
	"sync"

	"github.com/cockroachdb/errors"

	"gullstair/internal/delta"
	"gullstair/internal/sections"
	"gullstair/internal/weights"
)

// A state that is written to disk or sent whole is packed: its configuration is compressed, and the encoding is the gob format of
// the releases before sections. Those releases can therefore read it from a disk that this release wrote and from its messages.

const maxConfigSize = 64 << 20 // bytes of an uncompressed configuration

// packed is the gob format of earlier releases. It travels between brokers and is stored under the names of its fields.
type packed struct {
	Version   int64
	Config    []byte // compressed
	Taken     []Digest
	Bases     []int64
	Forgotten int64
	Weights   map[string]int64
	Named     map[string][]weights.Naming
	Leases    map[string]Lease
	Changes   map[string]uint64 // versions of sections; earlier releases ignore it and do not keep it
}

// Packer packs payloads of the register. It caches the newest compressed configuration, because most changes leave the
// configuration as it is. It may be used by many goroutines at once.
type Packer struct {
	mu         sync.Mutex
	sum        delta.Sum // of the cached configuration
	compressed []byte
}

// Pack packs a payload. It returns a payload that is not an encoded state unchanged.
func (p *Packer) Pack(payload []byte) []byte {
	if !sections.IsDocument(payload) {
		return payload
	}
	s, err := Decode(payload)
	if err != nil {
		return payload
	}
	out := packed{Version: s.Version, Config: p.compress(s.Config), Taken: s.Taken, Bases: s.Bases, Forgotten: s.Forgotten, Weights: s.Weights,
		Named: s.Named, Leases: s.Leases, Changes: s.sectionVersions}
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(out); err != nil {
		panic(err) // cannot happen: the types are fixed
	}
	return b.Bytes()
}

// Unpack decodes what Pack or an earlier release wrote. It returns a text that is not packed unchanged.
func (p *Packer) Unpack(text []byte) ([]byte, error) {
	if len(text) == 0 || sections.IsDocument(text) {
		return text, nil
	}
	in := packed{}
	if err := gob.NewDecoder(bytes.NewReader(text)).Decode(&in); err != nil {
		return nil, errors.Wrap(err, "unpack the control state")
	}
	config, err := decompress(in.Config)
	if err != nil {
		return nil, err
	}
	s := State{Version: in.Version, Config: config, Taken: in.Taken, Bases: in.Bases, Forgotten: in.Forgotten, Weights: in.Weights,
		Named: in.Named, Leases: in.Leases, sectionVersions: in.Changes}
	for len(s.Bases) < len(s.Taken) { // written before bases were stored: these orders count as built on the version then in force
		s.Bases = append(s.Bases, in.Version)
	}
	return s.Encode(), nil
}

func (p *Packer) compress(config []byte) []byte {
	if len(config) == 0 {
		return nil
	}
	sum := delta.SumOf(config)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.sum == sum {
		return p.compressed
	}
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		panic(err) // cannot happen: the level is fixed
	}
	if _, err := w.Write(config); err != nil {
		panic(err) // writing to a buffer does not fail
	}
	if err := w.Close(); err != nil {
		panic(err)
	}
	p.sum, p.compressed = sum, b.Bytes()
	return p.compressed
}

func decompress(compressed []byte) ([]byte, error) {
	if len(compressed) == 0 {
		return nil, nil
	}
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), maxConfigSize))
	return raw, errors.Wrap(err, "decompress the configuration")
}
