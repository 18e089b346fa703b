package daemon

// Update tells the external tests whether golden files are to be written.
func Update() bool { return *update }
