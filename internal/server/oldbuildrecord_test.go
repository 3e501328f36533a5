//go:build record

package server

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"github.com/wigeonsail/wigeonsail/api/peer"
	"github.com/wigeonsail/wigeonsail/internal/standin/replica"
	"github.com/wigeonsail/wigeonsail/internal/standin/users"
)

const (
	// recordVariable names the program whose messages are recorded.
	recordVariable = "WIGEONSAIL_RECORD_MESSAGES_OF"
	// maxRecordedDigests bounds the file of messages.
	maxRecordedDigests = 60
)

// TestRecordMessagesOfABuild records the messages of a program into recordedMessages, by hand.
func TestRecordMessagesOfABuild(t *testing.T) {
	program := os.Getenv(recordVariable)
	must.NotEq(t, "", program, must.Sprint(recordVariable))
	f := newFleet(t)
	f.publish(fleetConfig(7))
	f.startReplica(servicePool, replica.Options{Instance: "i-1"})
	f.startReplica(enginePool, replica.Options{Instance: "i-2", Events: 6, ServiceTime: 20 * time.Millisecond})
	recorder := &oldHost{config: &peer.ConfigRecord{}, list: &peer.EndpointList{}}
	recorder.serve(t)
	callers, peers := freeAddress(t), freeAddress(t)
	runProgram(t, program, f.storeURL, recorder.address, callers, peers)
	for i := range 40 {
		for path, body := range map[string]string{"/confirm/1": "order", "/brief/1": "prompt"} {
			req, err := users.NewRequest(t.Context(), http.MethodPost, callers, path, body, fmt.Sprint("id-", path, i), callerKey)
			must.NoError(t, err)
			if res, err := http.DefaultClient.Do(req); err == nil {
				_, err = io.Copy(io.Discard, res.Body)
				must.NoError(t, err)
				must.NoError(t, res.Body.Close())
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	writeRecorded(t, recorder, peers)
}

// freeAddress returns an address on which nothing listens.
func freeAddress(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	must.NoError(t, listener.Close())
	return listener.Addr().String()
}

// runProgram runs a gateway until the test ends.
func runProgram(t *testing.T, program, store, seed, callers, peers string) {
	settings := filepath.Join(t.TempDir(), "host.toml")
	text := fmt.Sprintf("host = \"old\"\ndomain = \"north\"\n[listen]\ncallers = %q\nreadiness = %q\npeers = %q\nmetrics = %q\n"+
		"[platform]\naddress = %q\n[peers]\nsecret = \"secret-of-the-tests\"\nseeds = [%q]\n",
		callers, freeAddress(t), peers, freeAddress(t), store, seed)
	must.NoError(t, os.WriteFile(settings, []byte(text), 0o600))
	cmd := exec.Command(program, "gateway", "-c", settings)
	must.NoError(t, cmd.Start())
	t.Cleanup(func() {
		must.NoError(t, cmd.Process.Kill())
		_ = cmd.Wait() // It was killed.
	})
}

// writeRecorded writes the messages of a host and its answers to recordedMessages.
func writeRecorded(t *testing.T, recorder *oldHost, address string) {
	digests := recorder.take()
	must.SliceNotEmpty(t, digests)
	conn, ctx := dialPeer(t, address, recorder.token)
	client := peer.NewPeerClient(conn)
	config, err := client.FetchConfig(ctx, &peer.FetchConfigRequest{})
	must.NoError(t, err)
	list, err := client.FetchEndpoints(ctx, &peer.FetchEndpointsRequest{})
	must.NoError(t, err)
	file, err := os.Create(recordedMessages)
	must.NoError(t, err)
	defer func() { must.NoError(t, file.Close()) }()
	out := json.NewEncoder(file)
	must.NoError(t, out.Encode(recordedMessage{Call: "token", Token: recorder.token}))
	write := func(call string, m proto.Message) {
		data, err := proto.Marshal(m)
		must.NoError(t, err)
		must.NoError(t, out.Encode(recordedMessage{Call: call, Data: base64.StdEncoding.EncodeToString(data)}))
	}
	write("FetchConfig", config)
	write("FetchEndpoints", list)
	for i, d := range digests {
		if i*maxRecordedDigests/len(digests) != (i-1)*maxRecordedDigests/len(digests) || len(d.GetChanges().GetEntries()) > 0 {
			write("Share", d)
		}
	}
}
