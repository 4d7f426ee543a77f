// Package architecture contains only tests. They check that the imports between the packages of this module follow
// docs/ARCHITECTURE.md.
package architecture
