package cmd

import (
	"context"
	"io"

	"github.com/wasabibank/wasabibank/internal/inspector"
	"github.com/wasabibank/wasabibank/internal/recorder"
)

// timelineCommand returns the command that merges the timelines of instances.
func timelineCommand() command {
	return command{name: "timeline", summary: "show the events of all instances in order of time", run: runTimeline}
}

func runTimeline(args []string, stdout, stderr io.Writer) ExitCode {
	flags := newAdminFlags("timeline", "", formatText, formatJSON, formatHTML)
	addresses, code, ok := flags.parse(args, 0, stdout, stderr)
	if !ok {
		return code
	}
	answers := queryAll(addresses, flags.timeout,
		func(ctx context.Context, c *inspector.Client, address string) (recorder.InstanceEvents, error) {
			return c.GetTimeline(ctx, address)
		})
	lists := collectAnswers(answers, stderr)
	if err := writeTimeline(stdout, flags.format, recorder.Merge(lists...)); err != nil {
		return reportError(err, stderr)
	}
	if len(lists) < len(answers) {
		return ExitFailure
	}
	return ExitSuccess
}

func writeTimeline(w io.Writer, format string, timeline recorder.Timeline) error {
	switch format {
	case formatJSON:
		return timeline.WriteJSON(w)
	case formatHTML:
		return timeline.WriteHTML(w)
	default:
		return timeline.WriteText(w)
	}
}
