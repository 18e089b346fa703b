package daemon

// UpdateGolden reports whether the external tests shall rewrite their golden files.
func UpdateGolden() bool { return *updateFlag }
