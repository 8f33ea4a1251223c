package faulter

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func standardSetup() Setup {
	return Setup{Seed: 1, Instances: 4, Servers: 6, Partitions: 24, Rate: 60}
}

func TestQuietWorldAnswersEverything(t *testing.T) {
	is := is.New(t)
	w := NewWorld(standardSetup())
	w.Run(3 * time.Second)
	w.StartCallers()
	w.Run(10 * time.Second)
	w.StopCallers()
	w.Run(5 * time.Second)
	tally := w.Tally()
	t.Logf("%+v, %d records, breaches %v", tally, len(w.log.records), w.Breaches())
	if testing.Verbose() {
		for _, i := range w.instances {
			for _, n := range i.notes {
				t.Logf("%s %+v", i.name, n)
			}
		}
	}
	is.Equal(len(w.Breaches()), 0)
	is.Equal(tally.Answered, tally.Sent)
	is.True(tally.Sent > 500)
}
