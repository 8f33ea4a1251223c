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

// FetchExecutions reads all executions from stand-in servers or collectors at addresses. One that several of them hold is
// returned once.
func FetchExecutions(ctx context.Context, addresses []string) ([]emulator.Execution, error) {
	client := querier.NewClient(querier.Settings{AnswerTimeout: fetchTimeout, MaxAnswerBytes: maxFetchBytes})
	defer client.Close()
	all := emulator.NewCollector()
	for _, address := range addresses {
		if err := fetchOne(ctx, client, address, all); err != nil {
			return nil, errors.Wrapf(err, "executions of %s", address)
		}
	}
	return all.All(), nil
}

func fetchOne(ctx context.Context, client *querier.Client, address string, all *emulator.Collector) error {
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
