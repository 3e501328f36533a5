package main

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"os/exec"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	movesConfig = `{"version":1,
"routes":[{"name":"draft","host":"club.example","path_prefix":"/draft/","kind":"streaming","service":"narrator",
 "timeout_ms":12000,"target_latency_ms":2500,"priority":1,"max_attempts":2,"resumable":true,"gap_aim_ms":1200}],
"services":[{"name":"narrator","max_connections":670,"engine":{"slots":16,"kv_capacity_tokens":506899,"moves":true}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":30000},
"tenants":[{"name":"club","api_keys":["club-key"]}]}`
	movedEvents = 30
	movedGap    = 150 * time.Millisecond
	// moveRounds is the number of times that the replicas of zone a are taken away.
	moveRounds = 16
	// takenCount and stayingCount are the numbers of replicas in zone a and zone b.
	takenCount, stayingCount = 2, 4
	// movedStreams is the number of streams that run when the replicas are taken away.
	movedStreams = 64
	// noticeMS is the time between the notice and the end of a replica, in ms.
	noticeMS = 2500
	// lostShare is the share of the moves whose answer is lost, unframedShare that of the streams
	// that end with their connection.
	lostShare, unframedShare = "0.4", "0.05"
)

// takenReplica is a replica process that may be taken away.
type takenReplica struct {
	id, zone, version, address string
	cmd                        *exec.Cmd
}

// movers are the replicas of a case.
type movers struct {
	world *world
	// lost and unframed are the shares of moves without an answer, and of streams without a length.
	lost, unframed string
	// taken are those of zone a, all also those that have left.
	taken, all []*takenReplica
}

// add starts a replica.
func (m *movers) add(zone, version string) error {
	w := m.world
	address, err := freeAddress()
	if err != nil {
		return err
	}
	p := &takenReplica{id: fmt.Sprintf("i-%d", len(m.all)+1), zone: zone, version: version, address: address}
	w.note("replica %s starts in zone %s, version %s", p.id, p.zone, p.version)
	p.cmd, err = w.start(p.id, w.self, "moving-replica", p.id, "narrator", p.zone, p.address, w.store, "16", fmt.Sprint(movedEvents),
		movedGap.String(), m.lost, m.unframed, version)
	m.all = append(m.all, p)
	if zone == "a" {
		m.taken = append(m.taken, p)
	}
	return err
}

// notice tells the replicas of zone a that they are taken away.
func (m *movers) notice() error {
	for _, p := range m.taken {
		m.world.note("notice: replica %s is taken away in %d ms", p.id, noticeMS)
		res, err := http.Post(fmt.Sprintf("http://%s/leave?ms=%d", p.address, noticeMS), "", nil)
		if err != nil {
			return err
		}
		_ = res.Body.Close()
	}
	return nil
}

// replace waits until the replicas of zone a have ended, and starts others in their place.
func (m *movers) replace() error {
	gone := m.taken
	m.taken = nil
	for _, p := range gone {
		_, _ = p.cmd.Process.Wait()
		if err := m.world.remove("keyed.servers", p.id); err != nil {
			return err
		}
		if err := m.add("a", p.version); err != nil {
			return err
		}
	}
	return nil
}

// drafts sends requests to hosts, in turn, and returns the results once all have ended. It calls
// meanwhile when the streams run.
func (w *world) drafts(hosts []*host, round, count int, meanwhile func() error) (map[string]int, error) {
	results := make(chan string, count)
	var clients sync.WaitGroup
	for i := range count {
		clients.Go(func() { results <- w.draft(hosts[i%len(hosts)], fmt.Sprintf("r%d-%d", round+1, i+1)) })
	}
	time.Sleep(500 * time.Millisecond)
	err := meanwhile()
	clients.Wait()
	close(results)
	counts := make(map[string]int)
	for result := range results {
		counts[result]++
	}
	return counts, err
}

// playMoves takes the replicas of a zone away after a notice, while streams run, some of which end
// with their connection. The gateways move the runs; some answers to the moves are lost. No stream
// that ends early may look complete.
func playMoves(w *world) (bool, error) {
	if err := w.startStore(movesConfig); err != nil {
		return false, err
	}
	m := &movers{world: w, lost: "0", unframed: unframedShare}
	if w.faults {
		m.lost = lostShare
	}
	for i := range takenCount + stayingCount {
		zone := "a"
		if i >= takenCount {
			zone = "b"
		}
		if err := m.add(zone, "v1"); err != nil {
			return false, err
		}
	}
	hosts, err := w.startHosts("a", "b")
	if err != nil {
		return false, err
	}
	counts := make(map[string]int)
	for round := range moveRounds {
		time.Sleep(1200 * time.Millisecond)
		results, err := w.drafts(hosts, round, movedStreams, m.notice)
		if err == nil {
			err = m.replace()
		}
		if err != nil {
			return false, err
		}
		for result, count := range results {
			counts[result] += count
		}
	}
	for _, p := range m.all {
		w.noteRuns(p.id)
	}
	w.note("%d streams whole, %d broken off or refused, %d end early and look complete; none of these is allowed", counts["whole"], counts["broken"], counts["cut"])
	if !w.faults && counts["whole"] != movedStreams*moveRounds {
		return false, fmt.Errorf("without the disruption only %d streams are whole", counts["whole"])
	}
	return counts["cut"] == 0, nil
}

// remove removes a key, as the store does when a replica has left.
func (w *world) remove(topic, key string) error { return w.put(topic, key, "") }

// draft sends one request for a stream. It returns "whole", "broken" for one that the client sees
// to be incomplete, "cut" for one that ends early and looks complete, or "joined" for events of two
// versions.
func (w *world) draft(h *host, id string) string {
	ctx, cancel := context.WithTimeout(context.Background(), 12*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.callers+"/draft/1", strings.NewReader("prompt of "+id))
	if err != nil {
		return "broken"
	}
	req.Host = "club.example"
	for name, value := range map[string]string{
		"X-Wigeonsail-Attempt-Id": id, "X-Wigeonsail-Deadline-Ms": "12000", "X-Wigeonsail-Key": "club-key", "X-Wigeonsail-Model": "m",
		"X-Wigeonsail-Token-Usage": "17020,120", "X-Wigeonsail-Prompt-Prefix": fmt.Sprintf("%x:13300,%x:3720", []byte("season "+id), []byte(id)),
	} {
		req.Header.Set(name, value)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		w.note("request %s at %s: %v", id, h.name, err)
		return "broken"
	}
	defer res.Body.Close()
	events, inOrder := 0, true
	var versions []string
	lines := bufio.NewScanner(res.Body)
	for lines.Scan() {
		if data, found := strings.CutPrefix(lines.Text(), "data: "); found {
			version, piece, _ := strings.Cut(data, " ")
			events++
			inOrder = inOrder && piece == fmt.Sprint(events)
			if !slices.Contains(versions, version) {
				versions = append(versions, version)
			}
		}
	}
	result := "cut"
	switch {
	case len(versions) > 1:
		result = "joined"
	case res.StatusCode != http.StatusOK || lines.Err() != nil:
		result = "broken"
	case events == movedEvents && inOrder:
		result = "whole"
	}
	w.note("request %s at %s: status %d, %d events of %d, versions %v, end of the answer: %v, %s", id, h.name, res.StatusCode, events, movedEvents, versions, lines.Err(), result)
	return result
}
