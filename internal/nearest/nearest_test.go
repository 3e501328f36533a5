package nearest

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestNamesOrdersByDistance(t *testing.T) {
	known := []string{"referral-digests", "drafts", "nurse-query", "draft"}
	must.Eq(t, []string{"draft", "drafts"}, Names("daft", known, 2))
	must.Eq(t, []string{"nurse-query"}, Names("nurses-query", known, 1))
	must.SliceEmpty(t, Names("x", nil, 3))
	must.Eq(t, 3, distance("kitten", "sitting"))
	must.Eq(t, 3, distance("", "abc"))
}
