// Package architecture holds no code: its test checks which package of this module imports which, as docs/ARCHITECTURE.md
// says.
package architecture
