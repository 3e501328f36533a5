package opconfig

import (
	"fmt"
	"net"
	"strconv"
	"strings"
)

func (v *validator) checkPools() {
	v.poolKinds = make(map[string]PoolKind)
	names := make(map[string]bool)
	models := make(map[string]bool)
	for i := range v.cfg.Pools {
		p := &v.cfg.Pools[i]
		where := v.checkName("pool", i, string(p.Name), names)
		v.poolKinds[string(p.Name)] = p.Kind
		v.check(p.Kind == KindEngine || p.Kind == KindService, where+": kind", fmt.Sprintf("%q", p.Kind), `"engine" or "service"`)
		v.check(p.Kind != KindEngine || len(p.Models) > 0, where+": models", "empty", "at least one model for an engine pool")
		v.check(p.Kind != KindService || len(p.Models) == 0, where+": models", p.Models, "none for a service pool")
		for _, m := range p.Models {
			v.check(modelPattern.MatchString(string(m)), where+": models", fmt.Sprintf("%q", m), modelAllowed)
			v.check(!models[string(m)], where+": models", fmt.Sprintf("%q a second time", m), "one pool a model")
			models[string(m)] = true
		}
	}
}

func (v *validator) checkEndpoints() {
	names := make(map[string]bool)
	addresses := make(map[string]bool)
	for i := range v.cfg.Endpoints {
		e := &v.cfg.Endpoints[i]
		where := v.checkName("endpoint", i, string(e.Name), names)
		_, known := v.poolKinds[string(e.Pool)]
		v.check(known, where+": pool", fmt.Sprintf("%q", e.Pool), "the name of a pool")
		v.check(namePattern.MatchString(string(e.Domain)), where+": domain", fmt.Sprintf("%q", e.Domain), nameAllowed)
		v.check(isAddress(e.Address), where+": address", fmt.Sprintf("%q", e.Address), "host:port")
		v.check(!addresses[e.Address], where+": address", e.Address+" a second time", "one endpoint an address")
		addresses[e.Address] = true
		v.check(e.Room >= 1 && e.Room <= maxRoom, where+": room", e.Room, fmt.Sprintf("1 to %d", maxRoom))
	}
}

func (v *validator) checkRoutes() {
	paths := make(map[string]bool)
	for i := range v.cfg.Routes {
		r := &v.cfg.Routes[i]
		where := fmt.Sprintf("route %q", r.Path)
		v.check(strings.HasPrefix(r.Path, "/"), where+": path", fmt.Sprintf("%q", r.Path), `a path that starts with "/"`)
		id := r.Path + " " + strings.Join(r.Methods, ",")
		v.check(!paths[id], where+": path", "used twice with the same methods", "one route a path and methods")
		paths[id] = true
		for _, m := range r.Methods {
			v.check(m != "" && m == strings.ToUpper(m), where+": methods", fmt.Sprintf("%q", m), `HTTP methods, for example "POST"`)
		}
		v.checkRouteTargets(where, r)
	}
}

func (v *validator) checkRouteTargets(where string, r *Route) {
	if r.Class != "" {
		v.checkClassExists(where, "class", string(r.Class))
	}
	if r.Pool != "" {
		_, known := v.poolKinds[string(r.Pool)]
		v.check(known, where+": pool", fmt.Sprintf("%q", r.Pool), "the name of a pool")
	}
	v.check(r.Class != "" || r.Pool != "", where+": class", "empty", "a class, a pool or both")
}

func isAddress(s string) bool {
	host, port, err := net.SplitHostPort(s)
	if err != nil || host == "" {
		return false
	}
	n, err := strconv.Atoi(port)
	return err == nil && n >= 1 && n <= 65535
}
