// Package gatewayjson defines the request and response bodies of the etcd v3 JSON gateway. 64-bit integers are
// JSON strings, and keys and values are base64, as encoding/json encodes []byte. The client in package kvstore and the
// stand-in server, which replaces the key-value service in tests and demonstrations, share this package.
package gatewayjson

// Paths of the gateway.
const (
	PathRange     = "/v3/kv/range"
	PathTxn       = "/v3/kv/txn"
	PathGrant     = "/v3/lease/grant"
	PathKeepAlive = "/v3/lease/keepalive"
	PathRevoke    = "/v3/lease/revoke"
	PathWatch     = "/v3/watch"
)

// gRPC status codes that the gateway reports in an Error.
const (
	CodeInvalidArgument   = 3
	CodeNotFound          = 5
	CodeResourceExhausted = 8
	CodeOutOfRange        = 11
	CodeUnavailable       = 14
)

// Messages of errors that a client can tell apart only by their text.
const (
	MessageCompacted       = "etcdserver: mvcc: required revision has been compacted"
	MessageLeaseNotFound   = "etcdserver: requested lease not found"
	MessageNoLeader        = "etcdserver: no leader"
	MessageTooManyRequests = "etcdserver: too many requests"
)

// Header is part of every response.
type Header struct {
	ClusterID uint64 `json:"cluster_id,string,omitempty"`
	MemberID  uint64 `json:"member_id,string,omitempty"`
	Revision  int64  `json:"revision,string,omitempty"`
}

// KeyValue is one key with its value and revisions.
type KeyValue struct {
	Key            []byte `json:"key,omitempty"`
	CreateRevision int64  `json:"create_revision,string,omitempty"`
	ModRevision    int64  `json:"mod_revision,string,omitempty"`
	Version        int64  `json:"version,string,omitempty"`
	Value          []byte `json:"value,omitempty"`
	Lease          int64  `json:"lease,string,omitempty"`
}

// RangeRequest is the request body of PathRange. It selects the keys from Key up to but not including RangeEnd, or the
// single key Key if RangeEnd is empty.
type RangeRequest struct {
	Key            []byte `json:"key"`
	RangeEnd       []byte `json:"range_end,omitempty"`
	Limit          int64  `json:"limit,string,omitempty"`
	MinModRevision int64  `json:"min_mod_revision,string,omitempty"`
	KeysOnly       bool   `json:"keys_only,omitempty"`
	Serializable   bool   `json:"serializable,omitempty"`
}

// RangeResponse is the response to a RangeRequest.
type RangeResponse struct {
	Header Header     `json:"header"`
	Kvs    []KeyValue `json:"kvs,omitempty"`
	More   bool       `json:"more,omitempty"`
	Count  int64      `json:"count,string,omitempty"`
}

// Compare is one condition of a transaction.
type Compare struct {
	Result string `json:"result"`
	// Target is "MOD", "CREATE" or "VERSION" and selects the field below that is compared.
	Target         string `json:"target"`
	Key            []byte `json:"key"`
	ModRevision    int64  `json:"mod_revision,string,omitempty"`
	CreateRevision int64  `json:"create_revision,string,omitempty"`
	Version        int64  `json:"version,string,omitempty"`
}

// PutRequest is a put operation in a transaction.
type PutRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value,omitempty"`
	Lease int64  `json:"lease,string,omitempty"`
}

// DeleteRangeRequest is a delete operation in a transaction.
type DeleteRangeRequest struct {
	Key []byte `json:"key"`
}

// RequestOp is one operation of a transaction; exactly one field is set.
type RequestOp struct {
	Range  *RangeRequest       `json:"request_range,omitempty"`
	Put    *PutRequest         `json:"request_put,omitempty"`
	Delete *DeleteRangeRequest `json:"request_delete_range,omitempty"`
}

// TxnRequest is the request body of PathTxn.
type TxnRequest struct {
	Compare []Compare   `json:"compare,omitempty"`
	Success []RequestOp `json:"success,omitempty"`
	Failure []RequestOp `json:"failure,omitempty"`
}

// ResponseOp is the response to one RequestOp.
type ResponseOp struct {
	Range  *RangeResponse `json:"response_range,omitempty"`
	Put    *struct{}      `json:"response_put,omitempty"`
	Delete *struct{}      `json:"response_delete_range,omitempty"`
}

// TxnResponse is the response to a TxnRequest.
type TxnResponse struct {
	Header    Header       `json:"header"`
	Succeeded bool         `json:"succeeded,omitempty"`
	Responses []ResponseOp `json:"responses,omitempty"`
}

// LeaseRequest is the request body of the lease paths. TTL is in seconds and used by PathGrant only.
type LeaseRequest struct {
	ID  int64 `json:"ID,string,omitempty"`
	TTL int64 `json:"TTL,string,omitempty"`
}

// LeaseResponse is the response of PathGrant and PathRevoke. TTL is in seconds.
type LeaseResponse struct {
	Header Header `json:"header"`
	ID     int64  `json:"ID,string,omitempty"`
	TTL    int64  `json:"TTL,string,omitempty"`
}

// KeepAliveResponse is the response of PathKeepAlive. A TTL of zero means that the lease does not exist.
type KeepAliveResponse struct {
	Result LeaseResponse `json:"result"`
	Error  *Error        `json:"error,omitempty"`
}

// WatchRequest is the request body of PathWatch.
type WatchRequest struct {
	Create WatchCreate `json:"create_request"`
}

// WatchCreate selects the keys to watch. A StartRevision of zero means that only new changes are sent.
type WatchCreate struct {
	Key            []byte `json:"key"`
	RangeEnd       []byte `json:"range_end,omitempty"`
	StartRevision  int64  `json:"start_revision,string,omitempty"`
	ProgressNotify bool   `json:"progress_notify,omitempty"`
}

// Event is one change of a key. Type is "DELETE", or empty for a put.
type Event struct {
	Type string   `json:"type,omitempty"`
	Kv   KeyValue `json:"kv"`
}

// WatchResult is the content of one message of a watch stream. Created marks the confirmation of the watch. A
// CompactRevision above zero means that the history before that revision has been compacted.
type WatchResult struct {
	Header          Header  `json:"header"`
	Created         bool    `json:"created,omitempty"`
	Canceled        bool    `json:"canceled,omitempty"`
	CompactRevision int64   `json:"compact_revision,string,omitempty"`
	CancelReason    string  `json:"cancel_reason,omitempty"`
	Events          []Event `json:"events,omitempty"`
}

// WatchResponse is one message of a watch stream.
type WatchResponse struct {
	Result WatchResult `json:"result"`
	Error  *Error      `json:"error,omitempty"`
}

// Error is the body of a response with a status other than 200. It can also be part of a message of a stream.
type Error struct {
	Error   string `json:"error,omitempty"`
	Message string `json:"message,omitempty"`
	Code    int    `json:"code"`
}

// Text returns the error message. The version of the gateway determines which field contains it.
func (e *Error) Text() string {
	if e.Message != "" {
		return e.Message
	}
	return e.Error
}

// PrefixEnd returns the range_end that selects all keys with the prefix.
func PrefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	// No key follows all keys with a prefix of 0xff bytes only. A range_end of a single zero byte selects all
	// keys up to the last one.
	return []byte{0}
}
