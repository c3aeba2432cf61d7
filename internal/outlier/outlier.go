// Package outlier tells a server whose answers have no end from sound ones: its answers go on far beyond every whole answer
// of the same route, several of them, and none ends. It does no I/O and has no clock; its types are not safe for concurrent
// use.
package outlier

import "maps"

const (
	// An answer is an outlier beyond this multiple of the largest whole answer of its route, and beyond this size.
	sizeFactor = 16
	minBytes   = 256 << 10
	// wholeAnswers is the number of whole answers of a route before any can be an outlier.
	wholeAnswers = 8
	// outliersToEject is the number of outliers of a server, with no whole answer between them, for which it is ejected.
	outliersToEject = 3
)

// Detector observes answers.
type Detector struct {
	routes  map[string]*route
	servers map[string]int // outliers since the last whole answer
}

// route is what is known of the whole answers of a route.
type route struct {
	whole   int
	largest int64 // bytes
}

// New returns a detector that has observed nothing.
func New() *Detector { return &Detector{routes: map[string]*route{}, servers: map[string]int{}} }

// Whole records that an answer of this many bytes has come to its end.
func (d *Detector) Whole(routeName, server string, bytes int64) {
	r := d.routes[routeName]
	if r == nil {
		r = &route{}
		d.routes[routeName] = r
	}
	r.whole++
	r.largest = max(r.largest, bytes)
	delete(d.servers, server)
}

// Exceeds reports whether an answer of which this many bytes have come is an outlier.
func (d *Detector) Exceeds(routeName string, bytes int64) bool {
	r := d.routes[routeName]
	return bytes > minBytes && r != nil && r.whole >= wholeAnswers && bytes > sizeFactor*r.largest
}

// Outlier records an answer that is an outlier. It returns true if its server must be ejected.
func (d *Detector) Outlier(server string) bool {
	d.servers[server]++
	return d.servers[server] >= outliersToEject
}

// RetainRoutes forgets the routes that are not kept.
func (d *Detector) RetainRoutes(keep func(name string) bool) {
	maps.DeleteFunc(d.routes, func(name string, _ *route) bool { return !keep(name) })
}

// RetainServers forgets the servers that are not kept.
func (d *Detector) RetainServers(keep func(name string) bool) {
	maps.DeleteFunc(d.servers, func(name string, _ int) bool { return !keep(name) })
}
