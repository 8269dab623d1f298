package harness

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"sync"
)

// Journal keeps records in order and writes each as a JSON line. It is safe for use
// from several goroutines.
type Journal[T any] struct {
	mu      sync.Mutex
	records []T
	file    *os.File
}

// NewJournal creates the file at path.
func NewJournal[T any](path string) (*Journal[T], error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("journal: %w", err)
	}
	return &Journal[T]{file: file}, nil
}

// Add appends one record.
func (j *Journal[T]) Add(record T) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.records = append(j.records, record)
	if err := json.NewEncoder(j.file).Encode(record); err != nil {
		return fmt.Errorf("journal: %w", err)
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

// Close closes the file.
func (j *Journal[T]) Close() error {
	return j.file.Close()
}

// ReadJournal reads the records of a file of JSON lines. An incomplete last line, as a
// killed process leaves it, is dropped.
func ReadJournal[T any](path string) ([]T, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("journal: %w", err)
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
			return nil, fmt.Errorf("journal %s: %w", path, err)
		}
		out = append(out, record)
	}
}
