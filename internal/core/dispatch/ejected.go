package dispatch

import "github.com/wigeonsail/wigeonsail/internal/core/model"

// EjectedEndpoint is an endpoint that gets only trial requests because it fails
// or is much slower than the others of its pool.
type EjectedEndpoint struct {
	Endpoint model.EndpointName
	Pool     model.PoolName
}

// Ejected lists the ejected endpoints of this host's failure domain.
func (d *Dispatcher) Ejected() []EjectedEndpoint {
	var out []EjectedEndpoint
	for _, p := range d.poolList {
		for _, e := range p.endpoints {
			if e.Health.IsEjected() {
				out = append(out, EjectedEndpoint{Endpoint: e.Name, Pool: p.Name})
			}
		}
	}
	return out
}
