// Package config reads and validates the environment and the start file and applies defaults. No other package does so.
// Its errors name the invalid key.
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
	"gullstair/internal/startsettings"
)

// StartConfig is a broker's start configuration.
type StartConfig struct {
	Name, Listen, Discovery string
	Seed                    uint64
	Cores                   float64
	MemoryMB, Sockets       int
	KnownList               discovery.Listing
	Flat                    map[string]any // the settings, flattened to the decision module's keys
	Site                    startsettings.Settings

	DisabledSettings []string // settings that this program does not support and has disabled, with the reasons

	fileDiscovery string // the file's value of discovery, if present
}

const (
	defaultCores    = 1.0
	defaultMemoryMB = 192
	defaultSockets  = 1024
	minSockets      = 64
	minMemoryMB     = 32
)

// Read reads the environment through getenv, and the start file that GW_CONFIG names.
func Read(getenv func(string) string) (*StartConfig, error) {
	path := getenv("GW_CONFIG")
	if path == "" {
		return nil, errors.New("GW_CONFIG: not set; it must name the start file")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("GW_CONFIG: %w", err)
	}
	return Parse(text, getenv)
}

// Reread reads the start file again while the broker runs. The file's discovery address then takes precedence over the
// environment variable: the file may have been replaced since the start, while the environment cannot change.
func Reread(getenv func(string) string) (*StartConfig, error) {
	c, err := Read(getenv)
	if err != nil || c.fileDiscovery == "" {
		return c, err
	}
	if _, err := netip.ParseAddrPort(c.fileDiscovery); err != nil {
		return nil, fmt.Errorf("discovery: %q is not an address with a port: %w", c.fileDiscovery, err)
	}
	c.Discovery = c.fileDiscovery
	return c, nil
}

// RestartKeys returns the keys whose values differ between c and other and take effect only after a restart.
func (c *StartConfig) RestartKeys(other *StartConfig) (keys []string) {
	for key, same := range map[string]bool{"name": c.Name == other.Name, "listen": c.Listen == other.Listen,
		"limits":   c.Cores == other.Cores && c.MemoryMB == other.MemoryMB && c.Sockets == other.Sockets,
		"settings": reflect.DeepEqual(c.Flat, other.Flat)} {
		if !same {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// Parse parses the text of a start file. An environment variable that is set takes precedence over the file's value.
func Parse(text []byte, getenv func(string) string) (*StartConfig, error) {
	var tree map[string]json.RawMessage
	if err := json.Unmarshal(text, &tree); err != nil {
		return nil, fmt.Errorf("the start file is not a JSON object: %w", err)
	}
	c := &StartConfig{}
	var limits map[string]json.RawMessage
	var settings map[string]any
	steps := []func() error{
		func() error { return stringValue(tree, "name", getenv("GW_NAME"), &c.Name) },
		func() error { return address(tree, "listen", getenv("GW_LISTEN"), &c.Listen) },
		func() error {
			if raw, present := tree["discovery"]; present && json.Unmarshal(raw, &c.fileDiscovery) != nil {
				return errors.New("discovery: not a string")
			}
			return address(tree, "discovery", getenv("GW_DISCOVERY"), &c.Discovery)
		},
		func() error {
			var hex string
			if err := stringValue(tree, "seed", "", &hex); err != nil {
				return err
			}
			var err error
			if c.Seed, err = strconv.ParseUint(hex, 16, 64); err != nil {
				return fmt.Errorf("seed: %q is not a 64-bit number in hex", hex)
			}
			return nil
		},
		func() error { return object(tree, "limits", false, &limits) },
		func() (err error) { c.Cores, err = limit(limits, "cores", 0.01, 1e4, defaultCores); return },
		func() error {
			mb, err := limit(limits, "memory_mb", minMemoryMB, 1e7, defaultMemoryMB)
			c.MemoryMB = int(mb)
			return err
		},
		func() error {
			n, err := limit(limits, "sockets", minSockets, 1e7, defaultSockets)
			c.Sockets = int(n)
			return err
		},
		func() error { return object(tree, "known", false, &c.KnownList) },
		func() error { return object(tree, "settings", true, &settings) },
		func() (err error) {
			c.Flat = startsettings.Flatten(settings)
			if c.Flat["limit.peers"] == true { // unsupported: the decision module would rely on notes that are never delivered
				c.Flat["limit.peers"] = false
				c.DisabledSettings = append(c.DisabledSettings, "settings: ceilings.peers: this program does not exchange notes between brokers; they are disabled")
			}
			if c.Site, err = startsettings.ReadSettings(c.Flat); err != nil {
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
	return c, nil
}

// stringValue sets *to to the environment variable's value if that is not empty, otherwise to the value of the file's
// key, which must be present.
func stringValue(tree map[string]json.RawMessage, key, variable string, to *string) error {
	if variable != "" {
		*to = variable
		return nil
	}
	if raw, present := tree[key]; !present || json.Unmarshal(raw, to) != nil || *to == "" {
		return fmt.Errorf("%s: missing or not a string", key)
	}
	return nil
}

// address is stringValue for an address with a port.
func address(tree map[string]json.RawMessage, key, variable string, to *string) error {
	if err := stringValue(tree, key, variable, to); err != nil {
		return err
	}
	if _, err := netip.ParseAddrPort(*to); err != nil {
		return fmt.Errorf("%s: %q is not an address with a port: %w", key, *to, err)
	}
	return nil
}

// object decodes the value of a key. A missing key is an error only if it is required.
func object(tree map[string]json.RawMessage, key string, required bool, to any) error {
	raw, present := tree[key]
	if !present || string(raw) == "null" {
		if required {
			return fmt.Errorf("%s: missing", key)
		}
		return nil
	}
	if err := json.Unmarshal(raw, to); err != nil {
		return fmt.Errorf("%s: %w", key, err)
	}
	return nil
}

// limit returns the number at a key of limits, or a default if the key is missing.
func limit(limits map[string]json.RawMessage, key string, lowest, highest, fallback float64) (x float64, err error) {
	raw, present := limits[key]
	if !present {
		return fallback, nil
	}
	if json.Unmarshal(raw, &x) != nil || !(x >= lowest && x <= highest) {
		return 0, fmt.Errorf("limits.%s: %s is not a number from %g to %g", key, raw, lowest, highest)
	}
	return x, nil
}
