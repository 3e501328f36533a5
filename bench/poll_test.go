package bench

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/adapter/enginehttp"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/standin/engine"
)

// BenchmarkPoll measures polling an engine for its load report, by the number of
// models and adapters that the engine has loaded.
func BenchmarkPoll(b *testing.B) {
	for _, models := range []int{1, 8, 32} {
		b.Run(fmt.Sprintf("models=%d", models), func(b *testing.B) {
			var names []model.ModelName
			for i := range models {
				names = append(names, model.ModelName(fmt.Sprintf("model-%02d", i)))
			}
			l := listen(b)
			server := &http.Server{Handler: engine.New(engine.Options{Name: "e", Models: names, Slots: 1}).Handler()}
			go func() { _ = server.Serve(l) }()
			client := enginehttp.New()
			b.Cleanup(func() {
				client.Close()
				must.NoError(b, server.Close())
			})
			reportCPUAndBytes(b, l, func() {
				_, err := client.Load(b.Context(), l.Addr().String())
				must.NoError(b, err)
			})
		})
	}
}
