package main

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"
)

// A command must not fail because the first of several hosts does not respond.
func TestCommandsAskTheNextHostThatResponds(t *testing.T) {
	gone := httptest.NewServer(http.NotFoundHandler())
	gone.Close()
	asked := 0
	live := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		asked++
		w.Header().Set("Content-Type", "application/json")
		_, err := w.Write([]byte(`[]`))
		must.NoError(t, err)
	}))
	defer live.Close()
	flags := operatorFlags{Host: []string{gone.URL, live.URL, gone.URL}, Token: "t"}
	history, err := flags.configHistory(context.Background())
	must.NoError(t, err)
	must.SliceEmpty(t, history)
	endpoints, err := flags.endpoints(context.Background())
	must.NoError(t, err)
	must.SliceEmpty(t, endpoints)
	must.Eq(t, 2, asked)
}

// A command must not ask further hosts after one has refused.
func TestRefusalOfAHostIsFinal(t *testing.T) {
	asked := 0
	refusing := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		asked++
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusUnauthorized)
		_, err := w.Write([]byte(`{"code":"unauthorized","message":"no","outcome":"not_run"}`))
		must.NoError(t, err)
	}))
	defer refusing.Close()
	flags := operatorFlags{Host: []string{refusing.URL, refusing.URL}, Token: "t"}
	_, err := flags.configHistory(context.Background())
	must.Error(t, err)
	must.Eq(t, 1, asked)
}
