package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/wigeonsail/wigeonsail/api/operatorapi"
	"github.com/wigeonsail/wigeonsail/internal/adapter/operatorhttp"
	"github.com/wigeonsail/wigeonsail/internal/core/burn"
	"github.com/wigeonsail/wigeonsail/internal/report"
)

// maxBurnBytes bounds the response of a host with its counts.
const maxBurnBytes = 256 << 20

// errIncomplete is returned for a report without the counts of all hosts.
var errIncomplete = errors.New("some hosts did not answer; their counts are missing")

// reportCmd holds the commands for reports.
type reportCmd struct {
	Burn reportBurnCmd `cmd:"" help:"Print attainment, error budget, burn rate, goodput and wasted work by class and failure domain."`
}

type reportBurnCmd struct {
	operatorFlags
	Window time.Duration `default:"1h" help:"Length of the reported period, which ends now; up to 24h. Alerts use their own windows."`
	JSON   bool          `xor:"form" help:"Print JSON."`
	HTML   bool          `name:"html" xor:"form" help:"Print one self-contained HTML page with plots."`
}

// Run prints the report over all hosts that the first responding host can reach.
// It fails after printing if hosts are missing.
func (c reportBurnCmd) Run() error {
	b, err := c.gatherBurn(context.Background(), c.Window)
	if err != nil {
		return err
	}
	switch {
	case c.JSON:
		err = b.WriteJSON(os.Stdout)
	case c.HTML:
		err = b.WriteHTML(os.Stdout)
	default:
		err = b.WriteText(os.Stdout)
	}
	if err == nil && len(b.Missing) > 0 {
		return errIncomplete
	}
	return err
}

// gatherBurn queries the given hosts in turn until one responds. It fetches counts
// for the longest window of the alerts if that exceeds window.
func (f operatorFlags) gatherBurn(ctx context.Context, window time.Duration) (*report.Burn, error) {
	if window <= 0 || window > burn.Retention {
		return nil, &usageError{cause: fmt.Errorf("window %s is not over 0 and up to %s", window, burn.Retention)}
	}
	fetch := window
	for _, pair := range burn.AlertRules {
		fetch = max(fetch, pair.Long)
	}
	var errs []error
	for _, host := range f.Host {
		counts, err := f.fetchBurn(ctx, host, fetch)
		if err == nil {
			return report.NewBurn(report.BurnInput{Aggregate: counts, At: time.Now(), Window: window}), nil
		}
		errs = append(errs, fmt.Errorf("no answer from %s: %w", host, err))
	}
	return nil, errors.Join(errs...)
}

// fetchBurn fetches the counts of a window that a host gathers from all hosts.
func (f operatorFlags) fetchBurn(ctx context.Context, host string, window time.Duration) (burn.Aggregate, error) {
	if !strings.Contains(host, "://") {
		host = "http://" + host
	}
	query := url.Values{operatorhttp.BurnWindow: {window.String()}}
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, host+operatorhttp.BurnPath+"?"+query.Encode(), nil)
	if err != nil {
		return burn.Aggregate{}, &usageError{cause: err}
	}
	req.Header.Set("Authorization", "Bearer "+f.Token)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return burn.Aggregate{}, err
	}
	defer res.Body.Close()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxBurnBytes))
	if err != nil {
		return burn.Aggregate{}, err
	}
	if res.StatusCode != http.StatusOK {
		return burn.Aggregate{}, problemError(res.StatusCode, data)
	}
	return burn.Decode(data)
}

// problemError decodes the problem response of a call that the generated client
// does not cover.
func problemError(status int, data []byte) error {
	var p operatorapi.Problem
	if err := p.UnmarshalJSON(data); err != nil {
		return fmt.Errorf("status %d", status)
	}
	return &hostError{problem: p}
}
