package soak

import (
	"io"
	"os"

	"golang.org/x/sys/unix"
)

// logKind is where a process's standard output and error go.
type logKind int

const (
	logToFile  logKind = iota
	logToPipe          // a collector copies a pipe to the file, until it goes away
	logToStuck         // a pipe that nobody reads
)

// smallestPipe is the least that a pipe holds.
const smallestPipe = 4096

// logFile is the log of one incarnation.
type logFile struct {
	name   string
	output *os.File // of the process
	reader *os.File // of the pipe; nil: there is none
	file   *os.File
	copied chan struct{} // closed when the collector has ended; nil: there is none
}

// openLog makes the log of an incarnation that is to be started.
func openLog(name string, kind logKind) (*logFile, error) {
	file, err := os.OpenFile(name, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, err
	}
	l := &logFile{name: name, output: file, file: file}
	if kind == logToFile {
		return l, nil
	}
	if l.reader, l.output, err = os.Pipe(); err != nil {
		return nil, err
	}
	if kind == logToStuck {
		_, err := unix.FcntlInt(l.output.Fd(), unix.F_SETPIPE_SZ, smallestPipe)
		return l, err
	}
	l.copied = make(chan struct{})
	go func() {
		defer close(l.copied)
		_, _ = io.Copy(l.file, l.reader)
	}()
	return l, nil
}

// started is called when the process has its output: the pipe then ends with the process.
func (l *logFile) started() {
	if l.output != l.file {
		_ = l.output.Close()
	}
}

// collectorGoes closes the reader's end of the pipe.
func (l *logFile) collectorGoes() {
	if l.reader != nil {
		_ = l.reader.Close()
	}
}

// close is called when the process has ended.
func (l *logFile) close() {
	if l.copied != nil {
		<-l.copied
	}
	l.collectorGoes()
	_ = l.file.Close()
}
