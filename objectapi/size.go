package objectapi

import "unicode/utf8"

// EncodedSize returns the most that a value takes in a store that keeps it as a JSON string, whichever of the
// optional escapes the store uses. The limit MaxValueBytes is for that, not for the value itself: a character that is
// escaped takes up to seven times its size.
func EncodedSize(value []byte) int {
	size := 2 // the quotes
	for i := 0; i < len(value); {
		b := value[i]
		if b < utf8.RuneSelf {
			size += asciiSize(b)
			i++
			continue
		}
		r, n := utf8.DecodeRune(value[i:])
		switch {
		case r == utf8.RuneError && n == 1:
			return binarySize(len(value))
		case r > 0xffff:
			size += 2 * escapeSize // a surrogate pair
		default:
			size += escapeSize
		}
		i += n
	}
	return size
}

// escapeSize is the size of an escape like \u0001.
const escapeSize = 6

func asciiSize(b byte) int {
	switch {
	case b == '"', b == '\\', b == '\n', b == '\r', b == '\t':
		return 2
	case b < ' ', b == 0x7f:
		return escapeSize
	}
	return 1
}

// binarySize returns the size of a value that is not text, which is kept in base64.
func binarySize(length int) int {
	const prefix = 16
	return prefix + (length+2)/3*4
}
