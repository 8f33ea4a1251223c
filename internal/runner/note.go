package runner

import (
	"strings"
	"time"

	"k8s.io/klog/v2"

	"github.com/wasabibank/wasabibank/internal/controller"
	"github.com/wasabibank/wasabibank/internal/meter"
	"github.com/wasabibank/wasabibank/internal/tracer"
)

// note counts a change of state, puts it on the time line and logs it.
func (l *loop) note(now time.Time, n controller.Note) {
	l.ring.Add(now, n.Offset, n.Kind, n.Subject, n.Detail)
	if counter, ok := counterOf(n.Kind); ok {
		l.meter.Count(counter)
	}
	if n.Kind == tracer.KindRecordRefused || n.Kind == tracer.KindBundleRefused {
		reason, _, _ := strings.Cut(n.Detail, ":")
		l.meter.CountRecordRefusal(reason)
	}
	klog.InfoS(string(n.Kind), "offset", uint64(n.Offset), "subject", n.Subject, "detail", n.Detail)
}

// counterOf returns the counter that counts a kind of change.
func counterOf(kind tracer.Kind) (meter.Counter, bool) {
	switch kind {
	case tracer.KindBundleAccepted:
		return meter.BundlesAccepted, true
	case tracer.KindBundleRefused:
		return meter.BundlesRefused, true
	case tracer.KindRecordRefused:
		return meter.RecordsRefused, true
	case tracer.KindInstanceJoined:
		return meter.InstancesJoined, true
	case tracer.KindInstanceLeft:
		return meter.InstancesLeft, true
	case tracer.KindInstanceExpelled:
		return meter.Expulsions, true
	case tracer.KindFrontTaken:
		return meter.FrontsTaken, true
	case tracer.KindFrontHanded:
		return meter.FrontsHanded, true
	case tracer.KindMoveStarted:
		return meter.MovesStarted, true
	case tracer.KindMoveDone:
		return meter.MovesDone, true
	case tracer.KindLeaseLapsed:
		return meter.LeaseLapses, true
	case tracer.KindServerSuspected:
		return meter.ServersSuspected, true
	case tracer.KindSnapshotWritten:
		return meter.SnapshotsWritten, true
	case tracer.KindSnapshotLoaded:
		return meter.SnapshotsLoaded, true
	case tracer.KindLogGap:
		return meter.LogGaps, true
	case tracer.KindKeyPinned:
		return meter.KeysPinned, true
	case tracer.KindKeyUnpinned:
		return meter.KeysUnpinned, true
	default:
		return 0, false
	}
}
