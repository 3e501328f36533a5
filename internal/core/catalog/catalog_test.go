package catalog

import (
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/opconfig"
)

func testCatalog() *Catalog {
	return New(3, &opconfig.Config{
		Classes: []opconfig.Class{{Name: "questions"}, {Name: "confirmations"}},
		Accounts: []opconfig.Account{
			{Name: "club", KeyHashes: []string{opconfig.HashKey("club-key"), "no hash"}, DefaultClass: "questions"},
			{Name: "reader", KeyHashes: []string{opconfig.HashKey("reader-key")}, DefaultClass: "questions", Classes: []model.ClassName{"questions"}},
		},
		Pools: []opconfig.Pool{{Name: "a", Models: []model.ModelName{"m"}}, {Name: "b", Models: []model.ModelName{"m", "n"}}},
		Routes: []opconfig.Route{
			{Path: "/services/", Pool: "a"},
			{Path: "/services/x/", Pool: "b", Class: "confirmations", Methods: []string{http.MethodPost}},
		},
	})
}

func TestAccountForKey(t *testing.T) {
	c := testCatalog()
	account, ok := c.AccountForKey("club-key")
	must.True(t, ok)
	must.Eq(t, "club", account)
	_, ok = c.AccountForKey("other")
	must.False(t, ok)
}

func TestRouteSelectsLongestPathForMethod(t *testing.T) {
	c := testCatalog()
	for _, tc := range []struct {
		method, path string
		want         model.PoolName
	}{
		{http.MethodPost, "/services/x/1", "b"},
		{http.MethodGet, "/services/x/1", "a"},
		{http.MethodPost, "/services/y", "a"},
	} {
		route, ok := c.Route(tc.method, tc.path)
		must.True(t, ok)
		must.Eq(t, tc.want, route.Pool, must.Sprint(tc.method, tc.path))
	}
	_, ok := c.Route(http.MethodGet, "/other")
	must.False(t, ok)
}

func TestClassForPrecedence(t *testing.T) {
	c := testCatalog()
	club, _ := c.Account("club")
	reader, _ := c.Account("reader")
	confirm, _ := c.Route(http.MethodPost, "/services/x/1")
	for name, tc := range map[string]struct {
		route     *opconfig.Route
		requested model.ClassName
		account   *opconfig.Account
		want      model.ClassName
	}{
		"class of route":    {confirm, "questions", club, "confirmations"},
		"class of header":   {nil, "confirmations", club, "confirmations"},
		"default class":     {nil, "", club, "questions"},
		"unknown class":     {nil, "none", club, ""},
		"class not allowed": {confirm, "", reader, ""},
	} {
		class, ok := c.ClassFor(tc.route, tc.requested, tc.account)
		must.Eq(t, tc.want != "", ok, must.Sprint(name))
		if ok {
			must.Eq(t, tc.want, class.Name, must.Sprint(name))
		}
	}
}

func TestPoolForModelSelectsFirstListedPool(t *testing.T) {
	pool, ok := testCatalog().PoolForModel("m")
	must.True(t, ok)
	must.Eq(t, "a", pool.Name)
}
