// Package config is the one place where the environment and the start file are read, checked and given
// defaults. Its errors name the key at fault.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"reflect"
	"slices"
	"strconv"

	"gullstair/internal/discovery"
	"gullstair/internal/terms"
)

// Told is what a broker is told at its start.
type Told struct {
	Name, Listen, Discovery string
	Seed                    uint64
	Cores                   float64
	MemoryMB, Sockets       int
	Known                   discovery.Listing
	Flat                    map[string]any // the start settings in the module's words
	Site                    terms.Site

	Off []string // what the settings allow and this program cannot do: it is off, and why

	filed string // discovery as the file states it, if it does
}

const (
	defaultCores    = 1.0
	defaultMemoryMB = 192
	defaultSockets  = 1024
	leastSockets    = 64
	leastMemoryMB   = 32
)

// Read reads the environment through getenv, and the file that GW_CONFIG names.
func Read(getenv func(string) string) (*Told, error) {
	path := getenv("GW_CONFIG")
	if path == "" {
		return nil, errors.New("GW_CONFIG: not set; it names the start file")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("GW_CONFIG: %w", err)
	}
	return Parse(text, getenv)
}

// Reread reads the file again while the broker runs. What the file says of discovery holds over the variable
// then: the file has been replaced since the start, the environment cannot be.
func Reread(getenv func(string) string) (*Told, error) {
	t, err := Read(getenv)
	if err != nil || t.filed == "" {
		return t, err
	}
	if _, err := netip.ParseAddrPort(t.filed); err != nil {
		return nil, fmt.Errorf("discovery: %q is no address and port: %w", t.filed, err)
	}
	t.Discovery = t.filed
	return t, nil
}

// Differ names what o states otherwise than t and only a restart takes up.
func (t *Told) Differ(o *Told) (keys []string) {
	for key, same := range map[string]bool{"name": t.Name == o.Name, "listen": t.Listen == o.Listen,
		"limits":   t.Cores == o.Cores && t.MemoryMB == o.MemoryMB && t.Sockets == o.Sockets,
		"settings": reflect.DeepEqual(t.Flat, o.Flat)} {
		if !same {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// Parse is Read with the file's text at hand. A variable that is set holds over the file's value.
func Parse(text []byte, getenv func(string) string) (*Told, error) {
	var tree map[string]json.RawMessage
	if err := json.Unmarshal(text, &tree); err != nil {
		return nil, fmt.Errorf("the start file is no JSON object: %w", err)
	}
	t := &Told{}
	var limits map[string]json.RawMessage
	var settings map[string]any
	steps := []func() error{
		func() error { return stated(tree, "name", getenv("GW_NAME"), &t.Name) },
		func() error { return address(tree, "listen", getenv("GW_LISTEN"), &t.Listen) },
		func() error {
			if raw, there := tree["discovery"]; there && json.Unmarshal(raw, &t.filed) != nil {
				return errors.New("discovery: no text")
			}
			return address(tree, "discovery", getenv("GW_DISCOVERY"), &t.Discovery)
		},
		func() error {
			var hex string
			if err := stated(tree, "seed", "", &hex); err != nil {
				return err
			}
			var err error
			if t.Seed, err = strconv.ParseUint(hex, 16, 64); err != nil {
				return fmt.Errorf("seed: %q is no 64-bit number in hex", hex)
			}
			return nil
		},
		func() error { return object(tree, "limits", false, &limits) },
		func() (err error) { t.Cores, err = limit(limits, "cores", 0.01, 1e4, defaultCores); return },
		func() error {
			mb, err := limit(limits, "memory_mb", leastMemoryMB, 1e7, defaultMemoryMB)
			t.MemoryMB = int(mb)
			return err
		},
		func() error {
			n, err := limit(limits, "sockets", leastSockets, 1e7, defaultSockets)
			t.Sockets = int(n)
			return err
		},
		func() error { return object(tree, "known", false, &t.Known) },
		func() error { return object(tree, "settings", true, &settings) },
		func() (err error) {
			t.Flat = terms.Flatten(settings)
			if t.Flat["limit.peers"] == true { // nothing carries them: the module would tell nobody and rely on it
				t.Flat["limit.peers"] = false
				t.Off = append(t.Off, "settings: ceilings.peers: this program passes no notes between brokers; they are off")
			}
			if t.Site, err = terms.Read(t.Flat); err != nil {
				return fmt.Errorf("settings: %w", err)
			}
			return nil
		},
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return nil, err
		}
	}
	return t, nil
}

func stated(tree map[string]json.RawMessage, key, variable string, to *string) error {
	if variable != "" {
		*to = variable
		return nil
	}
	if raw, there := tree[key]; !there || json.Unmarshal(raw, to) != nil || *to == "" {
		return fmt.Errorf("%s: missing or no text", key)
	}
	return nil
}

func address(tree map[string]json.RawMessage, key, variable string, to *string) error {
	if err := stated(tree, key, variable, to); err != nil {
		return err
	}
	if _, err := netip.ParseAddrPort(*to); err != nil {
		return fmt.Errorf("%s: %q is no address and port: %w", key, *to, err)
	}
	return nil
}

func object(tree map[string]json.RawMessage, key string, needed bool, to any) error {
	raw, there := tree[key]
	if !there || string(raw) == "null" {
		if needed {
			return fmt.Errorf("%s: missing", key)
		}
		return nil
	}
	if err := json.Unmarshal(raw, to); err != nil {
		return fmt.Errorf("%s: %w", key, err)
	}
	return nil
}

func limit(limits map[string]json.RawMessage, key string, least, most, other float64) (x float64, err error) {
	raw, there := limits[key]
	if !there {
		return other, nil
	}
	if json.Unmarshal(raw, &x) != nil || !(x >= least && x <= most) {
		return 0, fmt.Errorf("limits.%s: %s is no number from %g to %g", key, raw, least, most)
	}
	return x, nil
}
