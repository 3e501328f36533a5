package routing_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/core/routing"
)

// table returns a table with overlapping routes and one account.
func table() *routing.Table {
	return routing.NewTable(&routing.Config{
		Version: 3,
		Routes: []routing.Route{
			{Name: "all", Host: "club.example", PathPrefix: "/"},
			{Name: "drafts", Host: "club.example", PathPrefix: "/drafts/"},
			{Name: "other", Host: "other.example", PathPrefix: "/drafts/"},
		},
		Accounts: []routing.Account{{Name: "manila", Keys: []string{"k1", "k2"}}},
	})
}

func TestRouteMatchesLongestPrefix(t *testing.T) {
	cases := []struct{ host, path, want string }{
		{"club.example", "/drafts/1", "drafts"},
		{"club.example", "/drafts", "all"},
		{"club.example", "/draftsman/", "all"},
		{"other.example", "/drafts/1", "other"},
		{"other.example", "/", ""},
		{"unknown.example", "/drafts/1", ""},
	}
	for _, c := range cases {
		route, ok := table().Route(c.host, c.path)
		must.Eq(t, c.want != "", ok, must.Sprint(c))
		if ok {
			must.Eq(t, c.want, route.Name)
		}
	}
}

func TestAccountByKey(t *testing.T) {
	account, ok := table().Account("k2")
	must.True(t, ok)
	must.Eq(t, "manila", account.Name)
	_, ok = table().Account("")
	must.False(t, ok)
	_, ok = routing.NewTable(&routing.Config{}).Account("any")
	must.True(t, ok, must.Sprint("without accounts no key is needed"))
}

func TestPickPoolByWeight(t *testing.T) {
	r := routing.Route{Targets: []routing.Target{{Pool: "a", Weight: 90}, {Pool: "b", Weight: 10}, {Pool: "c"}}}
	for draw, want := range map[float64]model.PoolName{0: "a", 0.89: "a", 0.9: "b", 0.99: "b"} {
		must.Eq(t, want, r.PickPool(draw))
	}
	must.Eq(t, "", (&routing.Route{}).PickPool(0.5))
}

func TestCanRetry(t *testing.T) {
	must.True(t, (&routing.Route{Kind: routing.Idempotent}).CanRetry())
	must.True(t, (&routing.Route{Kind: routing.Streaming, Resumable: true}).CanRetry())
	must.False(t, (&routing.Route{Kind: routing.Streaming}).CanRetry())
	must.False(t, (&routing.Route{Kind: routing.NonIdempotent, Resumable: true}).CanRetry())
}
