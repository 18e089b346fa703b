package document

import "github.com/hornbeamtide/hornbeamtide/fault"

// Parse reads a document. name is the file name used in error messages. An unknown
// section, key or value is refused with fault.Unrecognized or fault.Invalid, whose
// message names file, line and remedy.
func Parse(name string, source []byte) (*Document, error) {
	return nil, fault.New(fault.Internal, "not implemented", "")
}
