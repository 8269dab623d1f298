package main

// scenarios holds the cases by the name that their scripts give.
var scenarios = map[string]scenario{
	"grow":    playGrow,
	"twice":   playTwice,
	"changed": playChanged,
	"upload":  playUpload,
}
