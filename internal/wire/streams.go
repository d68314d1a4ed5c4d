package wire

// StreamRecord is the record of a stream: its key in the key-value service and its value.
type StreamRecord struct {
	Key   string `msgpack:"k"`
	Value []byte `msgpack:"v"`
}

// StreamRecords asks a host to keep the records of streams that the sender has begun and cannot write to the key-value
// service, and to write them. The receiver answers with StreamRecordsKept.
type StreamRecords struct {
	Records []StreamRecord `msgpack:"r"`
}

// Kind implements Message.
func (*StreamRecords) Kind() Kind { return KindStreamRecords }

// StreamRecordsKept states that a host keeps the records of a StreamRecords message.
type StreamRecordsKept struct {
	// Writable is set if the host knows of no outage of the key-value service, so that it writes the records at once.
	Writable bool `msgpack:"w"`
}

// Kind implements Message.
func (*StreamRecordsKept) Kind() Kind { return KindStreamRecordsKept }
