package main

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"os/exec"
	"strings"
	"sync"
	"time"
)

// The deployment of the case: resumable streams of 17 events, as those of conflict-brief.
const (
	versionsConfig = `{"version":1,
"routes":[{"name":"brief","host":"club.example","path_prefix":"/brief/","kind":"streaming","service":"roster-llm",
 "timeout_ms":6000,"target_latency_ms":800,"priority":1,"max_attempts":2,"resumable":true,"gap_aim_ms":250}],
"services":[{"name":"roster-llm","max_connections":370,"engine":{"slots":64,"kv_capacity_tokens":546165}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":30000},
"tenants":[{"name":"club","api_keys":["club-key"]}]}`
	streamEvents = 17
	streamGap    = 100 * time.Millisecond
	// upgradedReplicas is the number of replicas that start again, one after the other.
	upgradedReplicas = 4
	// quietTime is how long no client sends anything before a replica crashes.
	quietTime = 2500 * time.Millisecond
	// downTime is how long a crashed replica is down.
	downTime = 2 * time.Second
	// volley is the number of streams that the clients begin once they come back.
	volley = 32
	// maxJoined is the number of streams of two versions that the rule allows.
	maxJoined = 2
)

// standinReplica is a replica process that starts again at the same address.
type standinReplica struct {
	id, zone, address string
	slots             int
	cmd               *exec.Cmd
}

func (w *world) startReplica(p *standinReplica, version string) (err error) {
	w.note("replica %s starts with version %s", p.id, version)
	p.cmd, err = w.start(p.id, w.self, "replica", p.id, "roster-llm", p.zone, version, p.address, w.store,
		fmt.Sprint(p.slots), fmt.Sprint(streamEvents), streamGap.String())
	return err
}

// awaitListening waits until something accepts connections at the replica's address.
func (p *standinReplica) awaitListening() {
	for range 200 {
		res, err := http.Get("http://" + p.address + "/v1/report")
		if err == nil {
			_ = res.Body.Close()
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// playVersions lets idle replicas crash and start again with another version of their software,
// under the same id, and crash once more while streams run. No stream may hold events of two
// versions.
func playVersions(w *world) (bool, error) {
	if err := w.startStore(versionsConfig); err != nil {
		return false, err
	}
	var replicas []*standinReplica
	for i := range upgradedReplicas {
		address, err := freeAddress()
		if err != nil {
			return false, err
		}
		p := &standinReplica{id: fmt.Sprintf("i-%d", i+1), zone: []string{"a", "b"}[i%2], address: address, slots: 64}
		if err := w.startReplica(p, "v1"); err != nil {
			return false, err
		}
		replicas = append(replicas, p)
	}
	hosts, err := w.startHosts("a", "b")
	if err != nil {
		return false, err
	}
	joined, whole := 0, 0
	for round, p := range replicas {
		time.Sleep(quietTime)
		if w.faults {
			w.note("replica %s crashes, idle", p.id)
			w.kill(p.cmd)
			time.Sleep(downTime)
			if err := w.startReplica(p, "v2"); err != nil {
				return false, err
			}
			p.awaitListening()
		}
		results := make(chan string, volley)
		var clients sync.WaitGroup
		for i := range volley {
			clients.Go(func() {
				results <- w.stream(hosts[i%len(hosts)], fmt.Sprintf("r%d-%d", round+1, i+1))
			})
		}
		time.Sleep(800 * time.Millisecond)
		if w.faults {
			w.note("replica %s crashes, with streams", p.id)
			w.kill(p.cmd)
			time.Sleep(downTime)
			if err := w.startReplica(p, "v2"); err != nil {
				return false, err
			}
		}
		clients.Wait()
		close(results)
		for result := range results {
			switch result {
			case "whole":
				whole++
			case "joined":
				joined++
			}
		}
	}
	for _, p := range replicas {
		w.noteRuns(p.id)
	}
	w.note("%d streams whole and of one version, %d with events of two versions; %d are allowed", whole, joined, maxJoined)
	if !w.faults && whole != volley*upgradedReplicas {
		return false, fmt.Errorf("without the disruption only %d streams are whole", whole)
	}
	return joined <= maxJoined, nil
}

// stream sends one request for a stream. It returns "whole", "joined" for events of two
// versions, or "broken".
func (w *world) stream(h *host, id string) string {
	ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.callers+"/brief/1", strings.NewReader("prompt of "+id))
	if err != nil {
		return "broken"
	}
	req.Host = "club.example"
	for name, value := range map[string]string{
		"X-Wigeonsail-Attempt-Id": id, "X-Wigeonsail-Deadline-Ms": "6000", "X-Wigeonsail-Key": "club-key", "X-Wigeonsail-Model": "m",
		"X-Wigeonsail-Token-Usage": "900,60", "X-Wigeonsail-Prompt-Prefix": fmt.Sprintf("5c1e07a2:200,%x:700", []byte(id)),
	} {
		req.Header.Set(name, value)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		w.note("request %s at %s: %v", id, h.name, err)
		return "broken"
	}
	defer res.Body.Close()
	var events []string
	lines := bufio.NewScanner(res.Body)
	versions := make(map[string]bool)
	for lines.Scan() {
		if version, found := strings.CutPrefix(lines.Text(), "data: "); found {
			versions[version] = true
			events = append(events, version)
		}
	}
	result := "broken"
	switch {
	case len(versions) > 1:
		result = "joined"
	case res.StatusCode == http.StatusOK && len(events) == streamEvents && lines.Err() == nil:
		result = "whole"
	}
	w.note("request %s at %s: status %d, events %s, %s", id, h.name, res.StatusCode, strings.Join(events, " "), result)
	return result
}
