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

// ReadFrame reads the frame of one batch into buf. It returns io.EOF if the input ends between two frames, and
// a *FrameError if it ends within one, cannot be read or announces an invalid length. Memory grows with the bytes
// that have arrived, not with the length in the header.
func ReadFrame(r io.Reader, buf *bytes.Buffer) error {
	buf.Reset()
	if n, err := io.CopyN(buf, r, headerSize); err != nil {
		if n == 0 && errors.Is(err, io.EOF) {
			return io.EOF
		}
		truncated := newFrameError(Truncated, int(n), "frame header truncated at offset %d, expected %d bytes", n, headerSize)
		truncated.cause = unexpectedEOF(err)
		return truncated
	}
	size := int64(binary.BigEndian.Uint32(buf.Bytes()))
	if size < headerSize || size > maxFrameSize {
		return newFrameError(BadFrameLength, 0, "frame length %d at offset 0, expected %d to %d", size, headerSize, maxFrameSize)
	}
	if n, err := io.CopyN(buf, r, size-headerSize); err != nil {
		truncated := newFrameError(Truncated, int(n)+headerSize, "frame truncated at offset %d, expected %d bytes", n+headerSize, size)
		truncated.cause = unexpectedEOF(err)
		return truncated
	}
	return nil
}

// unexpectedEOF replaces io.EOF by io.ErrUnexpectedEOF: ReadFrame returns io.EOF only between frames.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
