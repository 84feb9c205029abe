package kqlink

import (
	"context"

	"github.com/cockroachdb/errors"
)

// Exchange sends a control message to the node at the address and reads the
// reply. It names the node that answered, as its certificate does: another
// node may have taken over the address.
func (d *Dialer) Exchange(ctx context.Context, address string, message []byte) (peer string, reply []byte, err error) {
	c, err := d.open(ctx, address)
	if err != nil {
		return "", nil, errors.Mark(err, ErrNotSent)
	}
	reply, err = d.SendMessage(ctx, address, message)
	if err != nil {
		return "", nil, err
	}
	after, err := d.open(ctx, address)
	if err != nil || after != c {
		return "", nil, errors.Mark(errors.New("link was replaced during the exchange"), ErrLost)
	}
	return peerName(c.conn), reply, nil
}
