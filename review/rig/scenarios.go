package main

// scenarios holds the cases by the name that their scripts give.
var scenarios = map[string]scenario{
	"twice":   playTwice,
	"changed": playChanged,
}
