package scale

import (
	"fmt"

	"github.com/dykewing/dykewing/internal/node"
	"github.com/dykewing/dykewing/membership"
)

// answered and unreachable end a Send as the real shell does.
func answered(send membership.Send, exchange membership.Exchange) membership.Message {
	return membership.Answered{Sent: send, Exchange: exchange}
}

func unreachable(send membership.Send) membership.Message {
	return membership.Unreachable{Sent: send}
}

// encodeExchange gives the bytes that travel, compressed as the shell does.
func (h *hollow) encodeExchange(exchange membership.Exchange) []byte {
	var raw []byte
	h.cost.timed(PartCodec, func() {
		var err error
		if raw, _, err = node.EncodeExchange(exchange); err != nil {
			panic(fmt.Sprintf("encode an exchange: %v", err))
		}
	})
	return raw
}

func (h *hollow) decodeExchange(raw []byte) membership.Exchange {
	var exchange membership.Exchange
	h.cost.timed(PartCodec, func() {
		var err error
		if exchange, err = node.DecodeExchange(raw); err != nil {
			panic(fmt.Sprintf("decode an exchange: %v", err))
		}
	})
	return exchange
}
