package upstream

import (
	"io"
	"time"
)

// upload writes a request body in the background, because an upstream may answer before it has read the whole body. The nil
// pointer stands for a body that was written before the answer was read.
type upload struct {
	// ended is closed when the write has returned; err is its error from then on.
	ended chan struct{}
	err   error
}

// startUpload starts to write a body.
func startUpload(w io.Writer, body []byte) *upload {
	u := &upload{ended: make(chan struct{})}
	go func() {
		defer close(u.ended)
		_, u.err = w.Write(body)
	}()
	return u
}

// await waits until the write has returned, but not longer than a limit.
func (u *upload) await(limit time.Duration) {
	if u == nil {
		return
	}
	select {
	case <-u.ended:
	case <-time.After(limit):
	}
}

// complete reports whether the whole body has been written without an error: the kernel has taken it, the upstream may not have
// read it. It does not wait for a running write.
func (u *upload) complete() bool {
	if u == nil {
		return true
	}
	select {
	case <-u.ended:
		return u.err == nil
	default:
		return false
	}
}
