package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/wigeonsail/wigeonsail/api/operatorapi"
	"github.com/wigeonsail/wigeonsail/opconfig"
)

// configCmd holds the commands for the configuration.
type configCmd struct {
	Check   configCheckCmd   `cmd:"" help:"Check a configuration file."`
	Diff    configDiffCmd    `cmd:"" help:"Show what a file would change in the configuration in force."`
	Publish configPublishCmd `cmd:"" help:"Publish a file as the configuration in force."`
	Show    configShowCmd    `cmd:"" help:"Print the configuration in force, or an older one."`
	History configHistoryCmd `cmd:"" help:"List the accepted versions."`
	Status  configStatusCmd  `cmd:"" help:"Show which version is in force where, and for how long."`
	Wait    configWaitCmd    `cmd:"" help:"Wait until a version is in force everywhere."`
}

// readConfig reads and validates a configuration file; "-" is stdin. Each error
// names the path.
func readConfig(path string) ([]byte, *opconfig.Config, error) {
	text, err := readFile(path)
	if err != nil {
		return nil, nil, &usageError{cause: err}
	}
	cfg, err := opconfig.Parse(text)
	if err != nil {
		return nil, nil, &usageError{cause: fmt.Errorf("%s: %w", path, err)}
	}
	err = cfg.Validate()
	var invalid *opconfig.ValidationError
	if errors.As(err, &invalid) {
		var errs []error
		for _, f := range invalid.Fields {
			errs = append(errs, fmt.Errorf("%s: %w", path, f))
		}
		return nil, nil, &usageError{cause: errors.Join(errs...)}
	}
	return text, cfg, nil
}

// readFile reads a file; "-" is stdin.
func readFile(path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(path)
}

type configCheckCmd struct {
	File string `arg:"" help:"Configuration in TOML; - for stdin."`
}

// Run validates the file without contacting a host.
func (c configCheckCmd) Run() error {
	_, cfg, err := readConfig(c.File)
	if err != nil {
		return err
	}
	fmt.Printf("%s: good: %d classes, %d accounts, %d pools, %d endpoints, %d routes\n",
		c.File, len(cfg.Classes), len(cfg.Accounts), len(cfg.Pools), len(cfg.Endpoints), len(cfg.Routes))
	return nil
}

type configDiffCmd struct {
	File string `arg:"" help:"Configuration in TOML; - for stdin."`
	operatorFlags
	Against uint64 `help:"Version to compare with; the one in force by default." placeholder:"VERSION"`
	JSON    bool   `help:"Print JSON."`
}

// configDiff is the output of `config diff --json`.
type configDiff struct {
	Version uint64            `json:"version"`
	Author  string            `json:"author"`
	Changes []opconfig.Change `json:"changes"`
}

// Run prints the compared version, then one change per line.
func (c configDiffCmd) Run() error {
	_, cfg, err := readConfig(c.File)
	if err != nil {
		return err
	}
	base, err := c.getConfig(context.Background(), c.Against)
	if err != nil {
		return err
	}
	old, err := opconfig.Parse([]byte(base.Body))
	if err != nil {
		return err
	}
	diff := configDiff{Version: base.Meta.Version, Author: base.Meta.Author, Changes: opconfig.Diff(old, cfg)}
	if c.JSON {
		return printJSON(diff)
	}
	fmt.Printf("against version %d of %s: %d changes\n", diff.Version, diff.Author, len(diff.Changes))
	for _, change := range diff.Changes {
		fmt.Println(change)
	}
	return nil
}

// getConfig fetches a version of the configuration; 0 is the version in force.
func (f operatorFlags) getConfig(ctx context.Context, version uint64) (*operatorapi.Config, error) {
	return askFirst(f, func(c *operatorapi.Client) (*operatorapi.Config, error) {
		return c.GetConfig(ctx, operatorapi.GetConfigParams{Version: operatorapi.NewOptUint64(version)})
	})
}

type configShowCmd struct {
	operatorFlags
	Version uint64 `help:"Version to print; the one in force by default."`
	JSON    bool   `help:"Print JSON."`
}

// Run prints the configuration, after a comment with its version, author and note.
func (c configShowCmd) Run() error {
	cfg, err := c.getConfig(context.Background(), c.Version)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(cfg)
	}
	fmt.Printf("# version %d by %s at %s: %s\n", cfg.Meta.Version, cfg.Meta.Author, cfg.Meta.At.Format(timeFormat), cfg.Meta.Note)
	fmt.Print(cfg.Body)
	return nil
}

// timeFormat is the format of times in tables.
const timeFormat = "2006-01-02T15:04:05Z07:00"

type configHistoryCmd struct {
	operatorFlags
	JSON bool `help:"Print JSON."`
}

// Run prints the versions, oldest first.
func (c configHistoryCmd) Run() error {
	history, err := c.configHistory(context.Background())
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(history)
	}
	rows := [][]string{{"VERSION", "AT", "BY", "NOTE"}}
	for _, v := range history {
		rows = append(rows, []string{fmt.Sprint(v.Version), v.At.Format(timeFormat), v.Author, v.Note})
	}
	return printTable(rows)
}
