package main

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/wigeonsail/wigeonsail/api/operatorapi"
)

// operatorTimeout bounds one call to a host. Publishing takes the longest.
const operatorTimeout = 30 * time.Second

// operatorFlags are the flags for calls to the operator API: the hosts and the
// operator's token.
type operatorFlags struct {
	Host  []string `required:"" placeholder:"URL" env:"WIGEONSAIL_HOST" help:"Operator address of a host, for example http://127.0.0.1:18801. Repeat it for several; a command that needs only one uses the first, or the first that responds."`
	Token string   `required:"" env:"WIGEONSAIL_TOKEN" help:"Operator token."`
}

// token implements operatorapi.SecuritySource.
type token string

// OperatorToken implements operatorapi.SecuritySource.
func (t token) OperatorToken(context.Context, operatorapi.OperationName) (operatorapi.OperatorToken, error) {
	return operatorapi.OperatorToken{Token: string(t)}, nil
}

// client returns a client of the operator API at url. The scheme defaults to http.
func (f operatorFlags) client(url string) (*operatorapi.Client, error) {
	if !strings.Contains(url, "://") {
		url = "http://" + url
	}
	client, err := operatorapi.NewClient(url, token(f.Token),
		operatorapi.WithClient(&http.Client{Timeout: operatorTimeout}))
	if err != nil {
		return nil, &usageError{cause: err}
	}
	return client, nil
}

// askFirst makes a call to the hosts in turn until one responds, with a result or with a
// problem, and returns that. The call must be safe to repeat.
func askFirst[T any](f operatorFlags, call func(*operatorapi.Client) (T, error)) (T, error) {
	var none T
	var failed []error
	for _, url := range f.Host {
		client, err := f.client(url)
		if err != nil {
			return none, err
		}
		result, err := call(client)
		if err == nil || isResponse(err) {
			return result, wrapProblem(err)
		}
		failed = append(failed, fmt.Errorf("no answer from %s: %w", url, err))
	}
	return none, errors.Join(failed...)
}

// isResponse reports whether an error of a call is a response of the host.
func isResponse(err error) bool {
	var problem *operatorapi.ProblemStatusCodeWithHeaders
	return errors.As(err, &problem)
}

// configHistory fetches the versions of the configuration.
func (f operatorFlags) configHistory(ctx context.Context) ([]operatorapi.ConfigVersion, error) {
	return askFirst(f, func(c *operatorapi.Client) ([]operatorapi.ConfigVersion, error) { return c.GetConfigHistory(ctx) })
}

// endpoints fetches the endpoints as one host sees them.
func (f operatorFlags) endpoints(ctx context.Context) ([]operatorapi.Endpoint, error) {
	return askFirst(f, func(c *operatorapi.Client) ([]operatorapi.Endpoint, error) { return c.GetEndpoints(ctx) })
}

// hostResponse is the response of one host, or the error of the call.
type hostResponse struct {
	url   string
	hosts *operatorapi.Hosts
	err   error
}

// queryHosts fetches the view of each host in turn.
func (f operatorFlags) queryHosts(ctx context.Context) []hostResponse {
	answers := make([]hostResponse, len(f.Host))
	for i, url := range f.Host {
		answers[i].url = url
		client, err := f.client(url)
		if err == nil {
			answers[i].hosts, err = client.GetHosts(ctx)
		}
		answers[i].err = wrapProblem(err)
	}
	return answers
}

// unansweredError joins the errors of the hosts that did not respond; nil if all
// did.
func unansweredError(answers []hostResponse) error {
	var errs []error
	for _, a := range answers {
		if a.err != nil {
			errs = append(errs, fmt.Errorf("no answer from %s: %w", a.url, a.err))
		}
	}
	return errors.Join(errs...)
}

// wrapProblem converts a problem response into a *hostError. It returns other
// errors unchanged.
func wrapProblem(err error) error {
	var problem *operatorapi.ProblemStatusCodeWithHeaders
	if !errors.As(err, &problem) {
		return err
	}
	return &hostError{problem: problem.Response}
}

// hostError is a problem that a host responded with.
type hostError struct{ problem operatorapi.Problem }

// Error implements error. It has one line per invalid field.
func (e *hostError) Error() string {
	text := fmt.Sprintf("%s (%s, %s)", e.problem.Message, e.problem.Code, e.problem.Outcome)
	if seconds, ok := e.problem.RetryAfter.Get(); ok {
		text += fmt.Sprintf("; come back in %d s", seconds)
	}
	for _, f := range e.problem.Fields {
		text += fmt.Sprintf("\n  %s is %s; allowed: %s", f.Field, f.Got, f.Allowed)
	}
	return text
}

// newPublishID returns a random, unique publish ID.
func newPublishID() string { return strings.ToLower(rand.Text()) }

// printJSON prints a value as indented JSON on stdout.
func printJSON(value any) error {
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(value)
}

// printTable prints rows on stdout; the first is the heading.
func printTable(rows [][]string) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}

// spanText formats seconds as a time span, rounded to 100 ms.
func spanText(seconds float64) string {
	return (time.Duration(seconds * float64(time.Second))).Round(100 * time.Millisecond).String()
}
