package opconfig_test

import (
	"fmt"
	"time"

	"github.com/wigeonsail/wigeonsail/opconfig"
)

// question returns a configuration with one class and one endpoint.
func question() *opconfig.Config {
	cfg := &opconfig.Config{Schema: opconfig.SchemaVersion}
	cfg.Classes = []opconfig.Class{{
		Name:       "questions",
		Tier:       1,
		FirstToken: opconfig.Duration(time.Second),
		Objective:  0.95,
		Deadline:   opconfig.Duration(30 * time.Second),
		MaxQueued:  100,
	}}
	cfg.Pools = []opconfig.Pool{{
		Name:   "advice",
		Kind:   opconfig.KindEngine,
		Models: []opconfig.ModelName{"advice-8b"},
	}}
	cfg.Endpoints = []opconfig.Endpoint{{
		Name:    "advice-1",
		Pool:    "advice",
		Domain:  "east",
		Address: "127.0.0.1:18001",
		Room:    16,
	}}
	return cfg
}

func ExampleMarshal() {
	text, err := opconfig.Marshal(&opconfig.Config{Schema: opconfig.SchemaVersion, Pools: question().Pools})
	fmt.Println(err)
	fmt.Print(string(text))
	// Output:
	// <nil>
	// schema = 1
	// class = []
	// account = []
	// endpoint = []
	// route = []
	//
	// [[pool]]
	// name = 'advice'
	// kind = 'engine'
	// models = ['advice-8b']
}

func ExampleConfig_Validate() {
	cfg := question()
	cfg.Classes[0].Floor = 1.5
	cfg.Endpoints[0].Pool = "advise"
	fmt.Println(cfg.Validate())
	// Output:
	// class "questions": floor is 1.5; allowed: 0 to 1
	// class: sum of all floor is 1.5; allowed: at most 1
	// endpoint "advice-1": pool is "advise"; allowed: the name of a pool
}

func ExampleParse() {
	_, err := opconfig.Parse([]byte("schema = 1\n\n[[class]]\nname = 'questions'\nteir = 1\n"))
	fmt.Println(err)
	// Output:
	// line 5, column 1: key class.teir: unknown key
}

func ExampleDiff() {
	from, to := question(), question()
	to.Classes[0].Deadline = opconfig.Duration(time.Minute)
	to.Endpoints[0].Leaving = true
	to.Routes = []opconfig.Route{{Path: "/v1/", Class: "questions"}}
	for _, change := range opconfig.Diff(from, to) {
		fmt.Println(change)
	}
	// Output:
	// class questions: deadline from 30s to 1m0s
	// endpoint advice-1: starts leaving, gets no new work
	// route /v1/: added
}
