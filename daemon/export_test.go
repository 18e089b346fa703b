package daemon

// UpdateGolden reports whether the external tests rewrite their golden files.
func UpdateGolden() bool { return *updateFlag }
