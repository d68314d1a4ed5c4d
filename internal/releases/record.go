package releases

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/foxtailpass/foxtailpass/internal/catalog"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/fleet"
	"github.com/foxtailpass/foxtailpass/internal/kvstore"
)

// Keys below the prefix of the installation.
const (
	// Prefix is common to the records of releases, and streamsPrefix to those of streams.
	Prefix        = "releases/"
	streamsPrefix = "streams/"
)

// keyDigestBytes is the length of the digests in keys. Names may contain any character.
const keyDigestBytes = 12

func digest(name string) string {
	sum := sha256.Sum256([]byte(name))
	return hex.EncodeToString(sum[:keyDigestBytes])
}

// ServiceRelease is a release of one service.
type ServiceRelease struct {
	Service catalog.ServiceID `json:"service"`
	Release entity.Release    `json:"release"`
}

// ServicePrefix returns the prefix of the keys of the releases of a service, without that of the installation.
func ServicePrefix(service catalog.ServiceID) string { return Prefix + digest(string(service)) + "/" }

// StreamKey returns the key of the record of a stream, without the prefix of the installation.
func StreamKey(id entity.RequestID) string { return streamsPrefix + digest(string(id)) }

func (x ServiceRelease) key() string { return ServicePrefix(x.Service) + digest(string(x.Release)) }

// releaseRecord is the record of a release. Baseline, if it is set, is the release at which all streams of the service that
// have no record began; that holds in one era of the key-value service.
type releaseRecord struct {
	ServiceRelease
	Baseline entity.Release `json:"baseline,omitempty"`
	Era      kvstore.Era    `json:"era,omitempty"`
}

func decodeRelease(value []byte) (releaseRecord, error) {
	x, err := decode(value)
	if err != nil {
		return releaseRecord{}, err
	}
	var r releaseRecord
	if err := json.Unmarshal(value, &r); err != nil {
		return releaseRecord{}, fmt.Errorf("releases: %w", err)
	}
	r.ServiceRelease = x
	return r, nil
}

// decode decodes what the records of releases and of streams have in common.
func decode(value []byte) (ServiceRelease, error) {
	var x ServiceRelease
	if err := json.Unmarshal(value, &x); err != nil {
		return ServiceRelease{}, fmt.Errorf("releases: %w", err)
	}
	if x.Service == "" || x.Release == "" {
		return ServiceRelease{}, errors.New("releases: record is invalid")
	}
	return x, nil
}

// streamRecord is the record of a stream. Listed is set if the release was not proven when the record was written; Release
// is then entity.ReleaseUnproven, so that a build that does not know Listed continues the stream nowhere.
type streamRecord struct {
	ServiceRelease
	Listed *listedOrigin `json:"listed,omitempty"`
}

// listedOrigin is the upstream that began a stream, as an old list stated it.
type listedOrigin struct {
	Release    entity.Release    `json:"release"`
	Upstream   entity.UpstreamID `json:"upstream"`
	BornMillis int64             `json:"born_ms"`
}

// DecodeStream decodes the record of a stream.
func DecodeStream(value []byte) (Origin, error) {
	x, err := decode(value)
	if err != nil {
		return Origin{}, err
	}
	var r streamRecord
	if err := json.Unmarshal(value, &r); err != nil {
		return Origin{}, fmt.Errorf("releases: %w", err)
	}
	if r.Listed == nil || x.Release != entity.ReleaseUnproven {
		return Origin{ServiceRelease: x}, nil
	}
	x.Release = r.Listed.Release
	return Origin{ServiceRelease: x, Unproven: true, Upstream: fleet.Incarnation{ID: r.Listed.Upstream, BornMillis: r.Listed.BornMillis}}, nil
}

func encodeStream(o Origin) []byte {
	r := streamRecord{ServiceRelease: o.ServiceRelease}
	if o.Unproven {
		r.Listed = &listedOrigin{Release: o.Release, Upstream: o.Upstream.ID, BornMillis: o.Upstream.BornMillis}
		r.Release = entity.ReleaseUnproven
	}
	return encode(r)
}

func encode(record any) []byte {
	b, err := json.Marshal(record)
	if err != nil {
		panic("releases: record cannot be encoded: " + err.Error())
	}
	return b
}
