package harness

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"sync"
)

// Journal keeps records in memory, in order, and writes each to a file as a JSON line. It
// is safe for concurrent use, except for Close.
type Journal[T any] struct {
	mu      sync.Mutex
	records []T
	file    *os.File
}

// NewJournal creates a journal with an empty file at path.
func NewJournal[T any](path string) (*Journal[T], error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("create journal: %w", err)
	}
	return &Journal[T]{file: file}, nil
}

// Append adds a record to the end of the journal.
func (j *Journal[T]) Append(record T) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.records = append(j.records, record)
	if err := json.NewEncoder(j.file).Encode(record); err != nil {
		return fmt.Errorf("write journal: %w", err)
	}
	return nil
}

// Len returns the number of records.
func (j *Journal[T]) Len() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.records)
}

// Records returns a copy of all records.
func (j *Journal[T]) Records() []T {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]T(nil), j.records...)
}

// Close closes the journal's file.
func (j *Journal[T]) Close() error {
	return j.file.Close()
}

// ReadJournal reads the records of a file of JSON lines. It drops an incomplete last line,
// such as a killed process leaves.
func ReadJournal[T any](path string) ([]T, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("open journal: %w", err)
	}
	defer file.Close()
	var out []T
	reader := bufio.NewReader(file)
	for {
		line, err := reader.ReadBytes('\n')
		if err != nil {
			return out, nil
		}
		var record T
		if err := json.Unmarshal(line, &record); err != nil {
			return nil, fmt.Errorf("journal %s: malformed record: %w", path, err)
		}
		out = append(out, record)
	}
}
