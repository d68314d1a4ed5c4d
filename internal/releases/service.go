package releases

import (
	"slices"

	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/kvstore"
)

// Service is what is recorded of the releases of one service.
type Service struct {
	// Releases are the recorded releases, sorted.
	Releases []entity.Release
	// Baseline is the release at which all streams without a record began, empty if they may have begun at several.
	Baseline entity.Release
	// ChangedInPlace is set if an upstream has lately been listed at another release than before. Hosts with an old list
	// may have begun streams there, so that this host does not rely on the baseline.
	ChangedInPlace bool
}

// DecodeService decodes the records of the releases of one service, which were read in an era. It returns an error for each
// that cannot be read.
func DecodeService(pairs []kvstore.Pair, era kvstore.Era) (Service, []error) {
	var records []releaseRecord
	var errs []error
	for _, p := range pairs {
		r, err := decodeRelease(p.Value)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		records = append(records, r)
	}
	return newService(records, era), errs
}

func newService(records []releaseRecord, era kvstore.Era) Service {
	var s Service
	for _, r := range records {
		s.Releases = append(s.Releases, r.Release)
	}
	slices.Sort(s.Releases)
	for _, r := range records {
		// A release without a record has no streams any more.
		if r.Era == era && slices.Contains(s.Releases, r.Baseline) {
			s.Baseline = r.Baseline
		}
	}
	return s
}

// Several reports whether streams may have begun at several releases.
func (s Service) Several() bool { return len(s.Releases) > 1 }

// NeedsRecord reports whether a stream that begins at a release must have its record before its first event is passed on.
func (s Service) NeedsRecord(release entity.Release) bool {
	return s.Baseline != "" && release != s.Baseline
}

// WithoutRecord returns the release at which a stream without a record began, and false if that is not known. read are the
// records as they were read after it had turned out that the stream has none; s is what this host knew before.
func (s Service) WithoutRecord(read Service) (entity.Release, bool) {
	switch {
	case len(read.Releases) == 1 && !slices.ContainsFunc(s.Releases, func(r entity.Release) bool { return r != read.Releases[0] }):
		return read.Releases[0], true
	case s.ChangedInPlace || read.Baseline == "":
		return "", false
	}
	return read.Baseline, true
}
