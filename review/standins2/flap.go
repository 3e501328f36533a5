package main

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// flapReplicas is the number of replicas, of which one goes down and up by turns; flapSlots are
	// the slots of each, so that three have room for all streams.
	flapReplicas = 4
	flapSlots    = 11
	// flapEpisodes is the number of times that one does, another one each time, for flapTime: it is
	// down for flapGap and up for flapGap.
	flapEpisodes = 5
	flapTime     = 12500 * time.Millisecond
	flapGap      = 2 * time.Second
	// calmTime is the time between two of them.
	calmTime = 3 * time.Second
	// newStreams is the time between two new streams.
	newStreams = 60 * time.Millisecond
	// minTakenUp is the least number of streams that are taken up again for the rule to judge.
	minTakenUp = 12
)

// flapCounts counts the new streams and those that begin, and the streams that clients take up
// again and those that go on.
type flapCounts struct{ new, begun, takenUp, goneOn atomic.Int64 }

// playFlap lets replicas of a service with one version go down and up by turns. Clients take streams
// up again that were broken off. Of these, at least half as large a share as of the new streams must
// go on.
func playFlap(w *world) (bool, error) {
	if err := w.startStore(versionsConfig); err != nil {
		return false, err
	}
	var replicas []*standinReplica
	for i := range flapReplicas {
		address, err := freeAddress()
		if err != nil {
			return false, err
		}
		p := &standinReplica{id: fmt.Sprintf("i-%d", i+1), zone: []string{"a", "b"}[i%2], address: address, slots: flapSlots}
		if err := w.startReplica(p, "v1"); err != nil {
			return false, err
		}
		replicas = append(replicas, p)
	}
	hosts, err := w.startHosts("a", "a", "b", "b")
	if err != nil {
		return false, err
	}
	var counts flapCounts
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() {
		ticker := time.NewTicker(newStreams)
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-ticker.C:
				clients.Go(func() { w.watchStream(hosts, i, &counts) })
			}
		}
	})
	err = w.flap(replicas)
	close(stop)
	clients.Wait()
	if err != nil {
		return false, err
	}
	for _, p := range replicas {
		w.noteRuns(p.id)
	}
	news, begun, takenUp, goneOn := counts.new.Load(), counts.begun.Load(), counts.takenUp.Load(), counts.goneOn.Load()
	w.note("%d of %d new streams begin, %d of %d that clients take up again go on", begun, news, goneOn, takenUp)
	if takenUp < minTakenUp {
		return true, nil
	}
	return float64(goneOn)/float64(takenUp) >= float64(begun)/float64(news)/2, nil
}

// flap lets one replica after another go down and up by turns.
func (w *world) flap(replicas []*standinReplica) error {
	for episode := range flapEpisodes {
		time.Sleep(calmTime)
		p := replicas[episode%len(replicas)]
		if !w.faults {
			time.Sleep(flapTime)
			continue
		}
		end := time.Now().Add(flapTime)
		for time.Now().Before(end) {
			w.note("replica %s goes down", p.id)
			w.kill(p.cmd)
			time.Sleep(flapGap)
			if err := w.startReplica(p, "v1"); err != nil {
				return err
			}
			time.Sleep(flapGap)
		}
	}
	return nil
}

// watchStream sends a request for a stream and, if it is broken off, takes it up again once at another
// host.
func (w *world) watchStream(hosts []*host, i int, counts *flapCounts) {
	id := fmt.Sprintf("s%d", i)
	counts.new.Add(1)
	status, events, whole := w.streamFrom(hosts[i%len(hosts)], id, "", 0)
	if status != http.StatusOK || events == 0 {
		w.note("request %s: status %d, %d events", id, status, events)
		return
	}
	counts.begun.Add(1)
	if whole {
		return
	}
	counts.takenUp.Add(1)
	status, more, whole := w.streamFrom(hosts[(i+1)%len(hosts)], id+"-again", id, events)
	if status == http.StatusOK && more > 0 {
		counts.goneOn.Add(1)
	}
	w.note("request %s: broken off after event %d; taken up again at %s: status %d, %d events, whole %v",
		id, events, hosts[(i+1)%len(hosts)].name, status, more, whole)
}

// streamFrom sends a request for a stream, or for the rest of one after a number of events. It returns
// the status, the number of events, and whether the stream has ended whole.
func (w *world) streamFrom(h *host, id, resumes string, after int) (status, events int, whole bool) {
	ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.callers+"/brief/1", strings.NewReader("prompt"))
	if err != nil {
		return 0, 0, false
	}
	req.Host, req.Close = "club.example", true
	stream := id
	if resumes != "" {
		stream = resumes
		req.Header.Set("Resumes", resumes)
		req.Header.Set("Last-Event-Id", fmt.Sprint(after))
	}
	for name, value := range map[string]string{
		"X-Wigeonsail-Attempt-Id": id, "X-Wigeonsail-Deadline-Ms": "6000", "X-Wigeonsail-Key": "club-key", "X-Wigeonsail-Model": "m",
		"X-Wigeonsail-Token-Usage": "900,60", "X-Wigeonsail-Prompt-Prefix": fmt.Sprintf("%x:200,%x:700", []byte(stream[:2]), []byte(stream)),
	} {
		req.Header.Set(name, value)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, 0, false
	}
	defer res.Body.Close()
	lines := bufio.NewScanner(res.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "data: ") {
			events++
		}
	}
	return res.StatusCode, events, lines.Err() == nil && res.StatusCode == http.StatusOK
}
