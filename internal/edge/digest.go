package edge

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/valyala/fasthttp"

	"github.com/foxtailpass/foxtailpass/internal/entity"
)

// requestDigestBytes is the length of a request digest.
const requestDigestBytes = 12

// requestDigest returns the digest of a request. Headers do not count, because those that describe an attempt change
// when a caller sends the request again.
func requestDigest(w entity.WorkspaceID, req *fasthttp.Request) entity.RequestDigest {
	h := sha256.New()
	for _, field := range [][]byte{[]byte(w), req.Header.Method(), req.Header.Host(), req.Header.RequestURI(), req.Body()} {
		// The lengths keep apart fields that are the same when joined.
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		h.Write(length[:])
		h.Write(field)
	}
	return entity.RequestDigest(hex.EncodeToString(h.Sum(nil)[:requestDigestBytes]))
}
