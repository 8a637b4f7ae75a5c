package raftlog

import (
	"encoding/binary"
	"hash/crc32"
)

// checksumBytes is the length of a checksum, which stands before its value.
const checksumBytes = crc32.Size

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func checksum(value []byte) uint32 { return crc32.Checksum(value, castagnoli) }

// seal puts a checksum before a value.
func seal(value []byte) []byte {
	return append(binary.BigEndian.AppendUint32(nil, checksum(value)), value...)
}

// unseal gives the value of a sealed one, or errChecksum.
func unseal(sealed []byte) ([]byte, error) {
	if len(sealed) < checksumBytes {
		return nil, errChecksum
	}
	value := sealed[checksumBytes:]
	if binary.BigEndian.Uint32(sealed) != checksum(value) {
		return nil, errChecksum
	}
	return value, nil
}
