package forwarder

import (
	"context"
	"time"

	"github.com/wasabibank/wasabibank/internal/router"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// watchDelay is how long an attempt lasts before its route is watched.
const watchDelay = 100 * time.Millisecond

// watch ends an attempt whose route has been replaced by another, so that it does not wait for a server or an instance
// that has lost the key.
type watch struct {
	table   *router.Table
	service identifier.ServiceName
	key     string
	route   router.Route
	cancel  context.CancelFunc
	timer   *time.Timer
}

// watchRoute gives the request the context of an attempt along route; end must follow.
func (f *Forwarder) watchRoute(q *request, route router.Route) *watch {
	ctx, cancel := context.WithCancel(q.r.Context())
	q.attempt = ctx
	w := &watch{table: f.table, service: q.service.Name(), key: q.key, route: route, cancel: cancel}
	w.timer = time.AfterFunc(watchDelay, func() { w.run(ctx) })
	return w
}

func (w *watch) end(q *request) {
	w.timer.Stop()
	w.cancel()
	q.attempt = nil
}

// run looks at each new view until the attempt ends or its route is replaced.
func (w *watch) run(ctx context.Context) {
	for {
		changed := w.table.Changed()
		if w.replaced(w.table.View()) {
			w.cancel()
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// replaced reports whether view sends the request elsewhere. No route at all replaces none.
func (w *watch) replaced(view *router.View) bool {
	now, err := w.present(view)
	if err != nil {
		return false
	}
	return now.Server().Name() != w.route.Server().Name() || now.Front().Instance() != w.route.Front().Instance()
}

func (w *watch) present(view *router.View) (router.Route, error) {
	service, err := view.GetServiceByName(w.service)
	if err != nil {
		return router.Route{}, err
	}
	if service.Keyed() {
		return view.RouteKey(service, w.key)
	}
	return view.RouteServer(service, w.route.Server().Name())
}
