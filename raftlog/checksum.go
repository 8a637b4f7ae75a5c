package raftlog

import (
	"encoding/binary"
	"hash/crc32"
)

// checksumBytes is the length of the checksum that is stored in front of each value.
const checksumBytes = crc32.Size

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func checksum(value []byte) uint32 { return crc32.Checksum(value, castagnoli) }

// addChecksum returns value prefixed with its checksum.
func addChecksum(value []byte) []byte {
	return append(binary.BigEndian.AppendUint32(nil, checksum(value)), value...)
}

// verifyChecksum returns the value without its checksum prefix, or errChecksumMismatch if they do not match.
func verifyChecksum(stored []byte) ([]byte, error) {
	if len(stored) < checksumBytes {
		return nil, errChecksumMismatch
	}
	value := stored[checksumBytes:]
	if binary.BigEndian.Uint32(stored) != checksum(value) {
		return nil, errChecksumMismatch
	}
	return value, nil
}
