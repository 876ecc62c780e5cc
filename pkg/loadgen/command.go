package loadgen

import (
	"bytes"
	"io"
	"os"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"
)

// Command returns the command "load" of almondctl. It fails with an InvariantError if responses belonged to other requests
// or requests ran more than once.
func Command() *cobra.Command {
	var options Options
	var jsonFile, svgFile string
	command := &cobra.Command{
		Use:   "load URL",
		Short: "Offer an open-loop load to a loopback address and report latencies and refusals",
		Long: "Offer an open-loop load to a loopback address and report latencies and refusals.\n\n" +
			"URL has a loopback IP address, the service and the path, for example http://127.0.0.1:8080/fitting-desk/lookup.\n" +
			"Latency is counted from the intended send time. Answers are checked against the JSON of the stand-in target.",
		Args:         cobra.ExactArgs(1),
		SilenceUsage: true,
		RunE: func(command *cobra.Command, args []string) error {
			options.URL = args[0]
			report, err := Run(command.Context(), options)
			if err != nil {
				return err
			}
			return report.writeOutput(command.OutOrStdout(), jsonFile, svgFile)
		},
	}
	flags := command.Flags()
	flags.Float64Var(&options.Rate, "rate", 100, "mean requests per second")
	flags.DurationVar(&options.Duration, "duration", 10*time.Second, "how long requests are sent, at most 10m")
	flags.IntVar(&options.Count, "count", 0, "most requests to send; 0 for no limit but the duration")
	flags.IntVar(&options.Workers, "workers", 100, "most requests in flight")
	flags.IntVar(&options.Keys, "keys", 1000, "number of different keys")
	flags.Float64Var(&options.KeySkew, "key-skew", 0, "exponent of a Zipf distribution over keys, above 1; 0 for uniform")
	flags.StringVar(&options.Tenant, "tenant", "", "tenant of the requests")
	flags.Float64Var(&options.PostShare, "post-share", 0, "part of the requests sent as POST with an Idempotency-Key, 0 to 1")
	flags.DurationVar(&options.Deadline, "deadline", time.Second, "deadline of each request; 0 for none")
	flags.Uint64Var(&options.Seed, "seed", 1, "seed of send times, keys and methods; also part of the Idempotency-Keys")
	flags.StringVar(&jsonFile, "json", "", "file for the report as JSON")
	flags.StringVar(&svgFile, "svg", "", "file for a plot of latency by percentile")
	return command
}

// InvariantError reports that the responses of a run violated invariant I6 or I8.
type InvariantError struct {
	// MismatchedResponses and DuplicateExecutions are the counts of the report.
	MismatchedResponses, DuplicateExecutions int
}

// Error implements error.
func (e *InvariantError) Error() string {
	return "some responses belonged to other requests or some requests ran more than once"
}

// writeOutput writes the table to w, and JSON and SVG to the files with these names unless the names are empty. It fails with an
// InvariantError if the report shows a violation.
func (r *Report) writeOutput(w io.Writer, jsonFile, svgFile string) error {
	if err := r.WriteTable(w); err != nil {
		return merry.Wrap(err)
	}
	for _, output := range []struct {
		file  string
		write func(io.Writer) error
	}{{jsonFile, r.WriteJSON}, {svgFile, r.WriteSVG}} {
		if output.file == "" {
			continue
		}
		var content bytes.Buffer
		if err := output.write(&content); err != nil {
			return merry.Wrap(err)
		}
		if err := os.WriteFile(output.file, content.Bytes(), 0o644); err != nil {
			return merry.Wrap(err)
		}
	}
	if r.MismatchedResponses > 0 || r.DuplicateExecutions > 0 {
		return merry.Wrap(&InvariantError{MismatchedResponses: r.MismatchedResponses, DuplicateExecutions: r.DuplicateExecutions})
	}
	return nil
}
