package loadtester

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabibank/wasabibank/internal/emulator"
	"github.com/wasabibank/wasabibank/internal/querier"
)

const (
	fetchTimeout  = 10 * time.Second
	maxFetchBytes = 64 << 20
)

// FetchExecutions reads all executions from the collectors at addresses, each host:port. An execution that several of them
// return is included once. The error names the address that could not be read.
func FetchExecutions(ctx context.Context, addresses []string) ([]emulator.Execution, error) {
	client := querier.NewClient(querier.Settings{AnswerTimeout: fetchTimeout, MaxAnswerBytes: maxFetchBytes})
	defer client.Close()
	all := emulator.NewCollector()
	for _, address := range addresses {
		if err := fetchPages(ctx, client, address, all); err != nil {
			return nil, errors.Wrapf(err, "read executions of %s", address)
		}
	}
	return all.All(), nil
}

// fetchPages reads the pages of one address until a page is empty, and adds their executions to all.
func fetchPages(ctx context.Context, client *querier.Client, address string, all *emulator.Collector) error {
	for from := 0; ; {
		var page emulator.ExecutionPage
		url := fmt.Sprintf("http://%s/admin/executions?from=%d", address, from)
		if err := client.Get(ctx, url, &page); err != nil {
			return err
		}
		for _, e := range page.Executions {
			all.Add(e)
		}
		if page.Next <= from {
			return nil
		}
		from = page.Next
	}
}
