package slopes

import (
	"fmt"
	"io"
)

func writePage(w io.Writer, r Results) error {
	_, err := fmt.Fprintf(w, "%+v\n", r)
	return err
}
