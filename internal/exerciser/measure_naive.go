package exerciser

import "time"

// sendNaively sends a request to the server that its key's hash names, and again when that fails.
func (t *trafficRun) sendNaively(n Naive, r *request) {
	if r.done() {
		return
	}
	var live []int
	for i, well := range t.healthy {
		if well {
			live = append(live, i)
		}
	}
	server := live[t.keys.partitions[r.key]%len(live)]
	t.observe(r, server)
	r.tries++
	r.written++
	r.at = server + 1
	try := r.tries
	again := func() {
		if r.done() || r.tries != try {
			return
		}
		if r.tries >= n.Tries {
			t.refuse(r, server)
			return
		}
		t.sendNaively(n, r)
	}
	t.after(hop, func() {
		t.servers[server].accept(&attempt{request: r, reply: func(reply serverReply) {
			t.after(hop, func() { t.readNaively(r, reply, again) })
		}})
	})
	t.after(t.naiveTimeout(n, r), again)
}

// naiveTimeout returns the timeout of one try.
func (t *trafficRun) naiveTimeout(n Naive, r *request) time.Duration {
	return t.cell.Deployment.Classes[r.class].Deadline / time.Duration(n.Tries)
}

func (t *trafficRun) readNaively(r *request, reply serverReply, again func()) {
	switch reply {
	case replyServed:
		t.conclude(r, outcomeAnswered, false)
	case replyCut:
		t.conclude(r, outcomeCut, true)
	default:
		again()
	}
}
