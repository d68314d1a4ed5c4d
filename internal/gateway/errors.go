package gateway

import (
	"errors"
	"net"

	"github.com/valyala/fasthttp"
)

// asSmallBuffer reports whether err means that a request header exceeded the read buffer, and sets target to it.
func asSmallBuffer(err error, target **fasthttp.ErrSmallBuffer) bool { return errors.As(err, target) }

func isBodyTooLarge(err error) bool { return errors.Is(err, fasthttp.ErrBodyTooLarge) }

func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}
