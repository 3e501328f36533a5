package operatorhttp

import (
	"context"
	"net/http"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/burn"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

const (
	// BurnPath is the path of the service-level counts gathered from all hosts.
	BurnPath = "/v1/burn"
	// BurnWindow is the query parameter with the counted period, for example "1h".
	BurnWindow = "window"
)

// BurnSource gathers the service-level counts of all hosts, from which the burn
// rates of the error budgets are computed.
type BurnSource interface {
	GatherBurn(ctx context.Context, window time.Duration) (burn.Aggregate, error)
}

// BurnHandler returns a handler that serves the counts in the encoding that hosts
// exchange them in.
func BurnHandler(source BurnSource) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		window, err := time.ParseDuration(r.URL.Query().Get(BurnWindow))
		if err != nil || window <= 0 || window > burn.Retention {
			writeProblem(w, problem(http.StatusBadRequest, codeBadRequest,
				"window is no time span over 0 and up to "+burn.Retention.String(), model.OutcomeNotRun))
			return
		}
		counts, err := source.GatherBurn(r.Context(), window)
		if err != nil {
			writeProblem(w, problemOf(err))
			return
		}
		data, err := counts.Encode()
		if err != nil {
			writeProblem(w, problemOf(err))
			return
		}
		w.Header().Set("Content-Type", "application/json")
		w.Write(data)
	})
}
