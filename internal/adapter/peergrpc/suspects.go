package peergrpc

import (
	"github.com/wigeonsail/wigeonsail/api/peer"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/core/quarantine"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

func crashToWire(c port.CrashReport) *peer.CrashReport {
	out := &peer.CrashReport{
		Id: c.ID, Endpoint: instanceToWire(c.Endpoint), AgeMs: c.Age.Milliseconds(),
		Request: uint64(c.Request), Generation: int32(c.Generation),
	}
	for _, part := range c.Parts {
		out.Parts = append(out.Parts, uint64(part))
	}
	return out
}

func crashFromWire(c *peer.CrashReport) port.CrashReport {
	out := port.CrashReport{
		ID: c.GetId(), Endpoint: instanceFromWire(c.GetEndpoint()), Age: ageFromWire(c.GetAgeMs()),
		Request: model.Fingerprint(c.GetRequest()), Generation: int(c.GetGeneration()),
	}
	for _, part := range c.GetParts() {
		out.Parts = append(out.Parts, model.PartID(part))
	}
	return out
}

// suspectsToWire returns the parts and the requests among suspects. Parts have no count of
// crashes: hosts of earlier builds know only those in quarantine.
func suspectsToWire(suspects []port.SuspectAge) (parts []*peer.PartAge, requests []*peer.RequestAge) {
	for _, s := range suspects {
		if s.Suspect.Kind == quarantine.KindPart {
			parts = append(parts, &peer.PartAge{Part: s.Suspect.ID, AgeMs: s.Age.Milliseconds()})
			continue
		}
		requests = append(requests, &peer.RequestAge{Request: s.Suspect.ID, Crashes: int32(s.Crashes), AgeMs: s.Age.Milliseconds()})
	}
	return parts, requests
}

// suspectsFromWire returns the suspects for parts and requests.
func suspectsFromWire(parts []*peer.PartAge, requests []*peer.RequestAge) []port.SuspectAge {
	var out []port.SuspectAge
	for _, p := range parts {
		out = append(out, port.SuspectAge{
			Suspect: quarantine.Part(model.PartID(p.GetPart())), Crashes: quarantine.CrashesToQuarantine, Age: ageFromWire(p.GetAgeMs()),
		})
	}
	for _, r := range requests {
		out = append(out, port.SuspectAge{
			Suspect: quarantine.Request(model.Fingerprint(r.GetRequest())), Crashes: int(r.GetCrashes()), Age: ageFromWire(r.GetAgeMs()),
		})
	}
	return out
}
