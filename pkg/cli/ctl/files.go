package ctl

import (
	"io"
	"os"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"

	"almondrock.example/almondrock/pkg/config"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// fileFlags are the values of the flags that name the operators' files.
type fileFlags struct {
	base     string
	overlays []string
}

func (f *fileFlags) register(command *cobra.Command) {
	command.Flags().StringVar(&f.base, "base", "", "base file")
	command.Flags().StringArrayVar(&f.overlays, "overlay", nil, "overlay file of a site; repeat it for each site")
	// These fail only for flags that do not exist.
	_ = command.MarkFlagRequired("base")
	_ = command.MarkFlagFilename("base", "yaml", "yml")
	_ = command.MarkFlagFilename("overlay", "yaml", "yml")
}

// read reads the files. It keeps the file names as the operator gave them, so that an editor can jump to problems.
func (f *fileFlags) read() (*schemav1.SourceFile, []*schemav1.SourceFile, error) {
	base, err := readFile(f.base)
	if err != nil {
		return nil, nil, err
	}
	overlays := make([]*schemav1.SourceFile, len(f.overlays))
	for i, name := range f.overlays {
		if overlays[i], err = readFile(name); err != nil {
			return nil, nil, err
		}
	}
	return base, overlays, nil
}

func readFile(name string) (*schemav1.SourceFile, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, merry.Wrap(&FileError{Err: err})
	}
	defer file.Close()
	// One byte more than the limit is enough for config.Load to refuse the file for its size.
	content, err := io.ReadAll(io.LimitReader(file, config.MaxFileBytes+1))
	if err != nil {
		return nil, merry.Wrap(&FileError{Err: err})
	}
	return &schemav1.SourceFile{Name: name, Content: content}, nil
}

// readSubmission reads the files and checks them locally. It fails with FileError or RefusedError.
func (f *fileFlags) readSubmission() (*schemav1.Submission, *schemav1.Configuration, error) {
	base, overlays, err := f.read()
	if err != nil {
		return nil, nil, err
	}
	submission := &schemav1.Submission{Base: base, Overlays: overlays}
	configuration, problems := config.Load(config.SubmissionFiles(submission))
	if len(problems) > 0 {
		return submission, nil, merry.Wrap(newRefusedError(problems))
	}
	return submission, configuration, nil
}
