package quarantine_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/core/quarantine"
)

// requestCrash returns a crash of an endpoint of its own under a request.
func requestCrash(id int, when time.Duration, f model.Fingerprint, generation int, parts ...model.PartID) quarantine.Crash {
	c := crash(id, when, parts...)
	c.Request, c.Generation = f, generation
	return c
}

// requestState returns "", "suspended" or "quarantined" for a request without a prompt.
func requestState(s *quarantine.State, now time.Duration, f model.Fingerprint) string {
	e, found := s.Check(at(now), model.Prompt{}, f)
	switch {
	case !found:
		return ""
	case e.IsQuarantined():
		return "quarantined"
	default:
		return "suspended"
	}
}

// A request is sent again at once, and the retries follow each other faster than crashes count as different moments.
func TestRetriesThatCrashCountWhenSentAfterCrash(t *testing.T) {
	s := quarantine.New()
	for i := 1; i <= 3; i++ {
		now := time.Second + time.Duration(i)*20*time.Millisecond
		must.Eq(t, i, s.Generation(7))
		s.RecordCrash(at(now), requestCrash(i, now, 7, s.Generation(7)))
		must.Eq(t, []string{"", "suspended", "quarantined"}[i-1], requestState(s, now, 7))
	}
	must.Eq(t, "", requestState(s, 2*time.Second, 8))
	must.Eq(t, 1, s.Count(quarantine.KindRequest))
	must.Eq(t, "", requestState(s, 2*time.Second+quarantine.Duration, 7))
}

// A failure domain fails while a popular request is in progress at all its endpoints.
func TestRequestAtEndpointsThatFailTogetherIsSuspendedAtMost(t *testing.T) {
	s := quarantine.New()
	for i := range 20 {
		now := time.Second + time.Duration(i)*10*time.Millisecond
		s.RecordCrash(at(now), requestCrash(i, now, 7, 1))
	}
	must.Eq(t, "suspended", requestState(s, 2*time.Second, 7))
	changes, cleared := s.RecordAnswer(at(2*time.Second), 7)
	must.True(t, cleared)
	must.Len(t, 1, changes)
	must.Eq(t, "", requestState(s, 2*time.Second, 7))
	must.Eq(t, 1, s.Generation(7))
}

// A generation that a host counted before the request was answered elsewhere is not evidence.
func TestGenerationFromBeforeAnAnswerDoesNotCount(t *testing.T) {
	s := quarantine.New()
	s.RecordCrash(at(time.Second), requestCrash(1, time.Second, 7, 1))
	s.RecordCrash(at(2*time.Second), requestCrash(2, 2*time.Second, 7, 2))
	s.RecordAnswer(at(3*time.Second), 7)
	s.RecordCrash(at(4*time.Second), requestCrash(3, 4*time.Second, 7, 3))
	must.Eq(t, "", requestState(s, 4*time.Second, 7))
}

// Other requests are in progress at the endpoints that one request crashes.
func TestRequestsBesideTheCauseAreNotBlamed(t *testing.T) {
	s := quarantine.New()
	for i := 1; i <= 3; i++ {
		now := time.Duration(i) * time.Second
		s.RecordCrash(at(now), requestCrash(i, now, 7, i))
		beside := requestCrash(i, now, 8, i)
		beside.ID += 100
		s.RecordCrash(at(now), beside)
	}
	must.Eq(t, "quarantined", requestState(s, 4*time.Second, 7))
	must.NotEq(t, "quarantined", requestState(s, 4*time.Second, 8))
}

// The wrong one of two requests that were always in progress together was blamed: the next crash shows the other.
func TestCauseBehindBlamedRequestIsFoundNext(t *testing.T) {
	s := quarantine.New()
	for i := 1; i <= 3; i++ {
		now := time.Duration(i) * time.Second
		s.RecordCrash(at(now), requestCrash(i, now, 8, i))
		cause := requestCrash(i, now, 7, i)
		cause.ID += 100
		s.RecordCrash(at(now), cause)
	}
	must.Eq(t, "quarantined", requestState(s, 4*time.Second, 8))
	s.RecordCrash(at(5*time.Second), requestCrash(5, 5*time.Second, 7, s.Generation(7)))
	must.Eq(t, "quarantined", requestState(s, 5*time.Second, 7))
}

// The first request with a part that crashes endpoints is blamed itself; the second one shows the part.
func TestPartBehindBlamedRequestsIsFound(t *testing.T) {
	s := quarantine.New()
	for i := 1; i <= 3; i++ {
		now := time.Duration(i) * time.Second
		s.RecordCrash(at(now), requestCrash(i, now, 100, i, 1, 7))
		s.RecordProgress(at(now), prompt(1))
	}
	must.Eq(t, "quarantined", requestState(s, 4*time.Second, 100))
	must.False(t, isQuarantined(s, 4*time.Second, 7), must.Sprint("the part of one request that crashes endpoints"))
	s.RecordCrash(at(5*time.Second), requestCrash(5, 5*time.Second, 101, 1, 1, 7))
	must.True(t, isQuarantined(s, 5*time.Second, 7))
	must.False(t, isQuarantined(s, 5*time.Second, 1))
}

// Hosts that start learn of suspended requests too, and their next crash completes the evidence.
func TestSuspensionIsReportedAsLongAsItLasts(t *testing.T) {
	s, fresh := quarantine.New(), quarantine.New()
	for i := 1; i <= 2; i++ {
		s.RecordCrash(at(time.Second), requestCrash(i, time.Second, 7, i))
	}
	fresh.Merge(at(5*time.Minute), s.Report(at(5*time.Minute)))
	must.Eq(t, "suspended", requestState(fresh, 5*time.Minute, 7))
	must.Eq(t, 3, fresh.Generation(7))
	fresh.RecordCrash(at(5*time.Minute), requestCrash(3, 5*time.Minute, 7, 3))
	must.Eq(t, "quarantined", requestState(fresh, 5*time.Minute, 7))
}

// Hundreds of requests break at once, and must not displace the evidence against one that crashes endpoints.
func TestManyCrashesAtOnceDoNotDisplaceEvidence(t *testing.T) {
	s, other := quarantine.New(), quarantine.New()
	s.RecordCrash(at(time.Second), requestCrash(1, time.Second, 7, 1))
	s.RecordCrash(at(2*time.Second), requestCrash(2, 2*time.Second, 7, 2))
	for i := range 2000 {
		c := requestCrash(10+i, 3*time.Second, model.Fingerprint(1000+i), 1)
		c.Endpoint.Name = model.EndpointName(fmt.Sprint("e", i%40))
		s.RecordCrash(at(3*time.Second), c)
	}
	s.RecordCrash(at(4*time.Second), requestCrash(3, 4*time.Second, 7, 3))
	other.Merge(at(4*time.Second), s.Report(at(4*time.Second)))
	must.Eq(t, "quarantined", requestState(s, 4*time.Second, 7))
	must.Eq(t, "quarantined", requestState(other, 4*time.Second, 7))
	must.LessEq(t, 64, len(s.Report(at(4*time.Second)).Crashes))
}

func TestSuspectsAreParsedFromTheirTexts(t *testing.T) {
	for _, suspect := range []quarantine.Suspect{quarantine.Part(1 << 63), quarantine.Request(1 << 63), quarantine.Part(0x1f)} {
		parsed, err := quarantine.ParseSuspect(suspect.String())
		must.NoError(t, err)
		must.Eq(t, suspect, parsed)
	}
	for _, text := range []string{"", "request-", "request", "-1", "xyz", "11111111111111111"} {
		_, err := quarantine.ParseSuspect(text)
		var malformed *quarantine.SuspectError
		must.True(t, errors.As(err, &malformed))
	}
}

// A suspect is lifted right after a crash. The time that another host hears of is older than the crash.
func TestReleaseRightAfterCrashReachesOtherHosts(t *testing.T) {
	const understated = 300 * time.Millisecond
	s, other := quarantine.New(), quarantine.New()
	for i := 1; i <= 3; i++ {
		other.RecordCrash(at(time.Second), requestCrash(i, time.Second, 7, i))
	}
	s.Merge(at(time.Second), other.Report(at(time.Second)))
	must.Eq(t, "quarantined", requestState(s, time.Second, 7))
	_, released := s.Release(at(time.Second+time.Millisecond), quarantine.Request(7))
	must.True(t, released)
	report := s.Report(at(time.Second + 2*time.Millisecond))
	for i := range report.Cleared {
		report.Cleared[i].At = report.Cleared[i].At.Add(-understated)
	}
	other.Merge(at(time.Second+3*time.Millisecond), report)
	must.Eq(t, "", requestState(other, time.Second, 7))
	s.Merge(at(time.Second), other.Report(at(time.Second)))
	must.Eq(t, "", requestState(s, time.Second, 7))
}
