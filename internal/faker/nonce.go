package faker

import (
	"strconv"
	"time"
)

// rememberedNonces is how many nonces a backend server remembers.
const rememberedNonces = 16

// issuedNonce is one nonce and the time of its issue.
type issuedNonce struct {
	nonce string
	at    time.Time
}

// nonces are the newest nonces that a backend server issued. The zero nonces has issued none.
type nonces struct {
	count  uint64
	issued []issuedNonce
}

// issue returns a fresh nonce of the given run of the server.
func (n *nonces) issue(run string, now time.Time) string {
	n.count++
	nonce := run + "-" + strconv.FormatUint(n.count, 10)
	n.issued = append(n.issued, issuedNonce{nonce: nonce, at: now})
	if len(n.issued) > rememberedNonces {
		n.issued = n.issued[1:]
	}
	return nonce
}

// issuedAt returns when nonce was issued, and whether it is known.
func (n *nonces) issuedAt(nonce string) (time.Time, bool) {
	for _, known := range n.issued {
		if known.nonce == nonce {
			return known.at, true
		}
	}
	return time.Time{}, false
}
