package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	serviceHost    = "clubs.example"
	defaultTimeout = 3000 // ms; timeout_ms of a route
)

// routeOf is a route of a configuration. Timeout is in ms; 0 stands for defaultTimeout.
type routeOf struct {
	Name, Prefix, Service string
	Timeout               int
}

// tenantOf is a tenant of a configuration.
type tenantOf struct {
	Name string
	Keys []string
}

// configurationOf is a configuration with unsafe routes. The routes are public if it has no tenants.
type configurationOf struct {
	Version int
	Routes  []routeOf
	Tenants []tenantOf
}

// text returns the configuration as the operator sends it.
func (c configurationOf) text() string {
	routes, services, tenants := []map[string]any{}, []map[string]any{}, []map[string]any{}
	named := map[string]bool{}
	for _, r := range c.Routes {
		timeout := r.Timeout
		if timeout == 0 {
			timeout = defaultTimeout
		}
		routes = append(routes, map[string]any{"name": r.Name, "host": serviceHost, "path_prefix": r.Prefix, "kind": "unsafe", "timeout_ms": timeout,
			"target_latency_ms": 300, "priority": 1, "service": r.Service, "max_attempts": 1, "public": len(c.Tenants) == 0, "sticky": false, "resumable": false})
		if !named[r.Service] {
			named[r.Service] = true
			services = append(services, map[string]any{"name": r.Service, "health_check": "/health", "max_connections": 390, "protocol": "h1", "tls": false})
		}
	}
	for _, t := range c.Tenants {
		tenants = append(tenants, map[string]any{"name": t.Name, "api_keys": t.Keys, "priority": 0, "isolated": false})
	}
	body := map[string]any{"version": c.Version, "routes": routes, "services": services, "limits": map[string]any{"max_header_bytes": 16384,
		"max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 60000}}
	if len(tenants) > 0 {
		body["tenants"] = tenants
	}
	text, _ := json.Marshal(body)
	return string(text)
}

// replace sends a configuration that builds on version base, until it is acknowledged.
func (w *world) replace(base int, c configurationOf) error {
	status, answer := w.offer(15*time.Second, base, c)
	if status != http.StatusOK {
		return fmt.Errorf("configuration %d on %d got %d %s", c.Version, base, status, answer)
	}
	return nil
}

// offer sends a configuration that builds on version base until it gets a clear answer or the time is over.
func (w *world) offer(within time.Duration, base int, c configurationOf) (status int, answer string) {
	header := http.Header{"Content-Type": {"application/json"}, "X-If-Base-Version": {fmt.Sprint(base)}}
	return w.control(within, http.MethodPost, "/v1/config/replace", header, c.text())
}

// ask sends one request to a broker, on a connection of its own.
func (w *world) ask(b *broker, id, path, key string, deadline time.Duration) (status int, answer string, err error) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: deadline}
	request, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d%s", b.ip, w.ports.front, path), strings.NewReader("entry "+id))
	if err != nil {
		return 0, "", err
	}
	request.Host = serviceHost
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	return read(client, request)
}
