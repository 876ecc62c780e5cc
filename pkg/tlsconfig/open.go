package tlsconfig

// ModeError reports settings that select neither TLS nor plain text, select both, or name only some of the TLS files.
type ModeError struct {
	// Reason says which of these mistakes it is.
	Reason string
}

func (e *ModeError) Error() string {
	return e.Reason + "; set --tls-certificate, --tls-key and --tls-authorities, or --insecure for plain text"
}

// Open returns a Source for the files, or nil for plain text if insecure is set. Plain text must be selected explicitly,
// so that a forgotten setting does not turn TLS off. Errors: *ModeError and those of NewSource.
func Open(files Files, insecure bool) (*Source, error) {
	given := 0
	for _, name := range []string{files.Certificate, files.Key, files.Authorities} {
		if name != "" {
			given++
		}
	}
	switch {
	case insecure && given > 0:
		return nil, wrap(&ModeError{Reason: "both TLS files and --insecure are set"})
	case insecure:
		return nil, nil //nolint:nilnil // no source means plain text
	case given == 0:
		return nil, wrap(&ModeError{Reason: "neither TLS files nor --insecure are set"})
	case given < 3:
		return nil, wrap(&ModeError{Reason: "only a part of the TLS files is set"})
	}
	return NewSource(Options{Files: files})
}
