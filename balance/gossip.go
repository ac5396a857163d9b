package balance

import "encoding/binary"

const (
	// allRelays addresses a message to all other relays.
	allRelays = -1

	// overloadNoticeSize is the length of an overload notice in bytes.
	overloadNoticeSize = 8

	// gossipLifetime is how long the overload notice of another relay counts.
	gossipLifetime = reportLifetime
)

// encodeOverloadNotice encodes the message that a backend is slow: its ID, big-endian.
func encodeOverloadNotice(target *backend) []byte {
	return binary.BigEndian.AppendUint64(nil, uint64(target.ID))
}

// decodeOverloadNotice returns the backend that a message is about; false for anything but an overload
// notice.
func decodeOverloadNotice(data []byte) (BackendID, bool) {
	if len(data) != overloadNoticeSize {
		return 0, false
	}
	return BackendID(binary.BigEndian.Uint64(data)), true
}
