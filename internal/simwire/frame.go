package simwire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
)

const (
	headerSize        = 16 // bytes: length u32, clock f64, record count u32
	recordCountOffset = 12
	maxFrameSize      = 64 << 20 // bytes; batches reach megabytes, anything larger is a corrupt length
)

// ReadFrame reads one batch's bytes into buf. It returns io.EOF only between frames and a *FrameError
// otherwise. Memory grows with the bytes that have arrived, not with the length in the header.
func ReadFrame(r io.Reader, buf *bytes.Buffer) error {
	buf.Reset()
	if n, err := io.CopyN(buf, r, headerSize); err != nil {
		if n == 0 && errors.Is(err, io.EOF) {
			return io.EOF
		}
		truncated := newFrameError(Truncated, int(n), "frame header cut off at offset %d", n)
		truncated.cause = unexpectedEOF(err)
		return truncated
	}
	size := int64(binary.BigEndian.Uint32(buf.Bytes()))
	if size < headerSize || size > maxFrameSize {
		return newFrameError(BadFrameLength, 0, "frame length %d at offset 0 is outside %d to %d", size, headerSize, maxFrameSize)
	}
	if n, err := io.CopyN(buf, r, size-headerSize); err != nil {
		truncated := newFrameError(Truncated, int(n)+headerSize, "frame of %d bytes cut off at offset %d", size, n+headerSize)
		truncated.cause = unexpectedEOF(err)
		return truncated
	}
	return nil
}

// unexpectedEOF keeps the end of input within a frame apart from the end between frames.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
