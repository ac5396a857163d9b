package balance

import "encoding/binary"

const (
	// allRelays addresses a message to all other relays.
	allRelays = -1

	// overloadNoticeSize is the length of an overload notice in bytes.
	overloadNoticeSize = 8

	// gossipLifetime is how long an overload notice from another relay is valid.
	gossipLifetime = reportLifetime
)

// encodeOverloadNotice encodes the message that a backend is slow: the backend's ID as a big-endian integer.
func encodeOverloadNotice(target *backend) []byte {
	return binary.BigEndian.AppendUint64(nil, uint64(target.ID))
}

// decodeOverloadNotice returns the backend in an overload notice, and false if the message is not one.
func decodeOverloadNotice(data []byte) (BackendID, bool) {
	if len(data) != overloadNoticeSize {
		return 0, false
	}
	return BackendID(binary.BigEndian.Uint64(data)), true
}
