package kvstore

// Era counts the restores of the service from an older copy. After a restore the service gives out revisions and lease
// IDs again, so a revision alone does not tell which state is newer. A service that does not tell its era has era 0.
type Era int64

// revisionBits is the number of bits of a revision within its era.
const revisionBits = 40

// MaxEra is the largest era that a revision can contain.
const MaxEra Era = 1<<(63-revisionBits) - 1

// JoinRevision returns the revision that this package uses for a revision within an era. It rises with the era first, so
// that every revision after a restore is higher than those before it.
func JoinRevision(era Era, revision int64) int64 {
	return int64(era)<<revisionBits | revision
}

// tokenEraShift is the position of the era in the result of TokenSpace.
const tokenEraShift = 56

// TokenSpace returns the lowest number of a range that belongs to one fencing token, which is a revision. Its freeBits
// lowest bits are zero. The numbers of a higher token are higher, up to 256 restores.
func TokenSpace(token int64, freeBits uint) uint64 {
	within := uint64(WithinEra(token)) << freeBits
	return uint64(EraOf(token))<<tokenEraShift | within&(1<<tokenEraShift-1)
}

// EraOf returns the era of a revision.
func EraOf(revision int64) Era { return Era(revision >> revisionBits) }

// WithinEra returns a revision as the service numbers it.
func WithinEra(revision int64) int64 { return revision & (1<<revisionBits - 1) }
