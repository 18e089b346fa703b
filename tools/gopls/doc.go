// Package gopls pins the rename tool that "make bin/gopls" builds. It has a module of its
// own, outside the workspace, because gopls and the linters need different versions of
// golang.org/x/tools.
package gopls
