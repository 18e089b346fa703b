// Package gopls pins the version of gopls that "make bin/gopls" builds. It is a separate
// module outside the workspace because gopls and the linters need different versions of
// golang.org/x/tools.
package gopls
