package kqlink

import (
	"context"

	"github.com/cockroachdb/errors"
)

// Exchange sends a control message to the node at the address and returns the
// reply and the name in that node's certificate, since another node may have taken
// over the address. It uses SendMessage, and checks that the link was the same
// before and after it, so that the name is that of the node that replied. Errors
// are marked as for Call.
func (d *Dialer) Exchange(ctx context.Context, address string, message []byte) (peer string, reply []byte, err error) {
	l, err := d.connect(ctx, address)
	if err != nil {
		return "", nil, errors.Mark(err, ErrNotSent)
	}
	reply, err = d.SendMessage(ctx, address, message)
	if err != nil {
		return "", nil, err
	}
	after, err := d.connect(ctx, address)
	if err != nil || after != l {
		return "", nil, errors.Mark(errors.New("link was replaced during the exchange, so that it is unknown which node replied"), ErrLost)
	}
	return peerName(l.conn), reply, nil
}
